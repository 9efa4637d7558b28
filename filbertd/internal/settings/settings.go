// Package settings reads a balancer's settings from a TOML file and checks
// them.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Defaults of values that a file leaves out.
const (
	// DefaultPlatformTimeout bounds a call to the platform.
	DefaultPlatformTimeout = 2 * time.Second
	// DefaultFlowLimit is the number of flows held at most.
	DefaultFlowLimit = 500_000
	// DefaultRequestLimit is the number of ledger entries held at most.
	DefaultRequestLimit = 20_000
	// DefaultQueueSize is the capacity of a ring, in entries.
	DefaultQueueSize = 4096
)

// Limits of values.
const (
	// MinPlatformTimeout is the shortest timeout of a call to the platform.
	MinPlatformTimeout = 10 * time.Millisecond
	// MaxPlatformTimeout is the longest timeout of a call to the platform.
	MaxPlatformTimeout = time.Minute
	// MaxFlowLimit is the greatest limit of flows.
	MaxFlowLimit = 10_000_000
	// MaxRequestLimit is the greatest limit of ledger entries.
	MaxRequestLimit = 1_000_000
	// MinQueueSize is the smallest capacity of a ring, in entries.
	MinQueueSize = 16
	// MaxQueueSize is the greatest capacity of a ring, in entries.
	MaxQueueSize = 1 << 20
)

// Settings are what one balancer is told at its start.
type Settings struct {
	// Name is that of the VM and distinct among balancers.
	Name string
	// Zone names the VM's availability zone.
	Zone      string
	Callers   Callers
	Relay     Relay
	Control   Control
	Admin     Admin
	Upstreams Upstreams
	Platform  Platform
	Log       Log
	Limits    Limits
}

// A Callers tells where callers' datagrams arrive.
type Callers struct {
	// IP is listened on at each service's port; the zero value stands for the
	// services' own addresses.
	IP netip.Addr
}

// A Relay tells where other balancers' datagrams arrive.
type Relay struct {
	// Listen is a UDP address, never the unspecified one: peers know a
	// balancer by it.
	Listen netip.AddrPort
}

// A Control tells where other balancers' calls arrive.
type Control struct {
	// Listen is a TCP address, never the unspecified one.
	Listen netip.AddrPort
}

// An Admin tells where operators' calls arrive.
type Admin struct {
	// Listen is a TCP address.
	Listen netip.AddrPort
}

// An Upstreams tells from where upstreams are reached.
type Upstreams struct {
	// IP is the source address towards upstreams; the zero value leaves the
	// choice to the operating system.
	IP netip.Addr
}

// A Platform tells how the platform is reached.
type Platform struct {
	// URL has scheme http or https, a host, and no query.
	URL *url.URL
	// Timeout bounds a call, beside the time that a watch waits.
	Timeout time.Duration
}

// A Format is the form of log lines.
type Format string

// Forms of log lines.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// A Log tells what is logged and how.
type Log struct {
	// Level is one from debug to error.
	Level  logrus.Level
	Format Format
}

// A Limits bounds what a balancer holds.
type Limits struct {
	// Flows is the greatest number of flows, 1 to MaxFlowLimit.
	Flows int
	// Requests is the greatest number of ledger entries, 1 to MaxRequestLimit.
	Requests int
	// Queue is the capacity of a ring, a power of two from MinQueueSize to
	// MaxQueueSize.
	Queue int
}

// Load returns the settings of a TOML file. A file with faults gives a *Error
// that lists them all.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return parse(path, data)
}

// Check returns a *Error that lists every value of s that is not allowed, or
// nil.
func (s *Settings) Check() error {
	c := &checker{}
	c.settings(s)
	return errorOf(c.faults)
}

// A Fault is one value that is not allowed.
type Fault struct {
	// File is empty where the settings were not read from one.
	File string
	// Line counts from one; zero stands for a key that the file lacks.
	Line int
	// Key is dotted, such as "platform.timeout".
	Key string
	// Found is the value as found, or what is wrong with it.
	Found string
	// Allowed says what may stand there.
	Allowed string
}

// String returns the fault as one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:", f.File)
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:", f.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	fmt.Fprintf(&b, "found %s, want %s", f.Found, f.Allowed)
	return b.String()
}

// An Error lists all faults of settings.
type Error struct {
	// Faults is not empty and sorted by line, then key; missing keys come
	// first.
	Faults []Fault
}

// Error returns the faults, one a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

func errorOf(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return &Error{Faults: faults}
}
