package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// Thresholds of what is believed of an upstream from the clients' packets. A
// client repeats a packet after 200 ms, then at doubling intervals; hosts
// acknowledge at once. One flow that repeats may have lost its packet.
const (
	// minRetransmitInterval is the shortest time between two transmissions of a packet:
	// what comes sooner was overtaken on its way.
	minRetransmitInterval = 150 * time.Millisecond
	// suspectFlows is the number of flows that repeat packets, with no progress
	// on any flow of the upstream, before new flows avoid it.
	suspectFlows = 2
	// deadRetransmissions is the number of repeats, on suspectFlows flows or more,
	// before open flows are reset: a reset of a living flow can't be undone.
	deadRetransmissions = 3
	// maxRetransmitInterval is the longest time from one repeat to the next that adds to it:
	// the longest interval of a client's repeats, and some. A client that gives up
	// leaves its repeats unanswered for good.
	maxRetransmitInterval = 2 * time.Second
	// deadAfter is how long an upstream must have been silent on all flows
	// before open ones are reset.
	deadAfter = 400 * time.Millisecond
	// lateOpeningAfter is how long a first packet may be unanswered before new flows
	// avoid the upstream: the round trip between zones and to the client takes a
	// third of it. A host that has crashed resets the client's flow, which no
	// balancer sees.
	lateOpeningAfter = 50 * time.Millisecond
	// openingRetryAfter is how long new flows avoid it for that.
	openingRetryAfter = time.Second
	// deadOpenings is the number of unanswered first packets, with no progress on
	// any flow since, before open flows are reset.
	deadOpenings = 3
	// openingsWindow is the time within which they must have come: a new flow is
	// tried once a second. A client that leaves, or whose flow goes on by another
	// balancer, leaves one unanswered now and then.
	openingsWindow = 2500 * time.Millisecond
	// deadOpeningAge is how long the last one of them must have been unanswered:
	// longer than a balancer may be kept from running in its share of a core.
	deadOpeningAge = 250 * time.Millisecond
	// flowRetransmissions is the number of repeats after which a flow is reset by itself,
	// where its upstream has shown no progress since the first transmission: four
	// transmissions were lost, 1.4 s have passed. Another upstream must have
	// answered a later packet: a balancer whose own link is full gets no answers.
	flowRetransmissions = 3
	// initialBackoff is how long new flows avoid a silent upstream at first: its entry
	// lapses after three heartbeats of 1.2 s at most. The time doubles up to
	// avoidMost while it stays silent.
	initialBackoff = 4 * time.Second
	maxBackoff     = 16 * time.Second
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

// NumStates is the number of states.
const NumStates = int(Dead) + 1

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

// A StateChange is a change of what is believed of an upstream, with its evidence.
type StateChange struct {
	Upstream *directory.Upstream
	State    State
	// SilentFlows is the number of flows that repeat packets without progress.
	SilentFlows int
	// Silence is the time since the first unanswered packet; zero where nothing is
	// unanswered here.
	Silence time.Duration
	// Shared tells that other balancers' reports led to the belief.
	Shared bool
}

// health is what a balancer has seen of one upstream.
type health struct {
	load  Load
	state State
	// epoch counts the times of progress; a flow is counted once in an epoch.
	epoch uint32
	// silentFlows is the number of flows that repeated a packet in this epoch, and
	// repeats that of their repeats.
	silentFlows     int
	retransmissions int
	// silentSince is when the first packet was sent that is unanswered; zero unless
	// silent is positive.
	silentSince time.Time
	// lastRetransmission is when the last of the repeats came.
	lastRetransmission time.Time
	// lastProgress is when the upstream last showed progress here, and elsewhere when
	// it last did at another balancer that told of it.
	lastProgress          time.Time
	lastProgressElsewhere time.Time
	// openings is the number of first packets since the last progress, opened
	// when the first of them was sent, and early when the first deadOpenings
	// were.
	openings     int
	openedAt     time.Time
	openingTimes [deadOpenings]time.Time
	// probedAt is when it was last probedAt for a first packet without an answer.
	probedAt time.Time
	// avoidUntil is until when new flows avoidUntil the upstream, and busy until when they do
	// since it is behind with its work.
	avoidUntil time.Time
	busyUntil  time.Time
	// backoff is the length of the last such time.
	backoff time.Duration
	// tokens are the flows that a cold upstream may get now.
	tokens   float64
	filledAt time.Time
}

// recordProgress takes a sign that the upstream answers, and reports whether this
// changed what is believed.
func (h *health) recordProgress(now time.Time) bool {
	changed := h.state != Answering
	h.clearEvidence()
	h.lastProgress = now
	h.backoff = 0
	return changed
}

// recordOpening takes the first packet of a flow.
func (h *health) recordOpening(now time.Time) {
	if h.openings > 0 && now.Sub(h.openingTimes[0]) >= openingsWindow {
		h.openings = 0
	}
	if h.openings == 0 || now.Sub(h.openedAt) >= openingRetryAfter {
		h.openedAt = now
	}
	if h.openings < deadOpenings {
		h.openingTimes[h.openings] = now
	}
	h.openings++
}

// overdueOpenings returns the number of first packets that are overdue, deadOpenings at
// most.
func (h *health) overdueOpenings(now time.Time) int {
	n := 0
	for n < min(h.openings, deadOpenings) && now.Sub(h.openingTimes[n]) >= deadOpeningAge {
		n++
	}
	return n
}

// checkOpenings judges first packets that are unanswered, and reports whether this
// changed what is believed.
func (h *health) checkOpenings(now time.Time) bool {
	if h.state == Dead || h.overdueOpenings(now) < deadOpenings {
		return false
	}
	h.state = Dead
	h.silentFlows = max(h.silentFlows, h.openings)
	h.silentSince = h.openedAt
	h.backOff(now)
	return true
}

// avoided reports whether new flows avoid the upstream.
func (h *health) avoided(now time.Time) bool {
	if now.Before(h.avoidUntil) {
		return true
	}
	age := now.Sub(h.openedAt)
	return h.openings > 0 && age >= lateOpeningAfter && age < openingRetryAfter
}

// recordRetransmission takes a repeated packet of a flow, and reports whether this changed
// what is believed.
func (h *health) recordRetransmission(now time.Time, s *flowState) bool {
	returned := h.state != Answering && !now.Before(h.avoidUntil)
	if stale := h.silentFlows > 0 && now.Sub(h.lastRetransmission) >= maxRetransmitInterval; returned || stale {
		// The upstream may have returned: only new evidence counts.
		h.clearEvidence()
	}
	h.lastRetransmission = now
	h.retransmissions++
	if s.epoch != h.epoch+1 {
		s.epoch = h.epoch + 1
		h.silentFlows++
		if h.silentSince.IsZero() || s.unansweredSince.Before(h.silentSince) {
			h.silentSince = s.unansweredSince
		}
		if h.silentSince.Before(h.lastProgressElsewhere) {
			h.silentSince = h.lastProgressElsewhere
		}
	}
	before := h.state
	switch {
	case h.silentFlows < suspectFlows:
	case h.retransmissions >= deadRetransmissions && now.Sub(h.silentSince) >= deadAfter:
		h.state = Dead
	default:
		h.state = max(h.state, Suspected)
	}
	if h.state != Answering {
		h.backOff(now)
	}
	return h.state != before
}

// clearEvidence forgets the evidence of silence.
func (h *health) clearEvidence() {
	if h.silentFlows > 0 {
		h.epoch++
	}
	h.silentFlows, h.retransmissions = 0, 0
	h.silentSince = time.Time{}
	h.openings = 0
	h.openedAt = time.Time{}
	h.state = Answering
	h.avoidUntil = time.Time{}
}

// backOff prolongs the time during which new flows avoid the upstream.
func (h *health) backOff(now time.Time) {
	if now.Before(h.avoidUntil) {
		return
	}
	h.backoff = min(max(2*h.backoff, initialBackoff), maxBackoff)
	h.avoidUntil = now.Add(h.backoff)
}
