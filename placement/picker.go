// Package placement chooses the upstream of a new flow or request.
package placement

import (
	"math/rand/v2"

	"filbertworks.example/filbertworks/config"
)

// Bounds of a choice between two upstreams.
const (
	// zoneBias is how much more pressure an upstream of the own zone may have
	// than one of another zone and still be chosen.
	zoneBias = 0.05
	// watchBias is how much more pressure the first choice of a watch may have
	// than the second: a caller without a ticket moves only for this much.
	watchBias = 0.1
	// maxSamples is the number of draws that may meet excluded upstreams.
	maxSamples = 8
)

// Loads tells the last known load of upstreams.
type Loads interface {
	// Utilization returns an upstream's requests, or its watches, as a fraction of
	// what it bears: one is full, above one refuses. ok is false where nothing
	// is known.
	Utilization(upstream uint32, watch bool) (pressure float32, ok bool)
}

// A Picker chooses upstreams for one balancer. It is not safe for concurrent
// use.
type Picker struct {
	zone  string
	loads Loads
	rand  *rand.Rand
	// version is that of the configuration of indexes.
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

// A Query asks for an upstream.
type Query struct {
	// Flow is equal for all datagrams of a flow.
	Flow uint64
	// Watch tells that the work is a long-lived flow.
	Watch bool
	// Excluded are the ids of upstreams that refused the work already.
	Excluded []uint32
}

// Pick returns an upstream for new work of service s under configuration c, or
// nil. Upstreams that drain, lie in zones taken out, or are excluded are never
// returned. A watch goes to the first of the two rendezvous choices of its flow
// unless the second has clearly less load, so that a caller without a ticket
// finds it again. A request goes to an upstream of the own zone unless one of
// all zones, both drawn by share, has clearly less load.
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

// choose returns first unless second is known to have less pressure by more
// than bias.
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
