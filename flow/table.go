package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// flowState is the state of one flow at a balancer.
type flowState struct {
	upstream *directory.Upstream
	// opening is set until a packet of the client shows that the upstream answered.
	opening bool
	// firstSentAt is when the first packet was sent to the upstream, by this balancer or
	// by another one; zero if this balancer has seen neither it nor a copy.
	firstSentAt time.Time
	// closed is set once the client has finished or reset the flow, or the balancer has
	// abandoned, replaced or forgotten it.
	closed bool
	// requestActive is set from a request until the client acknowledges more content.
	requestActive bool
	// requestAt is when the latest content of the request in progress came, and requestWorking
	// the number of requests in progress at the upstream when the request began. The time of
	// its answer is measured if requestMeasured is set.
	requestAt       time.Time
	requestWorking  float64
	requestMeasured bool
	// requestEntryAt is the sentAt of the request's entry in the forwarder's activeRequests.
	requestEntryAt time.Time
	// startsRequest is set while a packet that starts a request is decided on.
	startsRequest bool
	// seenAt is when the client's last packet came here.
	seenAt time.Time
	// adopted is set if another balancer opened the flow.
	adopted bool
	// away is set while the flow does not count in its upstream's load, as its packets seem to go to
	// another balancer.
	away bool
	// answered is set once the client has acknowledged content of the upstream.
	answered bool
	// firstSequence is the sequence number of the flow's first packet, if this
	// balancer saw it.
	firstSequence uint32
	// nextSequence is the sequence number after the last byte that the client sent.
	nextSequence uint32
	// acknowledged is the highest sequence number that the client expects next.
	acknowledged uint32
	// measuredAt is when the current period of the measurement of the flow's throughput began, and
	// measuredFrom what the client had acknowledged then.
	measuredAt   time.Time
	measuredFrom uint32
	// unansweredSequence is the sequence number of the oldest unanswered packet.
	unansweredSequence uint32
	// unansweredSince is when the oldest unanswered packet came, and lastSent is when
	// it or its last retransmission did; zero if no packet is unanswered.
	unansweredSince time.Time
	lastSent        time.Time
	// abandoned is set once the flow was given up because its upstream is dead, at abandonedAt: it
	// was reset, or is to be rejected at its next packet.
	abandoned   bool
	abandonedAt time.Time
	// retransmissions is the number of retransmissions of the first packet, or of later
	// unanswered ones.
	retransmissions int
	// epoch is the epoch of the upstream's silence in which the flow was last counted, plus
	// one; zero for never.
	epoch uint32
}

// maxInFlight is the maximum content, in bytes, that a client sends without an
// acknowledgment: 16 packets.
const maxInFlight = 16 * 1200

// maxSequenceGap is the maximum difference, in bytes, between a sequence number of a flow at
// this balancer and one in a packet of the same flow.
const maxSequenceGap = 76_800

// expectAnswer records that p is the oldest unanswered packet.
func (s *flowState) expectAnswer(now time.Time, p *Packet) {
	s.unansweredSequence = p.Sequence
	s.unansweredSince, s.lastSent = now, now
}

// establishedAt reports whether p belongs to the flow, and the flow's upstream is known by an
// answer of it. Then p's ticket is ignored: the client sends the ticket of the last packet
// that it received, and any host that got a copy of its first packet may have sent that.
//
// The knowledge may be wrong, so it counts only while the flow's packets are answered.
func (s *flowState) establishedAt(p *Packet) bool {
	if !s.answered || s.closed || s.retransmissions >= moveAfterCopies || !p.Flags.Has(FlagAcknowledge) {
		return false
	}
	gap := int32(p.Acknowledged - s.acknowledged)
	return -maxSequenceGap <= gap && gap <= maxSequenceGap
}

// openedBy reports whether p is a copy of the flow's first packet. This balancer may not
// have seen the first packet itself.
func (s *flowState) openedBy(p *Packet) bool {
	return s.firstSequence == p.Sequence || !s.opening && s.nextSequence-p.Sequence <= maxSequenceGap
}

// flowTable holds the flows in two generations, so that flows that were idle for a
// whole generation expire without a look at each.
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

// find returns the state of a flow, or nil, and moves the flow to the current
// generation.
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

// peek returns the state of a flow, or nil.
func (t *flowTable) peek(k key) *flowState {
	if s := t.current[k]; s != nil {
		return s
	}
	return t.previous[k]
}

// forEach calls f for each flow in the table.
func (t *flowTable) forEach(f func(key, *flowState)) {
	for _, generation := range []map[key]*flowState{t.current, t.previous} {
		for k, s := range generation {
			f(k, s)
		}
	}
}

// len returns the number of flows in the table.
func (t *flowTable) len() int {
	return len(t.current) + len(t.previous)
}

func (t *flowTable) put(k key, s *flowState) {
	t.current[k] = s
}

// rotate starts a new generation if the current one has lasted for lifetime, and
// returns the flows that expire by that.
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
