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

// Defaults of settings that a file omits.
const (
	// DefaultPlatformTimeout is the timeout of a call to the platform.
	DefaultPlatformTimeout = 2 * time.Second
	// DefaultFlowLimit is the greatest number of flows held.
	DefaultFlowLimit = 500_000
	// DefaultRequestLimit is the greatest number of ledger entries held.
	DefaultRequestLimit = 20_000
	// DefaultQueueSize is the capacity of a ring, in entries.
	DefaultQueueSize = 4096
)

// Allowed ranges of settings.
const (
	// MinPlatformTimeout is the shortest timeout of a call to the platform.
	MinPlatformTimeout = 10 * time.Millisecond
	// MaxPlatformTimeout is the longest timeout of a call to the platform.
	MaxPlatformTimeout = time.Minute
	// MaxFlowLimit is the greatest limit on flows.
	MaxFlowLimit = 10_000_000
	// MaxRequestLimit is the greatest limit on ledger entries.
	MaxRequestLimit = 1_000_000
	// MinQueueSize is the smallest capacity of a ring, in entries.
	MinQueueSize = 16
	// MaxQueueSize is the greatest capacity of a ring, in entries.
	MaxQueueSize = 1 << 20
)

// Settings holds the configuration that one balancer reads at start.
type Settings struct {
	// Name is the name of the VM. It is unique among balancers.
	Name string
	// Zone is the name of the VM's availability zone.
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

// Callers holds the settings for receiving callers' datagrams.
type Callers struct {
	// IP is the address to listen on, at each service's port. The zero value
	// means the services' own addresses.
	IP netip.Addr
}

// Relay holds the settings for receiving other balancers' datagrams.
type Relay struct {
	// Listen is a UDP address. It is never the unspecified address, because
	// peers identify a balancer by it.
	Listen netip.AddrPort
}

// Control holds the settings for serving other balancers' calls.
type Control struct {
	// Listen is a TCP address. It is never the unspecified address.
	Listen netip.AddrPort
}

// Admin holds the settings for serving operators' calls.
type Admin struct {
	// Listen is a TCP address.
	Listen netip.AddrPort
}

// Upstreams holds the settings for sending to upstreams.
type Upstreams struct {
	// IP is the source address of datagrams to upstreams. With the zero value
	// the operating system chooses it.
	IP netip.Addr
}

// Platform holds the settings for calling the platform.
type Platform struct {
	// URL has scheme http or https, a host, and no query.
	URL *url.URL
	// Timeout bounds a call, in addition to the time that a watch waits.
	Timeout time.Duration
}

// A Format is the format of log lines.
type Format string

// Formats of log lines.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Log holds the settings of the log.
type Log struct {
	// Level is the least severe level that is logged, from debug to error.
	Level  logrus.Level
	Format Format
}

// Limits bounds the work that a balancer holds at once.
type Limits struct {
	// Flows is the greatest number of flows, 1 to MaxFlowLimit.
	Flows int
	// Requests is the greatest number of ledger entries, 1 to MaxRequestLimit.
	Requests int
	// Queue is the capacity of a ring in entries, a power of two from
	// MinQueueSize to MaxQueueSize.
	Queue int
}

// Load returns the settings in a TOML file. If the file has faults, the error
// is an *Error that lists them all.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return parse(path, data)
}

// Check returns an *Error that lists every invalid value of s, or nil.
func (s *Settings) Check() error {
	c := &checker{}
	c.settings(s)
	return errorOf(c.faults)
}

// A Fault describes one invalid value, unknown key or missing key.
type Fault struct {
	// File is the name of the settings file, or empty if the settings were not
	// read from a file.
	File string
	// Line counts from one. It is zero if the file lacks the key.
	Line int
	// Key is the dotted key, such as "platform.timeout".
	Key string
	// Found is the value as found, or what is wrong with it.
	Found string
	// Allowed describes the values that are allowed.
	Allowed string
}

// String returns the fault as one line of text.
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
	// Faults is never empty. Load sorts it by line, then by key, with missing
	// keys first.
	Faults []Fault
}

// Error returns the faults, one per line.
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
