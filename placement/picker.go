// Package placement chooses the upstream of a new flow or request.
package placement

import (
	"math"
	"math/rand/v2"

	"filbertworks.example/filbertworks/config"
)

// A Load is what is last known of an upstream's load.
type Load struct {
	// Used is the work in progress: requests or watches, by the kind asked for.
	Used uint32
	// Limit is how much the upstream bears at present; zero refuses work.
	Limit uint32
}

// Loads tells the last known load of upstreams.
type Loads interface {
	// Load reports ok as false where nothing is known of the upstream.
	Load(upstream uint32) (l Load, ok bool)
}

// A Picker chooses upstreams for one balancer. It is not safe for concurrent
// use.
type Picker struct {
	zone  string
	loads Loads
	rand  *rand.Rand
	// candidates is scratch space of Pick.
	candidates []*config.Upstream
}

// NewPicker returns a picker for a balancer in a zone.
func NewPicker(zone string, loads Loads, r *rand.Rand) *Picker {
	return &Picker{
		zone:  zone,
		loads: loads,
		rand:  r,
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
// returned. A watch goes to the rendezvous choice of its flow, so that a caller
// without a ticket finds it again; of two upstreams drawn by share the one with
// the lower known load takes a request.
func (p *Picker) Pick(c *config.Snapshot, s *config.Service, q Query) *config.Upstream {
	p.collect(c, s, q.Excluded)
	if len(p.candidates) == 0 {
		return nil
	}
	if q.Watch {
		return p.rendezvous(q.Flow)
	}
	a := p.draw()
	b := p.draw()
	if p.pressure(b) < p.pressure(a) {
		return b
	}
	return a
}

// collect sets the candidates.
func (p *Picker) collect(c *config.Snapshot, s *config.Service, excluded []uint32) {
	p.candidates = p.candidates[:0]
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if u.State == config.UpstreamActive && c.ZoneIn(u.Zone) && !contains(excluded, u.ID) {
			p.candidates = append(p.candidates, u)
		}
	}
}

// draw returns a candidate with a probability in proportion to its share.
func (p *Picker) draw() *config.Upstream {
	var sum uint64
	for _, u := range p.candidates {
		sum += uint64(u.Share)
	}
	n := p.rand.Uint64N(sum)
	for _, u := range p.candidates {
		if n < uint64(u.Share) {
			return u
		}
		n -= uint64(u.Share)
	}
	return p.candidates[0]
}

// pressure returns the known load of u as a fraction of its limit.
func (p *Picker) pressure(u *config.Upstream) float64 {
	l, ok := p.loads.Load(u.ID)
	if !ok {
		return 0
	}
	if l.Limit == 0 {
		return float64(l.Used) + 1
	}
	return float64(l.Used) / float64(l.Limit)
}

// rendezvous returns the candidate with the highest weighted score for a flow.
func (p *Picker) rendezvous(flow uint64) *config.Upstream {
	var best *config.Upstream
	high := math.Inf(-1)
	for _, u := range p.candidates {
		h := mix(flow ^ mix(uint64(u.ID)))
		unit := (float64(h>>11) + 0.5) / (1 << 53)
		if score := float64(u.Share) / -math.Log(unit); score > high {
			best, high = u, score
		}
	}
	return best
}

// mix returns a bijective scrambling of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

func contains(ids []uint32, id uint32) bool {
	for _, v := range ids {
		if v == id {
			return true
		}
	}
	return false
}
