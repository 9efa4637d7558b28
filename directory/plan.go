package directory

import (
	"net/netip"
	"time"
)

// A Plan is one version of the operators' configuration.
type Plan struct {
	// Version increases with each change, by varying amounts.
	Version  uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is the idle time after which a flow may be forgotten; zero if
	// unknown.
	IdleTimeout time.Duration
}

// A Route maps the flows to one address to services.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Targets share the new flows by weight; there is at least one.
	Targets []Target
	// Idempotent reports whether the requests on the route's flows may run more than
	// once.
	Idempotent bool
	// Timeout is the longest time that a request on the route's flows may take.
	Timeout time.Duration
	// LatencyGoal is the time within which a request on the route's flows should be
	// answered; zero if the plan states none.
	LatencyGoal time.Duration
	// Priority is the priority of the requests on the route's flows; zero is the most
	// urgent.
	Priority int
}

// A Target is a service that a route leads to.
type Target struct {
	Service string
	// Weight is the service's share of the new flows; a service of weight zero gets
	// none.
	Weight int
}

// A Service holds the limits of the hosts of one service.
type Service struct {
	Name string
	// MaxConnections is the maximum number of flows of a host; zero if unknown.
	MaxConnections int
	// Warmup is how long a host is cold after its start.
	Warmup time.Duration
	// WarmupPerSecond is the maximum number of requests per second for a cold host;
	// zero for no limit.
	WarmupPerSecond float64
}
