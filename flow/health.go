package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// Thresholds of what is believed of an upstream from the clients' packets. A
// client repeats a packet after 200 ms, then at doubling intervals.
const (
	// suspectFlows is the number of flows that repeat packets, with no progress
	// on any flow of the upstream, before new flows avoid it. One flow may have
	// lost its packet.
	suspectFlows = 2
	// suspectAfter is how long after the first unanswered packet a suspicion
	// may begin: longer than one repeat on a path with loss.
	suspectAfter = 300 * time.Millisecond
	// deadFlows is the number of such flows before open flows are reset.
	deadFlows = 3
	// deadAfter is how long an upstream must have been silent on all flows
	// before open ones are reset: a reset of a living flow can't be undone.
	deadAfter = 1200 * time.Millisecond
	// departedAfter replaces deadAfter where the upstream's entry went too.
	departedAfter = 500 * time.Millisecond
	// avoidFirst is how long new flows avoid a suspected upstream at first; the
	// time doubles up to avoidMost while it stays silent.
	avoidFirst = 2 * time.Second
	avoidMost  = 16 * time.Second
)

// A State is what is believed of an upstream.
type State uint8

// States of an upstream.
const (
	// Answering upstreams made progress, or nobody waits for them.
	Answering State = iota
	// Suspected upstreams get no new flows while others can.
	Suspected
	// Dead upstreams' open flows are reset when their clients repeat packets.
	Dead
)

// String returns s's name.
func (s State) String() string {
	switch s {
	case Suspected:
		return "suspected"
	case Dead:
		return "dead"
	default:
		return "answering"
	}
}

// A Belief is a change of what is believed of an upstream, with its evidence.
type Belief struct {
	Upstream *directory.Upstream
	State    State
	// Flows is the number of flows that repeat packets without progress.
	Flows int
	// Silence is the time since the first unanswered packet.
	Silence time.Duration
}

// health is what a balancer has seen of one upstream.
type health struct {
	load  Load
	state State
	// epoch counts the times of progress; a flow is counted once in an epoch.
	epoch uint32
	// silent is the number of flows that repeated a packet in this epoch.
	silent int
	// since is when the first packet was sent that is unanswered; zero unless
	// silent is positive.
	since time.Time
	// avoid is until when new flows avoid the upstream.
	avoid time.Time
	// pause is the length of the last such time.
	pause time.Duration
	// tokens are the flows that a cold upstream may get now.
	tokens float64
	filled time.Time
}

// progress takes a sign that the upstream answers, and reports whether this
// changed what is believed.
func (h *health) progress() bool {
	changed := h.state != Answering
	if h.silent > 0 {
		h.epoch++
		h.silent = 0
		h.since = time.Time{}
	}
	h.state = Answering
	h.avoid = time.Time{}
	h.pause = 0
	return changed
}

// repeat takes a repeated packet of a flow whose first copy was sent at a time,
// and reports whether this changed what is believed.
func (h *health) repeat(now, sent time.Time, s *state, departed bool) bool {
	if s.epoch != h.epoch+1 {
		s.epoch = h.epoch + 1
		h.silent++
		if h.since.IsZero() || sent.Before(h.since) {
			h.since = sent
		}
	}
	silence := now.Sub(h.since)
	before := h.state
	limit := deadAfter
	if departed {
		limit = departedAfter
	}
	switch {
	case h.silent >= deadFlows && silence >= limit, departed && silence >= deadAfter:
		h.state = Dead
		h.extend(now)
	case h.silent >= suspectFlows && silence >= suspectAfter:
		h.state = max(h.state, Suspected)
		h.extend(now)
	}
	return h.state != before
}

// extend prolongs the time during which new flows avoid the upstream.
func (h *health) extend(now time.Time) {
	if now.Before(h.avoid) {
		return
	}
	h.pause = min(max(2*h.pause, avoidFirst), avoidMost)
	h.avoid = now.Add(h.pause)
}
