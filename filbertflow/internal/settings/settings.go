// Package settings reads and validates the settings of filbertflow.
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
	// DefaultLogRate is the greatest number of log lines with the same message
	// per second.
	DefaultLogRate = 200
)

// ErrSettings reports invalid settings.
var ErrSettings = eris.New("invalid settings")

// Settings are the settings of one balancer.
type Settings struct {
	// Name is unique among balancers.
	Name    string `toml:"name"`
	Zone    string `toml:"zone"`
	Packets struct {
		// Listen is the UDP address that receives clients' packets; clients
		// receive theirs at the same port.
		Listen netip.AddrPort `toml:"listen"`
	} `toml:"packets"`
	Readiness struct {
		// Listen is the TCP address that answers the routers' readiness probes.
		Listen netip.AddrPort `toml:"listen"`
	} `toml:"readiness"`
	Peers struct {
		// Listen is the UDP and TCP address for other balancers, whose port is
		// the same at all of them.
		Listen netip.AddrPort `toml:"listen"`
		// Seeds are addresses of other balancers' VMs; their ports are ignored.
		Seeds []netip.AddrPort `toml:"seeds"`
	} `toml:"peers"`
	Metrics struct {
		// Listen is the TCP address that serves metrics; if it is unset, metrics
		// are not served.
		Listen netip.AddrPort `toml:"listen"`
	} `toml:"metrics"`
	Store struct {
		// Address is the TCP address of the platform's store.
		Address netip.AddrPort `toml:"address"`
	} `toml:"store"`
	// Load holds the decisions that are made by the load that balancers share. All are
	// true by default.
	Load struct {
		// Share has the balancer exchange the load of upstreams with others, and place
		// new flows by it. The other settings have no effect without it.
		Share bool `toml:"share"`
		// Learn has it measure answers, to find out how much each upstream takes.
		Learn bool `toml:"learn"`
		// Spill lets new flows go to other zones while the own one has less room.
		Spill bool `toml:"spill"`
		// Admit lets new flows wait, or rejects them, while no zone has room.
		Admit bool `toml:"admit"`
	} `toml:"load"`
	Leave struct {
		// Grace is the time from SIGTERM until the process is killed.
		Grace Duration `toml:"grace"`
	} `toml:"leave"`
	Log struct {
		Level string `toml:"level"`
		// Rate is the greatest number of lines with the same message per second.
		Rate int `toml:"rate"`
	} `toml:"log"`
}

// A Duration is a time.Duration that is written in Go's notation, such as "6s".
type Duration time.Duration

// UnmarshalText sets d from text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return eris.Wrap(err, "duration")
}

// Load reads and validates the settings in a file. The error wraps ErrSettings or
// that of the file system.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	s, err := Parse(data)
	return s, eris.Wrap(err, path)
}

// Parse parses and validates settings. The error wraps ErrSettings.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	s.Leave.Grace = Duration(DefaultGrace)
	s.Log.Rate = DefaultLogRate
	s.Load.Share, s.Load.Learn, s.Load.Spill, s.Load.Admit = true, true, true, true
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
