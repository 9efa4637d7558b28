// Package status defines what a balancer reports about itself to operators: the
// types that its admin endpoint serves and the command line reads.
package status

import (
	"filbertworks.example/filbertworks/config"
)

// Paths of a balancer's admin endpoint.
const (
	// PathHealth answers 200 while the process works.
	PathHealth = "/healthz"
	// PathReady answers 200, or 503 with the reason.
	PathReady = "/ready"
	// PathMetrics serves metrics in the Prometheus format.
	PathMetrics = "/metrics"
	// PathStatus serves a Status.
	PathStatus = "/v1/status"
	// PathExplain serves the Explanation of a Query.
	PathExplain = "/v1/explain"
	// PathDrain starts a graceful leave and answers 202.
	PathDrain = "/v1/drain"
)

// A Status is the state of one balancer at one moment.
type Status struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Incarnation identifies the process, in hexadecimal digits.
	Incarnation string `json:"incarnation"`
	// Version is the configuration version in force, zero before the first.
	Version config.Version `json:"version"`
	// VersionAge is how long Version has been in force here.
	VersionAge config.Duration `json:"version_age"`
	// PlatformAge is how long ago the platform last answered this balancer or a
	// peer that passed the answer on.
	PlatformAge config.Duration `json:"platform_age"`
	// Leaving is set once a graceful leave has begun.
	Leaving bool `json:"leaving"`
	// Members are sorted by name.
	Members []Member `json:"members"`
	// Services are sorted by name.
	Services []Service `json:"services"`
	// Flows is the number of flows held here.
	Flows int `json:"flows"`
	// Requests is the number of requests in flight here.
	Requests int `json:"requests"`
	// Counters are sorted by name, then reason.
	Counters []Counter `json:"counters"`
}

// A Member is a balancer as seen by another.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// State is a short word such as "live", "suspect", "leaving" or "dead".
	State string `json:"state"`
	// Version is the configuration version that the member last reported.
	Version config.Version `json:"version"`
	// LastHeard is how long ago the member was last heard from.
	LastHeard config.Duration `json:"last_heard"`
}

// A Service is a service's state as seen by one balancer.
type Service struct {
	Name string `json:"name"`
	// Upstreams are sorted by name.
	Upstreams []Upstream `json:"upstreams"`
}

// An Upstream is an upstream's state as seen by one balancer. Its numbers are
// exact at its keeper and may be outdated at other balancers.
type Upstream struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// State is a short word such as "active", "cold", "draining" or "down".
	State string `json:"state"`
	// Keeper is the name of the balancer that admits work to the upstream.
	Keeper string `json:"keeper"`
	// Limit is the number of requests that may be in flight now.
	Limit int `json:"limit"`
	// Requests is the number of requests in flight.
	Requests int `json:"requests"`
	// Queued is the number of requests that wait for a slot.
	Queued int `json:"queued"`
	// Connections is the number of open watches.
	Connections int `json:"connections"`
	// Sheds is the number of requests that the upstream has shed.
	Sheds uint64 `json:"sheds"`
}

// A Counter is a count since the process started.
type Counter struct {
	Name string `json:"name"`
	// Reason is empty if the count is not split by reason.
	Reason string `json:"reason,omitempty"`
	Value  uint64 `json:"value"`
}

// An Explanation states how a balancer would route a datagram, and why.
type Explanation struct {
	Service string `json:"service"`
	// Upstream and Keeper are empty if the datagram would be refused.
	Upstream string `json:"upstream,omitempty"`
	Keeper   string `json:"keeper,omitempty"`
	// Decision is a short word such as "forward", "relay" or "refuse".
	Decision string `json:"decision"`
	// Why has one short sentence for each step that led to the decision.
	Why []string `json:"why"`
}

// An Error is the body of a response whose status is not 2xx.
type Error struct {
	Error string `json:"error"`
}
