package cmd

import (
	"bytes"
	"context"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"filbertworks.example/filbertworks/filbertflow/internal/daemon"
	"filbertworks.example/filbertworks/filbertflow/internal/settings"
	"filbertworks.example/filbertworks/filbertflow/internal/signals"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/platform"
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes that no signal announced.
const settingsPollInterval = 5 * time.Second

// A controller runs a daemon and applies signals and settings changes to it.
type controller struct {
	path     string
	settings *settings.Settings
	daemon   *daemon.Daemon
}

// serve runs a daemon until it has left after a SIGTERM or SIGINT, or until a
// second one stops it at once.
func serve(path string, s *settings.Settings, stdout io.Writer) error {
	c := newController(path, s, stdout)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.handleEvents(ctx, signals.C(), cancel)
	return c.daemon.Run(ctx)
}

func newController(path string, s *settings.Settings, stdout io.Writer) *controller {
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		// Unreachable: the settings are validated.
		level = logrus.InfoLevel
	}
	c := &controller{
		path:     path,
		settings: s,
	}
	c.daemon = daemon.New(daemon.Options{
		Name:      s.Name,
		Zone:      s.Zone,
		Packets:   s.Packets.Listen,
		Readiness: s.Readiness.Listen,
		Peers:     s.Peers.Listen,
		Metrics:   s.Metrics.Listen,
		Seeds:     s.Peers.Seeds,
		Grace:     time.Duration(s.Leave.Grace),
		LogRate:   s.Log.Rate,
		LogLevel:  level,
		LogOutput: stdout,
		Codec:     platform.Codec{ClientPort: s.Packets.Listen.Port()},
		Headroom:  platform.Headroom,
		Load: daemon.LoadOptions{
			Share: s.Load.Share,
			Sharing: flow.Sharing{
				Learn: s.Load.Learn,
				Spill: s.Load.Spill,
				Admit: s.Load.Admit,
			},
		},
		NewSource: func(o daemon.SourceObserver) daemon.Source {
			return platform.NewStore(s.Store.Address,
				platform.WithCallObserver(o.OnCall),
				platform.WithResponseObserver(func(r platform.Response) { o.OnResponse(r.Call, r.Size, r.Took) }),
				platform.WithRejectionObserver(func(r platform.Rejection) { o.OnRejectedEntry(r.Key, r.Err) }))
		},
		NewReadinessHandler: platform.NewReadinessHandler,
	})
	return c
}

// handleEvents handles signals and changes of the settings file until ctx ends.
func (c *controller) handleEvents(ctx context.Context, received <-chan os.Signal, stop func()) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	content, err := os.ReadFile(c.path)
	if err != nil {
		c.daemon.SettingsReloaded(nil, err)
	}
	leaving := false
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-received:
			switch {
			case s == syscall.SIGHUP:
				content = c.reload(content, true)
			case leaving:
				stop()
			default:
				leaving = true
				c.daemon.Leave()
			}
		case <-ticker.C:
			content = c.reload(content, false)
		}
	}
}

// reload applies the settings file if its content differs from known or if forced
// is set, and returns its content.
func (c *controller) reload(known []byte, forced bool) []byte {
	data, err := os.ReadFile(c.path)
	if err != nil {
		c.daemon.SettingsReloaded(nil, err)
		return known
	}
	if !forced && bytes.Equal(data, known) {
		return known
	}
	s, err := settings.Parse(data)
	if err != nil {
		c.daemon.SettingsReloaded(nil, err)
		return data
	}
	c.settings = s
	c.daemon.SettingsReloaded(s.Peers.Seeds, nil)
	return data
}
