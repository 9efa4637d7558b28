package config

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Limits of the values of a document.
const (
	// MinSecretSize is the smallest key secret, in bytes.
	MinSecretSize = 16
	// MaxSecretSize is the largest key secret, in bytes.
	MaxSecretSize = 64
	// MaxKeys is the maximum number of keys.
	MaxKeys = 4
	// MaxShare is the maximum weight of an upstream.
	MaxShare = 1_000_000
	// MaxSlots is the maximum number of requests in flight at an upstream.
	MaxSlots = 100_000
	// MaxConnections is the maximum number of open watches at an upstream.
	MaxConnections = 10_000_000
	// MinDeadline is the shortest request deadline.
	MinDeadline = 10 * time.Millisecond
	// MaxDeadline is the longest request deadline.
	MaxDeadline = 60 * time.Second
	// MinRefresh is the shortest refresh interval of watches.
	MinRefresh = 100 * time.Millisecond
	// MaxRefresh is the longest refresh interval of watches.
	MaxRefresh = time.Hour
	// MaxNameSize is the longest name, in bytes.
	MaxNameSize = 64
)

// allowedName describes a valid name, for Fault.Allowed.
const allowedName = "a name of up to 64 bytes without spaces and slashes"

// A Fault is one value of a document that is not allowed.
type Fault struct {
	// Path locates the value, such as "services[2].upstreams[0].share".
	Path string `json:"path"`
	// Found is the quoted value.
	Found string `json:"found"`
	// Allowed describes the values that are allowed.
	Allowed string `json:"allowed"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s is not allowed, want %s", f.Path, f.Found, f.Allowed)
}

// A CheckError lists all the faults of a document.
type CheckError struct {
	// Faults is not empty.
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *CheckError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Check returns a *CheckError that lists every value of d that is not allowed,
// or nil.
func (d *Document) Check() error {
	c := newChecker()
	c.keys(d.Keys)
	c.zones(d.Zones)
	c.services(d.Services)
	if len(c.faults) == 0 {
		return nil
	}
	return &CheckError{Faults: c.faults}
}

// A checker collects the faults of one document.
type checker struct {
	faults []Fault
	// zoneNames are the names of the document's zones.
	zoneNames map[string]bool
	// ids, names and addresses are those seen so far, which detect duplicates. ids
	// are those of upstreams.
	ids       map[uint32]bool
	names     map[string]bool
	addresses map[netip.AddrPort]bool
}

func newChecker() *checker {
	return &checker{
		zoneNames: make(map[string]bool),
		ids:       make(map[uint32]bool),
		names:     make(map[string]bool),
		addresses: make(map[netip.AddrPort]bool),
	}
}

// address checks that a is the address of one host and unique.
func (c *checker) address(path string, a netip.AddrPort) {
	if !isHostAddress(a) {
		c.addFault(path, a, "the IP address and port of one host, IPv4 in its own notation")
		return
	}
	if c.addresses[a] {
		c.addFault(path, a, "an address used once in the document")
	}
	c.addresses[a] = true
}

func (c *checker) addFault(path string, found any, allowed string) {
	c.faults = append(c.faults, Fault{
		Path:    path,
		Found:   fmt.Sprintf("%q", fmt.Sprint(found)),
		Allowed: allowed,
	})
}

func (c *checker) duration(path string, d Duration, low, high time.Duration) {
	v := time.Duration(d)
	if v < low || v > high {
		c.addFault(path, v, fmt.Sprintf("a duration from %v to %v", low, high))
	}
}

func (c *checker) keys(keys []Key) {
	if len(keys) == 0 || len(keys) > MaxKeys {
		c.addFault("keys", len(keys), fmt.Sprintf("1 to %d keys", MaxKeys))
	}
	ids := make(map[uint8]bool)
	for i, k := range keys {
		path := fmt.Sprintf("keys[%d]", i)
		if ids[k.ID] {
			c.addFault(path+".id", k.ID, "an id used once among the keys")
		}
		ids[k.ID] = true
		if len(k.Secret) < MinSecretSize || len(k.Secret) > MaxSecretSize {
			c.addFault(path+".secret", fmt.Sprintf("%d bytes", len(k.Secret)), fmt.Sprintf("%d to %d bytes", MinSecretSize, MaxSecretSize))
		}
	}
}

// name checks that name is valid and unique among services and upstreams.
func (c *checker) name(path, name string) {
	if !validName(name) {
		c.addFault(path, name, allowedName)
		return
	}
	if c.names[name] {
		c.addFault(path, name, "a name used once in the document")
	}
	c.names[name] = true
}

func (c *checker) number(path string, v, high uint32) {
	if v == 0 || v > high {
		c.addFault(path, v, fmt.Sprintf("1 to %d", high))
	}
}

func (c *checker) services(services []Service) {
	ids := make(map[uint32]bool)
	for i := range services {
		s := &services[i]
		path := fmt.Sprintf("services[%d]", i)
		if s.ID == 0 || ids[s.ID] {
			c.addFault(path+".id", s.ID, "an id above zero, used once among the services")
		}
		ids[s.ID] = true
		c.name(path+".name", s.Name)
		c.address(path+".address", s.Address)
		c.duration(path+".deadline", s.Deadline, MinDeadline, MaxDeadline)
		c.duration(path+".refresh", s.Refresh, MinRefresh, MaxRefresh)
		for j := range s.Upstreams {
			c.upstream(fmt.Sprintf("%s.upstreams[%d]", path, j), &s.Upstreams[j])
		}
	}
}

func (c *checker) upstream(path string, u *Upstream) {
	if u.ID == 0 || c.ids[u.ID] {
		c.addFault(path+".id", u.ID, "an id above zero, used once among the upstreams")
	}
	c.ids[u.ID] = true
	c.name(path+".name", u.Name)
	c.address(path+".address", u.Address)
	if !c.zoneNames[u.Zone] {
		c.addFault(path+".zone", u.Zone, "the name of a zone of the document")
	}
	c.number(path+".share", u.Share, MaxShare)
	c.number(path+".slots", u.Slots, MaxSlots)
	c.number(path+".connections", u.Connections, MaxConnections)
	if u.State != UpstreamActive && u.State != UpstreamDraining {
		c.addFault(path+".state", u.State, fmt.Sprintf("%q or %q", UpstreamActive, UpstreamDraining))
	}
}

func (c *checker) zones(zones []Zone) {
	for i, z := range zones {
		path := fmt.Sprintf("zones[%d]", i)
		switch {
		case !validName(z.Name):
			c.addFault(path+".name", z.Name, allowedName)
		case c.zoneNames[z.Name]:
			c.addFault(path+".name", z.Name, "a name used once among the zones")
		}
		c.zoneNames[z.Name] = true
		if z.Region == "" {
			c.addFault(path+".region", z.Region, "the name of a region")
		}
		if z.State != ZoneIn && z.State != ZoneOut {
			c.addFault(path+".state", z.State, fmt.Sprintf("%q or %q", ZoneIn, ZoneOut))
		}
	}
}

// isHostAddress reports whether a is the address and port of one host. IPv4
// addresses mapped to IPv6 are not allowed, so that equal addresses are equal
// values.
func isHostAddress(a netip.AddrPort) bool {
	ip := a.Addr()
	if !ip.IsValid() || ip.Is4In6() || a.Port() == 0 {
		return false
	}
	return !ip.IsUnspecified() && !ip.IsMulticast()
}

// validName reports whether name is as allowedName describes.
func validName(name string) bool {
	return name != "" && len(name) <= MaxNameSize && !strings.ContainsAny(name, " \t\r\n/")
}
