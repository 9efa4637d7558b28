package status

import (
	"filbertworks.example/filbertworks/config"
)

// PathLoad serves a Load on the metrics address of filbertflow.
const PathLoad = "/v1/load"

// A Load is what one balancer knows of the load that the balancers of its zone share, and what it
// makes of that for new flows.
type Load struct {
	Balancer string `json:"balancer"`
	Zone     string `json:"zone"`
	// Shared reports whether the balancer shares load at all (the setting load.share).
	Shared bool `json:"shared"`
	// Known reports whether the load of the own zone is known. Without it new flows are placed
	// by what the balancer sees itself, and Services is empty.
	Known bool `json:"known"`
	// Age is how long ago the rest was taken down.
	Age config.Duration `json:"age"`
	// Waiting is the number of first packets that wait for admission.
	Waiting int `json:"waiting"`
	// Services are sorted by service and zone.
	Services []ServiceLoad `json:"services"`
	// Upstreams are those of the own zone, sorted by service and ID.
	Upstreams []UpstreamLoad `json:"upstreams"`
}

// A ServiceLoad is the load of a service's upstreams in one zone.
type ServiceLoad struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Known reports whether the zone's load is known. The numbers are zero otherwise, apart
	// from Share.
	Known bool `json:"known"`
	// Working is the number of requests in progress.
	Working float64 `json:"working"`
	// Capacity is the number of requests that the upstreams take at once.
	Capacity float64 `json:"capacity"`
	// Free is the number of requests that upstreams with few in progress take beyond those.
	Free float64 `json:"free"`
	// Share is the share of this balancer's new flows that goes to the zone, between 0 and 1.
	// The shares of a service sum up to less than 1 if there is no room for all.
	Share float64 `json:"share"`
	// Age is how long ago the load was summed.
	Age config.Duration `json:"age"`
}

// An UpstreamLoad is the load of one upstream of the balancer's zone.
type UpstreamLoad struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Known reports whether there is a recent digest of the load. Without it, Flows and Working
	// are those of this balancer alone.
	Known bool `json:"known"`
	// Slots is the number of requests that the upstream's entry says it serves at once.
	Slots int `json:"slots"`
	// Capacity is the number of slots' worth of work that the upstream was found to take. It
	// equals Slots if that is unknown or usual.
	Capacity float64 `json:"capacity"`
	// Answers is the number of answers that Capacity rests on.
	Answers int `json:"answers"`
	// Flows is the number of open flows.
	Flows float64 `json:"flows"`
	// Working is the number of requests in progress.
	Working float64 `json:"working"`
	// Avoided reports whether the balancer opens no flows there for now, as the upstream is silent
	// or behind with its work. It counts for nothing in its zone's capacity meanwhile.
	Avoided bool `json:"avoided"`
	// Age is how long ago the load was told of.
	Age config.Duration `json:"age"`
}
