package daemon

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/metric/noop"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
)

// Timing of tests that run whole daemons.
const (
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// A scriptedPlatform is a Platform that publishes one version and a list of VMs.
type scriptedPlatform struct {
	version config.Version
	vms     []config.VM
	// down makes reads of the configuration fail.
	down bool
}

func (p *scriptedPlatform) Snapshot(context.Context) (*config.Publication, error) {
	if p.down {
		return nil, eris.New("down")
	}
	return &config.Publication{
		Version:  p.version,
		Document: smallDocument(),
	}, nil
}

func (p *scriptedPlatform) VMs(context.Context) ([]config.VM, error) {
	return p.vms, nil
}

func (p *scriptedPlatform) Watch(ctx context.Context, after config.Version, _ time.Duration) (*config.Publication, error) {
	if p.down || after < p.version {
		return p.Snapshot(ctx)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// A balancer whose platform is down or serves an older version gets the newest
// version from a peer, and never returns to an older one.
func TestVersionComesFromPeers(t *testing.T) {
	for _, tt := range []struct {
		name string
		// behind is the platform as the second balancer sees it.
		behind scriptedPlatform
	}{
		{name: "platform down", behind: scriptedPlatform{down: true}},
		{name: "platform stale", behind: scriptedPlatform{version: 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			vms := []config.VM{testVM(t, "lb-1", "bolzano"), testVM(t, "lb-2", "merano")}
			tt.behind.vms = vms
			first := runDaemon(t, &vms[0], &scriptedPlatform{
				version: 2,
				vms:     vms,
			})
			second := runDaemon(t, &vms[1], &tt.behind)
			require.Eventually(t, func() bool {
				return first.Ready() == nil && second.Status().Version == 2
			}, waitTimeout, pollInterval)
			require.Eventually(t, func() bool {
				members := first.Status().Members
				return len(members) == 2 && members[1].Version == 2
			}, waitTimeout, pollInterval)
			require.EqualValues(t, 2, first.Status().Version)
			require.Less(t, time.Duration(second.Status().PlatformAge), waitTimeout)
		})
	}
}

// A balancer that gets no answer from any peer becomes ready after a bounded time
// with the configuration that it has.
func TestServesWithoutPeers(t *testing.T) {
	vms := []config.VM{testVM(t, "lb-1", "bolzano"), testVM(t, "lb-2", "merano")}
	d := runDaemon(t, &vms[0], &scriptedPlatform{
		version: 1,
		vms:     vms,
	})
	require.Eventually(t, func() bool { return d.Ready() == nil }, waitTimeout, pollInterval)
}

func testVM(t *testing.T, name, zone string) config.VM {
	t.Helper()
	return config.VM{
		Name:    name,
		Zone:    zone,
		Relay:   vacantAddress(t),
		Control: vacantAddress(t),
		Admin:   vacantAddress(t),
		State:   config.VMLive,
	}
}

// vacantAddress returns an address that was free a moment ago.
func vacantAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// runDaemon runs a daemon until the test ends.
func runDaemon(t *testing.T, v *config.VM, p Platform) *Daemon {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	d, err := New(Options{
		Name:       v.Name,
		Zone:       v.Zone,
		UpstreamIP: netip.MustParseAddr("127.0.0.1"),
		Relay:      v.Relay,
		Control:    v.Control,
		Admin:      v.Admin,
		Limits: keeper.Limits{
			Exchanges:     100,
			LedgerEntries: 100,
		},
		QueueSize: 64,
		Platform:  p,
		Log:       logrus.NewEntry(log),
		Meter:     noop.NewMeterProvider().Meter(""),
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}
