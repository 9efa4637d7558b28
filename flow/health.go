package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// Thresholds for the state of an upstream, which is derived from the clients' packets.
// A client retransmits a packet after 200 ms, then at doubling intervals; hosts
// acknowledge at once. A retransmission on a single flow may be due to packet loss.
const (
	// minRetransmitInterval is the minimum time between two transmissions of a packet.
	// What comes sooner was reordered on its way.
	minRetransmitInterval = 150 * time.Millisecond
	// suspectFlows is the number of flows with retransmissions, without progress on
	// any flow of the upstream, before it is suspected and new flows avoid it.
	suspectFlows = 2
	// deadRetransmissions is the number of retransmissions, on suspectFlows flows or
	// more, before open flows are reset: the reset of a live flow can't be undone.
	deadRetransmissions = 3
	// maxRetransmitInterval is the maximum time between two retransmissions that count
	// together: a little more than the longest interval of a client's retransmissions.
	// The retransmissions of a client that gave up stay unanswered forever.
	maxRetransmitInterval = 2 * time.Second
	// deadAfter is how long an upstream must have been silent on all flows before
	// open flows are reset.
	deadAfter = 400 * time.Millisecond
	// lateOpeningAfter is how long a first packet may be unanswered before new flows
	// avoid the upstream. The round trip between zones and to the client takes a
	// third of it. A crashed host resets the client's flow, and balancers don't see
	// that reset.
	lateOpeningAfter = 50 * time.Millisecond
	// openingRetryAfter is how long after an unanswered first packet a new flow may
	// try the upstream again.
	openingRetryAfter = time.Second
	// deadOpenings is the number of unanswered first packets, without progress on any
	// flow since, before open flows are reset. Those that come within openingRetryAfter
	// count as one: their flows may all go on by other balancers after a rehash.
	deadOpenings = 3
	// openingsWindow is the time within which these first packets must have come. An
	// avoided upstream gets one new flow a second to try it. Single first packets stay
	// unanswered now and then, when a client leaves or its flow goes on by another
	// balancer.
	openingsWindow = 2500 * time.Millisecond
	// deadOpeningAge is how long the last of these first packets must have been
	// unanswered: longer than a balancer may go unscheduled on its share of a core.
	deadOpeningAge = 250 * time.Millisecond
	// fullFlows is the number of flows with two unanswered copies of their first packets,
	// while the upstream opens no flow, from which on it is taken for full. It may serve
	// its open flows then, and accept probes. The answers of two flows are lost in a row
	// now and then.
	fullFlows = 3
	// flowRetransmissions is the number of retransmissions after which a single flow is
	// reset, or the zone asked about its upstream, if that has shown no progress since the
	// first transmission: four transmissions were lost and 1.4 s have passed. Another
	// upstream must have answered a later packet, since a balancer whose own link is
	// congested gets no answers at all.
	flowRetransmissions = 3
	// initialBackoff is how long new flows first avoid a silent upstream: its directory
	// entry lapses after three heartbeats of 1.2 s at most. The time doubles up to
	// maxBackoff while the upstream stays silent.
	initialBackoff = 4 * time.Second
	maxBackoff     = 16 * time.Second
	// deathLifetime is how long an upstream that was found dead counts as dead. After
	// that its network path may have healed, and flows are reset by new evidence only.
	deathLifetime = 2 * time.Second
)

// A State is the state of an upstream as seen by one balancer.
type State uint8

