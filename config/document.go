// Package config defines the operators' versioned configuration: its documents,
// the patches that lead from one version to the next, and the checks that both
// must pass.
package config

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// A Version is the number of a configuration; each accepted patch increments it.
type Version uint64

// A Document is a whole configuration as published by the platform.
type Document struct {
	// Keys seal and open tickets: the first one seals new tickets, all of them
	// open tickets.
	Keys []Key `json:"keys"`
	// Zones have distinct names.
	Zones []Zone `json:"zones"`
	// Services have distinct ids, names and addresses.
	Services []Service `json:"services"`
}

// A Key is a secret shared by all balancers.
type Key struct {
	// ID is distinct among the keys of a document. It must not be reused while
	// tickets sealed with an earlier key of the same id may still be in use.
	ID uint8 `json:"id"`
	// Secret has MinSecretSize to MaxSecretSize bytes.
	Secret []byte `json:"secret"`
}

// A Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// State is ZoneIn or ZoneOut.
	State ZoneState `json:"state"`
}

// A ZoneState says whether a zone receives traffic.
type ZoneState string

// States of a zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// A Service is a service that callers reach at one address.
type Service struct {
	// ID is not zero and never reused for another service.
	ID   uint32 `json:"id"`
	Name string `json:"name"`
	// Address is where callers send their datagrams.
	Address netip.AddrPort `json:"address"`
	// Deadline is the longest time that the execution of a request may take.
	Deadline Duration `json:"deadline"`
	// Refresh is the interval at which callers refresh their watches.
	Refresh Duration `json:"refresh"`
	// Upstreams have ids, names and addresses that are distinct in the whole
	// document.
	Upstreams []Upstream `json:"upstreams"`
}

// An Upstream is one host that serves a service.
type Upstream struct {
	// ID is not zero and never reused for another upstream.
	ID   uint32 `json:"id"`
	Name string `json:"name"`
	// Zone names a zone of the document.
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	// Share is the upstream's weight among those of its service, 1 to
	// MaxShare.
	Share uint32 `json:"share"`
	// Slots is the maximum number of requests in flight.
	Slots uint32 `json:"slots"`
	// Connections is the maximum number of open watches.
	Connections uint32 `json:"connections"`
	// State is UpstreamActive or UpstreamDraining.
	State UpstreamState `json:"state"`
}

// An UpstreamState says whether an upstream receives new work.
type UpstreamState string

// States of an upstream.
const (
	UpstreamActive   UpstreamState = "active"
	UpstreamDraining UpstreamState = "draining"
)

// A Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText returns d as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText sets d from text in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Wrapf(err, "duration %q", text)
	}
	*d = Duration(v)
	return nil
}

// Clone returns a deep copy of d.
func (d *Document) Clone() *Document {
	c := &Document{
		Keys:     cloneKeys(d.Keys),
		Zones:    append([]Zone(nil), d.Zones...),
		Services: append([]Service(nil), d.Services...),
	}
	for i := range c.Services {
		c.Services[i] = c.Services[i].clone()
	}
	return c
}

// clone returns a deep copy of s.
func (s *Service) clone() Service {
	c := *s
	c.Upstreams = append([]Upstream(nil), s.Upstreams...)
	return c
}

func cloneKeys(keys []Key) []Key {
	c := append([]Key(nil), keys...)
	for i := range c {
		c[i].Secret = append([]byte(nil), c[i].Secret...)
	}
	return c
}
