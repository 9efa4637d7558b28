package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// state is what a balancer remembers of one flow.
type state struct {
	upstream *directory.Upstream
	// opening is set until the client shows that the upstream answered.
	opening bool
	// closed is set once the client has finished or given up.
	closed bool
	// working is set from a request until the client acknowledges more.
	working bool
	// starts is set while the packet is decided on that begins a request.
	starts bool
	// first is the number of the flow's first packet, where it was seen here.
	first uint32
	// next is the number after the last byte that the client sent.
	next uint32
	// acknowledged is the highest byte that the client expects.
	acknowledged uint32
	// sent is when the oldest unanswered packet came, and last when it or its
	// last repeat did; zero where nothing is unanswered.
	sent time.Time
	last time.Time
	// abandoned is set once the client was told that the upstream is dead.
	abandoned bool
	// copies is the number of copies of the first packet, or of repeats.
	copies int
	// epoch is one more than the upstream's epoch in which the flow was counted
	// as silent; zero for never.
	epoch uint32
}

// table remembers flows in two generations: those that were idle for a whole
// generation are forgotten without looking at each.
type table struct {
	young, old map[key]*state
	turned     time.Time
}

func newTable(now time.Time) *table {
	return &table{
		young:  make(map[key]*state),
		old:    make(map[key]*state),
		turned: now,
	}
}

// find returns the state of a flow, or nil.
func (t *table) find(k key) *state {
	if s := t.young[k]; s != nil {
		return s
	}
	s := t.old[k]
	if s != nil {
		delete(t.old, k)
		t.young[k] = s
	}
	return s
}

// all calls f for each flow remembered.
func (t *table) all(f func(key, *state)) {
	for _, generation := range []map[key]*state{t.young, t.old} {
		for k, s := range generation {
			f(k, s)
		}
	}
}

// len returns the number of flows remembered.
func (t *table) len() int {
	return len(t.young) + len(t.old)
}

func (t *table) put(k key, s *state) {
	t.young[k] = s
}

// turn ends a generation that has lasted for life, and returns the flows that
// are forgotten by that.
func (t *table) turn(now time.Time, life time.Duration) map[key]*state {
	if now.Sub(t.turned) < life {
		return nil
	}
	forgotten := t.old
	t.old = t.young
	t.young = make(map[key]*state, len(t.old))
	t.turned = now
	return forgotten
}