// States of an upstream.
const (
	// Answering upstreams have made progress, or no client waits for them.
	Answering State = iota
	// Suspected upstreams get no new flows while other upstreams can take them.
	Suspected
	// Dead upstreams are avoided like suspected ones, and their open flows are reset.
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

// A StateChange is a change of an upstream's state, with the evidence for it.
type StateChange struct {
	Upstream *directory.Upstream
	State    State
	// SilentFlows is the number of open flows with retransmissions and without progress,
	// and SilentOpenings that of flows whose first packet is retransmitted.
	SilentFlows    int
	SilentOpenings int
	// Silence is the time since the first unanswered packet; zero if no packet is
	// unanswered here.
	Silence time.Duration
	// Shared reports whether other balancers' reports led to the change.
	Shared bool
}

// health is what a balancer has seen of one upstream.
type health struct {
	load Load
	// working is the sum of the times of requests in progress since the last report, as of
	// workingAt.
	working   time.Duration
	workingAt time.Time
	// reported is the mean number of requests in progress in the last two reports, the latest
	// first.
	reported [2]float64
	state    State
	// diedAt is when the upstream was last found dead.
	diedAt time.Time
	// open is the silence on open flows, and opening that on flows that have not opened.
	// An upstream that holds as many flows as it can answers no first packet, so the
	// latter does not show that it is dead.
	open    silence
	opening silence
	// reachedAt is when the last connection to the upstream that was accepted was
	// started, and unreachedAt when the last one was that was refused or not answered.
	reachedAt   time.Time
	unreachedAt time.Time
	// askedAt is when the zone was last asked about the upstream, of which this balancer
	// had seen nothing; zero if another one has refuted that.
	askedAt time.Time
	// lateFlows is the number of flows with moveAfterCopies unanswered copies of their
	// first packets since the upstream last opened a flow.
	lateFlows int
	// lastProgress is when the upstream last showed progress here, and
	// lastProgressElsewhere when it last did according to another balancer's refutation.
	lastProgress          time.Time
	lastProgressElsewhere time.Time
	// openings is the number of first packets since the last progress, where those within
	// openingRetryAfter count as one. openedAt is when the last counted one was sent, and
	// openingTimes are when the first deadOpenings of them were.
	openings     int
	openedAt     time.Time
	openingTimes [deadOpenings]time.Time
	// probedAt is when a probe was last requested because of an unanswered packet.
	probedAt time.Time
	// avoidUntil is until when new flows avoid the upstream because it is silent, and
	// busyUntil until when they do because it is overloaded.
	avoidUntil time.Time
	busyUntil  time.Time
	// backoff is how long avoidUntil was last extended by.
	backoff time.Duration
	// tokens is the token bucket of a cold upstream: the number of flows that it may
	// get now, as of filledAt.
	tokens   float64
	filledAt time.Time
}

// addWorking adds the time of the requests in progress up to now. It is called before their
// number changes.
func (h *health) addWorking(now time.Time) {
	if !h.workingAt.IsZero() {
		h.working += time.Duration(h.load.ActiveRequests) * now.Sub(h.workingAt)
	}
	h.workingAt = now
}

// takeWorking returns the mean number of requests in progress over the period that ends now,
// and starts the next period.
func (h *health) takeWorking(now time.Time, period time.Duration) float64 {
	h.addWorking(now)
	sum := h.working
	h.working = 0
	if period <= 0 {
		return float64(h.load.ActiveRequests)
	}
	return sum.Seconds() / period.Seconds()
}

// silentFlows returns the number of flows with retransmissions, open or not.
func (h *health) silentFlows() int {
	return h.open.flows + h.opening.flows
}

// lastRetransmission returns when the last retransmission came.
func (h *health) lastRetransmission() time.Time {
	return latest(h.open.retransmittedAt, h.opening.retransmittedAt)
}

// lastLife returns when the upstream last showed that it lives.
func (h *health) lastLife() time.Time {
	return latest(h.lastProgress, h.reachedAt)
}

// failed reports whether new flows avoid the upstream for more than unanswered first packets,
// whose answers may have been lost, and the upstream has shown no life since.
func (h *health) failed(now time.Time) bool {
	if !now.Before(h.avoidUntil) {
		return false
	}
	life := latest(h.lastLife(), h.lastProgressElsewhere)
	unreached := h.unreachedAt.After(life) && now.Sub(h.unreachedAt) < unreachedLifetime
	return unreached || h.open.retransmittedAt.After(life) || h.diedAt.After(life) || h.askedAt.After(life)
}

// opensFlows reports whether the upstream lives and seems to open flows, although it has left
// a first packet unanswered that was sent to it at a time.
func (h *health) opensFlows(sentAt time.Time) bool {
	return h.lateFlows < fullFlows && h.livedAfter(sentAt)
}

// livedAfter reports whether the upstream has shown that it lives after it got a packet that
// was sent at a time. Progress that is seen within lateOpeningAfter may acknowledge what it has
// sent before.
func (h *health) livedAfter(sentAt time.Time) bool {
	progress := latest(h.lastProgress, h.lastProgressElsewhere)
	return h.reachedAt.After(sentAt) || !progress.Before(sentAt.Add(lateOpeningAfter))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordProgress records that the upstream has answered, and reports whether this
// changed its state.
func (h *health) recordProgress(now time.Time) bool {
	changed := h.state != Answering
	h.clearEvidence()
	h.lastProgress = now
	h.backoff = 0
	return changed
}

// markDead records that the upstream was found dead.
func (h *health) markDead(now time.Time) {
	h.state = Dead
	h.diedAt = now
}

// dead reports whether the upstream was found dead recently enough to reset its flows.
func (h *health) dead(now time.Time) bool {
	return h.state == Dead && now.Sub(h.diedAt) < deathLifetime
}

// expireDeath clears the evidence for a death that is older than deathLifetime. New flows
// still avoid the upstream.
func (h *health) expireDeath(now time.Time) {
	if h.state != Dead || h.dead(now) {
		return
	}
	avoidUntil := h.avoidUntil
	h.clearEvidence()
	h.state = Suspected
	h.avoidUntil = avoidUntil
}

// recordOpening records that the first packet of a flow goes to the upstream.
func (h *health) recordOpening(now time.Time) {
	if h.openings > 0 && now.Sub(h.openingTimes[0]) >= openingsWindow {
		h.openings = 0
	}
	if h.openings > 0 && now.Sub(h.openedAt) < openingRetryAfter {
		return
	}
	h.openedAt = now
	if h.openings < deadOpenings {
		h.openingTimes[h.openings] = now
	}
	h.openings++
}

// overdueOpenings returns the number of first packets that have been unanswered for
// deadOpeningAge, at most deadOpenings.
func (h *health) overdueOpenings(now time.Time) int {
	n := 0
	for n < min(h.openings, deadOpenings) && now.Sub(h.openingTimes[n]) >= deadOpeningAge {
		n++
	}
	return n
}

// checkOpenings marks the upstream dead if deadOpenings first packets are overdue, and
// reports whether this changed its state. The argument answered is when the latest packet
// that any upstream has answered was sent.
func (h *health) checkOpenings(now, answered time.Time) bool {
	h.expireDeath(now)
	if h.state == Dead || h.overdueOpenings(now) < deadOpenings || !answered.After(h.openingTimes[deadOpenings-1]) {
		return false
	}
	h.markDead(now)
	h.opening.flows = max(h.opening.flows, h.openings)
	h.opening.since = h.openingTimes[0]
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

// recordRetransmission records a retransmission on a flow. The upstream is suspected if
// several flows retransmit.
func (h *health) recordRetransmission(now time.Time, s *flowState) {
	h.expireDeath(now)
	returned := h.state != Answering && !now.Before(h.avoidUntil)
	if stale := h.silentFlows() > 0 && now.Sub(h.lastRetransmission()) >= maxRetransmitInterval; returned || stale {
		// The upstream may have recovered: only new evidence counts.
		h.clearEvidence()
	}
	evidence := &h.open
	if s.opening {
		evidence = &h.opening
	}
	evidence.add(now, latest(s.unansweredSince, h.lastProgressElsewhere), &s.epoch)
	if h.silentFlows() >= suspectFlows {
		h.state = max(h.state, Suspected)
	}
	if h.state != Answering {
		h.backOff(now)
	}
}

// silentToDeath reports whether the silence on open flows shows that the upstream is dead.
func (h *health) silentToDeath(now time.Time) bool {
	return h.open.flows >= suspectFlows && h.open.retransmissions >= deadRetransmissions && h.open.duration(now) >= deadAfter
}

// clearEvidence clears the evidence of silence and resets the state to Answering.
func (h *health) clearEvidence() {
	h.open.clear()
	h.opening.clear()
	h.openings = 0
	h.openedAt = time.Time{}
	h.state = Answering
	h.avoidUntil = time.Time{}
}

// markAlive records that another balancer has seen at a time that the upstream lives. First
// packets that it leaves unanswered remain evidence against new flows, and retransmissions since
// then against open ones.
func (h *health) markAlive(at time.Time) {
	h.lastProgressElsewhere = at
	h.askedAt, h.diedAt = time.Time{}, time.Time{}
	if h.state == Dead || !h.open.retransmittedAt.After(at) {
		h.open.clear()
	}
	h.open.startAfter(at)
	h.opening.startAfter(at)
	h.state = Answering
	if h.silentFlows() >= suspectFlows {
		h.state = Suspected
		return
	}
	h.avoidUntil = time.Time{}
}

// backOff makes new flows avoid the upstream for the next backoff, which doubles from
// initialBackoff to maxBackoff. It does nothing while the last one still runs.
func (h *health) backOff(now time.Time) {
	if now.Before(h.avoidUntil) {
		return
	}
	h.backoff = min(max(2*h.backoff, initialBackoff), maxBackoff)
	h.avoidUntil = now.Add(h.backoff)
}
