package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// flowState is what a balancer remembers of one flow.
type flowState struct {
	upstream *directory.Upstream
	// opening is set until the client shows that the upstream answered.
	opening bool
	// closed is set once the client has finished or given up.
	closed bool
	// requestActive is set from a request until the client acknowledges more.
	requestActive bool
	// startsRequest is set while the packet is decided on that begins a request.
	startsRequest bool
	// firstSequence is the number of the flow's firstSequence packet, where it was seen here.
	firstSequence uint32
	// nextSequence is the number after the last byte that the client sent.
	nextSequence uint32
	// acknowledged is the highest byte that the client expects.
	acknowledged uint32
	// unansweredSince is when the oldest unanswered packet came, and last when it or its
	// last repeat did; zero where nothing is unanswered.
	unansweredSince time.Time
	lastSent        time.Time
	// abandoned is set once the client was told that the upstream is dead.
	abandoned bool
	// retransmissions is the number of retransmissions of the first packet, or of repeats.
	retransmissions int
	// epoch is one more than the upstream's epoch in which the flow was counted
	// as silent; zero for never.
	epoch uint32
}

// flowTable remembers flows in two generations: those that were idle for a whole
// generation are forgotten without looking at each.
type flowTable struct {
	current, previous map[key]*flowState
	rotatedAt         time.Time
}

func newFlowTable(now time.Time) *flowTable {
	return &flowTable{
		current:   make(map[key]*flowState),
		previous:  make(map[key]*flowState),
		rotatedAt: now,
	}
}

// find returns the state of a flow, or nil.
func (t *flowTable) find(k key) *flowState {
	if s := t.current[k]; s != nil {
		return s
	}
	s := t.previous[k]
	if s != nil {
		delete(t.previous, k)
		t.current[k] = s
	}
	return s
}

// forEach calls f for each flow remembered.
func (t *flowTable) forEach(f func(key, *flowState)) {
	for _, generation := range []map[key]*flowState{t.current, t.previous} {
		for k, s := range generation {
			f(k, s)
		}
	}
}

// len returns the number of flows remembered.
func (t *flowTable) len() int {
	return len(t.current) + len(t.previous)
}

func (t *flowTable) put(k key, s *flowState) {
	t.current[k] = s
}

// rotate ends a generation that has lasted for life, and returns the flows that
// are forgotten by that.
func (t *flowTable) rotate(now time.Time, lifetime time.Duration) map[key]*flowState {
	if now.Sub(t.rotatedAt) < lifetime {
		return nil
	}
	forgotten := t.previous
	t.previous = t.current
	t.current = make(map[key]*flowState, len(t.previous))
	t.rotatedAt = now
	return forgotten
}
