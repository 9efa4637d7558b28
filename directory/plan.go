package directory

import (
	"net/netip"
	"time"
)

// A Plan is one version of the operators' configuration.
type Plan struct {
	// Version grows with each change, in uneven steps.
	Version  uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is how long a flow may be idle before it may be forgotten;
	// zero if unknown.
	IdleTimeout time.Duration
}

// A Route leads the flows of one address to services.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Targets share the new flows by weight; there is at least one.
	Targets []Target
	// Idempotent tells that the requests inside may run more than once.
	Idempotent bool
	// Timeout is the longest time of a request inside.
	Timeout time.Duration
	// Priority is the rank of the requests inside; zero is the most urgent.
	Priority int
}

// A Target is a service that a route leads to.
type Target struct {
	Service string
	// Weight is the service's part of the new flows; zero takes none.
	Weight int
}

// A Service is what hosts of one kind can bear.
type Service struct {
	Name string
	// MaxConnections is the number of flows that a host holds; zero if unknown.
	MaxConnections int
	// Warmup is how long a host that has started is cold.
	Warmup time.Duration
	// WarmupPerSecond is the number of requests that a cold host bears in a
	// second; zero tells that there is no limit.
	WarmupPerSecond float64
}
