// Package placement chooses the upstream of a new flow or request.
package placement

import (
	"math/rand/v2"

	"filbertworks.example/filbertworks/config"
)

// Bounds for the choice between two upstreams.
const (
	// zoneBias is how much more utilization an upstream of the own zone may have than
	// one of another zone and still be chosen.
	zoneBias = 0.05
	// watchBias is how much more utilization the first choice of a watch may have than
	// the second and still be chosen: a caller without a ticket moves only for a larger
	// difference.
	watchBias = 0.1
	// maxSamples is the maximum number of choices that are tried while they fall on
	// excluded upstreams; after that, the first upstream that is not excluded is taken.
	maxSamples = 8
)

// Loads provides the last known loads of upstreams.
type Loads interface {
	// Utilization returns an upstream's requests, or its watches, as a fraction of its
	// limit: one is full, and above one it refuses work. ok is false if the load is not
	// known.
	Utilization(upstream uint32, watch bool) (utilization float32, ok bool)
}

// A Picker chooses upstreams for one balancer. It is not safe for concurrent
// use.
type Picker struct {
	zone  string
	loads Loads
	rand  *rand.Rand
	// version is the configuration version of indexes.
	version config.Version
	indexes map[uint32]*index
}

// NewPicker returns a picker for a balancer in a zone.
func NewPicker(zone string, loads Loads, r *rand.Rand) *Picker {
	return &Picker{
		zone:    zone,
		loads:   loads,
		rand:    r,
		indexes: make(map[uint32]*index),
	}
}

// A Query describes new work that needs an upstream.
type Query struct {
	// Flow is a hash that is equal for all datagrams of a flow.
	Flow uint64
	// Watch reports whether the work is a watch, a long-lived flow.
	Watch bool
	// Excluded are the ids of the upstreams that have already refused the work.
	Excluded []uint32
}

// Pick returns an upstream for new work of service s under configuration c, or nil. It
// never returns upstreams that drain, are in a zone that is out, or are excluded. A
// watch goes to the first of the two rendezvous choices of its flow, unless the second
// is less utilized by more than watchBias, so that a caller without a ticket finds it
// again. A request goes to a random upstream of the own zone, unless a random one of all
// zones is less utilized, by more than zoneBias if it is in another zone. Both are drawn
// with weights by share.
func (p *Picker) Pick(c *config.Snapshot, s *config.Service, q Query) *config.Upstream {
	x := p.index(c, s)
	if len(x.all.upstreams) == 0 {
		return nil
	}
	if q.Watch {
		return p.pickWatch(x, &q)
	}
	return p.pickRequest(x, &q)
}

// index returns the index of s under c.
func (p *Picker) index(c *config.Snapshot, s *config.Service) *index {
	if p.version != c.Version {
		p.version = c.Version
		clear(p.indexes)
	}
	x := p.indexes[s.ID]
	if x == nil {
		x = newIndex(c, s, p.zone)
		p.indexes[s.ID] = x
	}
	return x
}

func (p *Picker) pickRequest(x *index, q *Query) *config.Upstream {
	first := x.local.sample(p.rand, q.Excluded)
	second := x.all.sample(p.rand, q.Excluded)
	switch {
	case first == nil:
		first = x.all.sample(p.rand, q.Excluded)
	case second.Zone != first.Zone:
		return p.choose(first, second, false, zoneBias)
	}
	return p.choose(first, second, false, 0)
}

func (p *Picker) pickWatch(x *index, q *Query) *config.Upstream {
	first, next := x.rendezvous(q.Flow, q.Excluded)
	second, _ := x.rendezvous(next, q.Excluded)
	return p.choose(first, second, true, watchBias)
}

// choose returns first unless second is known to be less utilized by more than bias.
func (p *Picker) choose(first, second *config.Upstream, watch bool, bias float32) *config.Upstream {
	if first == second || first == nil || second == nil {
		return first
	}
	a, known := p.loads.Utilization(first.ID, watch)
	if !known {
		return first
	}
	b, known := p.loads.Utilization(second.ID, watch)
	if known && b+bias < a {
		return second
	}
	return first
}
