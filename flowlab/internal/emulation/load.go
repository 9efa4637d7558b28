package emulation

import (
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// ErrLoad reports a load that can't be played.
var ErrLoad = eris.New("unusable load")

// A Duration is a time in a load file, such as "250ms".
type Duration struct {
	time.Duration
}

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Wrap(err, "duration")
	}
	d.Duration = v
	return nil
}

// A Load describes users, hosts and what goes wrong.
type Load struct {
	Name string `toml:"name"`
	// Length is the time that is played.
	Length Duration `toml:"length"`
	Zones  int      `toml:"zones"`
	// Loss is the share of packets that are lost on their way to a host.
	Loss  float64 `toml:"loss"`
	Hosts Hosts   `toml:"hosts"`
	Users Users   `toml:"users"`
	// Faults are what goes wrong, in any order.
	Faults []Fault `toml:"faults"`
}

// Hosts are the hosts of each zone.
type Hosts struct {
	Count int `toml:"count"`
	// Slots is the number of requests that a host works on at once, and Queue
	// that of the requests that wait; further ones are refused.
	Slots int `toml:"slots"`
	Queue int `toml:"queue"`
	// Work is the mean time of a request.
	Work Duration `toml:"work"`
}

// Users are the users of each zone. Each keeps a flow for some requests.
type Users struct {
	Count int `toml:"count"`
	// Rate is the number of requests of a zone in a second.
	Rate float64 `toml:"rate"`
	// Requests is the mean number of requests on a flow.
	Requests float64 `toml:"requests"`
	// AtMostOnce is the share of requests that must not run twice: they are tried again
	// only where they did not reach a host.
	AtMostOnce float64 `toml:"once"`
	// LatencyTarget is the time in which a request should be answered, and Deadline when
	// its user gives up.
	LatencyTarget Duration `toml:"aim"`
	Deadline      Duration `toml:"deadline"`
}

// Kinds of faults.
const (
	// KindCrash ends a host's process: its address refuses connections and
	// resets flows.
	KindCrash = "crash"
	// KindDark takes a host's power away: it sends nothing.
	KindDark = "dark"
	// KindSlow makes a host's work take Factor times as long.
	KindSlow = "slow"
	// KindBurst multiplies the number of a zone's users by Factor.
	KindBurst = "burst"
	// KindBalancers takes the power of balancers away.
	KindBalancers = "balancers"
)

// A Fault is something that goes wrong for a while.
type Fault struct {
	Kind string   `toml:"kind"`
	At   Duration `toml:"at"`
	For  Duration `toml:"for"`
	// Share is the share of the hosts or balancers of each zone.
	Share  float64 `toml:"share"`
	Factor float64 `toml:"factor"`
}

// ReadLoad reads a load from a TOML file. The error is ErrLoad or tells why the
// file can't be read.
func ReadLoad(path string) (*Load, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "read load")
	}
	l := &Load{}
	if err := toml.Unmarshal(data, l); err != nil {
		return nil, eris.Wrapf(ErrLoad, "%s: %v", path, err)
	}
	return l, eris.Wrap(l.check(), path)
}

// check reports what can't be played.
func (l *Load) check() error {
	switch {
	case l.Name == "":
		return eris.Wrap(ErrLoad, "name is missing")
	case l.Length.Duration <= 0:
		return eris.Wrap(ErrLoad, "length must be positive")
	case l.Zones < 1 || l.Hosts.Count < 1 || l.Hosts.Slots < 1 || l.Users.Count < 1:
		return eris.Wrap(ErrLoad, "zones, hosts.count, hosts.slots and users.count must be at least 1")
	case l.Hosts.Work.Duration <= 0 || l.Users.Rate <= 0 || l.Users.Requests < 1:
		return eris.Wrap(ErrLoad, "hosts.work and users.rate must be positive, users.requests at least 1")
	case l.Users.LatencyTarget.Duration <= 0 || l.Users.Deadline.Duration < l.Users.LatencyTarget.Duration:
		return eris.Wrap(ErrLoad, "users.aim must be positive and at most users.deadline")
	}
	for i := range l.Faults {
		if err := l.Faults[i].check(); err != nil {
			return err
		}
	}
	return nil
}

// check reports a fault that can't be played.
func (f *Fault) check() error {
	switch f.Kind {
	case KindBurst:
		return f.checkFactor()
	case KindSlow:
		if err := f.checkFactor(); err != nil {
			return err
		}
	case KindCrash, KindDark, KindBalancers:
	default:
		return eris.Wrapf(ErrLoad, "unknown kind of fault %q", f.Kind)
	}
	if f.Share <= 0 || f.Share > 1 {
		return eris.Wrapf(ErrLoad, "share of %s must be above 0 and at most 1", f.Kind)
	}
	return nil
}

func (f *Fault) checkFactor() error {
	if f.Factor < 1 {
		return eris.Wrapf(ErrLoad, "factor of %s must be at least 1", f.Kind)
	}
	return nil
}
