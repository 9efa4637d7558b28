package placement

import "time"

// LoadTTL is how long a load counts after it was reported.
const LoadTTL = 5 * time.Second

// A LoadTable holds the last known loads of upstreams, as reported by their keepers: the
// balancers that limit and track the work of these upstreams. It is not safe for
// concurrent use.
type LoadTable struct {
	now   time.Time
	loads map[uint32]load
}

type load struct {
	requests, watches float32
	updatedAt         time.Time
}

// NewLoadTable returns an empty table.
func NewLoadTable() *LoadTable {
	return &LoadTable{loads: make(map[uint32]load)}
}

// Advance sets the current time, by which loads expire.
func (t *LoadTable) Advance(now time.Time) {
	t.now = now
}

// Update stores the loads of an upstream as fractions of its limits.
func (t *LoadTable) Update(now time.Time, upstream uint32, requests, watches float32) {
	t.loads[upstream] = load{
		requests:  requests,
		watches:   watches,
		updatedAt: now,
	}
}

// RecordPlacement adds the load of work that this balancer has just placed to the last
// known load of the upstream, if any.
func (t *LoadTable) RecordPlacement(upstream uint32, watch bool, load float32) {
	l, ok := t.loads[upstream]
	if !ok {
		return
	}
	if watch {
		l.watches += load
	} else {
		l.requests += load
	}
	t.loads[upstream] = l
}

// Utilization implements Loads.
func (t *LoadTable) Utilization(upstream uint32, watch bool) (float32, bool) {
	l, ok := t.loads[upstream]
	if !ok || t.now.Sub(l.updatedAt) > LoadTTL {
		return 0, false
	}
	if watch {
		return l.watches, true
	}
	return l.requests, true
}
