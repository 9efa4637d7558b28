// Package settings reads and checks the settings of filbertflow.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Defaults of settings that may be left out.
const (
	// DefaultGrace is the time from SIGTERM until the process is killed.
	DefaultGrace = 6 * time.Second
	// DefaultLogRate is the greatest number of log lines of one kind a second.
	DefaultLogRate = 200
)

// ErrSettings reports settings that can't be used.
var ErrSettings = eris.New("unusable settings")

// Settings are those of one balancer.
type Settings struct {
	// Name is distinct among balancers.
	Name    string `toml:"name"`
	Zone    string `toml:"zone"`
	Packets struct {
		// Listen is the UDP address of clients' packets; clients take theirs at
		// the same port.
		Listen netip.AddrPort `toml:"listen"`
	} `toml:"packets"`
	Readiness struct {
		// Listen is the TCP address of the routers' probes.
		Listen netip.AddrPort `toml:"listen"`
	} `toml:"readiness"`
	Peers struct {
		// Listen is the UDP and TCP address for other balancers, whose port is
		// the same at all of them.
		Listen netip.AddrPort `toml:"listen"`
		// Seeds are addresses of other balancers' VMs; the port does not count.
		Seeds []netip.AddrPort `toml:"seeds"`
	} `toml:"peers"`
	Metrics struct {
		// Listen is the TCP address of the metrics; none where it is zero.
		Listen netip.AddrPort `toml:"listen"`
	} `toml:"metrics"`
	Store struct {
		// Address is the TCP address of the platform's store.
		Address netip.AddrPort `toml:"address"`
	} `toml:"store"`
	Leave struct {
		// Grace is the time from SIGTERM until the process is killed.
		Grace Duration `toml:"grace"`
	} `toml:"leave"`
	Log struct {
		Level string `toml:"level"`
		// Rate is the greatest number of lines of one kind a second.
		Rate int `toml:"rate"`
	} `toml:"log"`
}

// A Duration is a time.Duration that is written as in "6s".
type Duration time.Duration

// UnmarshalText sets d from text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return eris.Wrap(err, "duration")
}

// Load returns the settings in a file, checked. The error wraps ErrSettings or
// that of the file system.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	s, err := Parse(data)
	return s, eris.Wrap(err, path)
}

// Parse returns the settings that data holds, checked. The error wraps
// ErrSettings.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	s.Leave.Grace = Duration(DefaultGrace)
	s.Log.Rate = DefaultLogRate
	s.Log.Level = logrus.InfoLevel.String()
	if err := toml.Unmarshal(data, s); err != nil {
		return nil, eris.Wrap(ErrSettings, err.Error())
	}
	return s, s.check()
}

func (s *Settings) check() error {
	for _, f := range []struct {
		name  string
		valid bool
	}{
		{
			name:  "name",
			valid: s.Name != "",
		},
		{
			name:  "zone",
			valid: s.Zone != "",
		},
		{
			name:  "packets.listen",
			valid: s.Packets.Listen.Addr().Is4() && s.Packets.Listen.Port() != 0,
		},
		{
			name:  "readiness.listen",
			valid: s.Readiness.Listen.IsValid(),
		},
		{
			name:  "peers.listen",
			valid: s.Peers.Listen.IsValid() && s.Peers.Listen.Port() != 0,
		},
		{
			name:  "store.address",
			valid: s.Store.Address.IsValid(),
		},
		{
			name:  "leave.grace",
			valid: s.Leave.Grace >= 0,
		},
		{
			name:  "log.rate",
			valid: s.Log.Rate > 0,
		},
	} {
		if !f.valid {
			return eris.Wrapf(ErrSettings, "%s is missing or out of range", f.name)
		}
	}
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		return eris.Wrap(ErrSettings, err.Error())
	}
	return nil
}
