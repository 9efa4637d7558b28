package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// Thresholds of what is believed of an upstream from the clients' packets. A
// client repeats a packet after 200 ms, then at doubling intervals; hosts
// acknowledge at once. One flow that repeats may have lost its packet.
const (
	// repeatAfter is the shortest time between two transmissions of a packet:
	// what comes sooner was overtaken on its way.
	repeatAfter = 150 * time.Millisecond
	// suspectFlows is the number of flows that repeat packets, with no progress
	// on any flow of the upstream, before new flows avoid it.
	suspectFlows = 2
	// deadRepeats is the number of repeats, on suspectFlows flows or more,
	// before open flows are reset: a reset of a living flow can't be undone.
	deadRepeats = 3
	// repeatsTime is the longest time from one repeat to the next that adds to it:
	// the longest interval of a client's repeats, and some. A client that gives up
	// leaves its repeats unanswered for good.
	repeatsTime = 2 * time.Second
	// deadAfter is how long an upstream must have been silent on all flows
	// before open ones are reset.
	deadAfter = 400 * time.Millisecond
	// refuseAfter is how long a first packet may be unanswered before new flows
	// avoid the upstream: the round trip between zones and to the client takes a
	// third of it. A host that has crashed resets the client's flow, which no
	// balancer sees.
	refuseAfter = 50 * time.Millisecond
	// retryAfter is how long new flows avoid it for that.
	retryAfter = time.Second
	// deadOpenings is the number of unanswered first packets, with no progress on
	// any flow since, before open flows are reset.
	deadOpenings = 3
	// openingsTime is the time within which they must have come: a new flow is
	// tried once a second. A client that leaves, or whose flow goes on by another
	// balancer, leaves one unanswered now and then.
	openingsTime = 2500 * time.Millisecond
	// deadOpeningAge is how long the last one of them must have been unanswered:
	// longer than a balancer may be kept from running in its share of a core.
	deadOpeningAge = 250 * time.Millisecond
	// flowRepeats is the number of repeats after which a flow is reset by itself,
	// where its upstream has shown no progress since the first transmission: four
	// transmissions were lost, 1.4 s have passed. Another upstream must have
	// answered a later packet: a balancer whose own link is full gets no answers.
	flowRepeats = 3
	// avoidFirst is how long new flows avoid a silent upstream at first: its entry
	// lapses after three heartbeats of 1.2 s at most. The time doubles up to
	// avoidMost while it stays silent.
	avoidFirst = 4 * time.Second
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
	// silent is the number of flows that repeated a packet in this epoch, and
	// repeats that of their repeats.
	silent  int
	repeats int
	// since is when the first packet was sent that is unanswered; zero unless
	// silent is positive.
	since time.Time
	// repeated is when the last of the repeats came.
	repeated time.Time
	// progressed is when the upstream last showed progress here, and elsewhere when
	// it last did at another balancer that told of it.
	progressed time.Time
	elsewhere  time.Time
	// openings is the number of first packets since the last progress, opened
	// when the first of them was sent, and early when the first deadOpenings
	// were.
	openings int
	opened   time.Time
	early    [deadOpenings]time.Time
	// probed is when it was last probed for a first packet without an answer.
	probed time.Time
	// avoid is until when new flows avoid the upstream, and busy until when they do
	// since it is behind with its work.
	avoid time.Time
	busy  time.Time
	// pause is the length of the last such time.
	pause time.Duration
	// tokens are the flows that a cold upstream may get now.
	tokens float64
	filled time.Time
}

// progress takes a sign that the upstream answers, and reports whether this
// changed what is believed.
func (h *health) progress(now time.Time) bool {
	changed := h.state != Answering
	h.restart()
	h.progressed = now
	h.pause = 0
	return changed
}

// open takes the first packet of a flow.
func (h *health) open(now time.Time) {
	if h.openings > 0 && now.Sub(h.early[0]) >= openingsTime {
		h.openings = 0
	}
	if h.openings == 0 || now.Sub(h.opened) >= retryAfter {
		h.opened = now
	}
	if h.openings < deadOpenings {
		h.early[h.openings] = now
	}
	h.openings++
}

// due returns the number of first packets that are overdue, deadOpenings at
// most.
func (h *health) due(now time.Time) int {
	n := 0
	for n < min(h.openings, deadOpenings) && now.Sub(h.early[n]) >= deadOpeningAge {
		n++
	}
	return n
}

// overdue judges first packets that are unanswered, and reports whether this
// changed what is believed.
func (h *health) overdue(now time.Time) bool {
	if h.state == Dead || h.due(now) < deadOpenings {
		return false
	}
	h.state = Dead
	h.silent = max(h.silent, h.openings)
	h.since = h.opened
	h.extend(now)
	return true
}

// avoided reports whether new flows avoid the upstream.
func (h *health) avoided(now time.Time) bool {
	if now.Before(h.avoid) {
		return true
	}
	age := now.Sub(h.opened)
	return h.openings > 0 && age >= refuseAfter && age < retryAfter
}

// repeat takes a repeated packet of a flow, and reports whether this changed
// what is believed.
func (h *health) repeat(now time.Time, s *state) bool {
	returned := h.state != Answering && !now.Before(h.avoid)
	if stale := h.silent > 0 && now.Sub(h.repeated) >= repeatsTime; returned || stale {
		// The upstream may have returned: only new evidence counts.
		h.restart()
	}
	h.repeated = now
	h.repeats++
	if s.epoch != h.epoch+1 {
		s.epoch = h.epoch + 1
		h.silent++
		if h.since.IsZero() || s.sent.Before(h.since) {
			h.since = s.sent
		}
		if h.since.Before(h.elsewhere) {
			h.since = h.elsewhere
		}
	}
	before := h.state
	switch {
	case h.silent < suspectFlows:
	case h.repeats >= deadRepeats && now.Sub(h.since) >= deadAfter:
		h.state = Dead
	default:
		h.state = max(h.state, Suspected)
	}
	if h.state != Answering {
		h.extend(now)
	}
	return h.state != before
}

// restart forgets the evidence of silence.
func (h *health) restart() {
	if h.silent > 0 {
		h.epoch++
	}
	h.silent, h.repeats = 0, 0
	h.since = time.Time{}
	h.openings = 0
	h.opened = time.Time{}
	h.state = Answering
	h.avoid = time.Time{}
}

// extend prolongs the time during which new flows avoid the upstream.
func (h *health) extend(now time.Time) {
	if now.Before(h.avoid) {
		return
	}
	h.pause = min(max(2*h.pause, avoidFirst), avoidMost)
	h.avoid = now.Add(h.pause)
}
