package flow

import (
	"bytes"
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

// defaultIdleTimeout is the default idle time after which a flow may be forgotten; at
// the latest it is forgotten after twice that. It exceeds the idle timeouts of the
// hosts.
const defaultIdleTimeout = 20 * time.Second

// Owners assigns each cold upstream to the one balancer that opens new flows to it.
type Owners interface {
	// Owns reports whether this balancer opens the flows of u.
	Owns(u *directory.Upstream) bool
}

// A Forwarder makes the decisions of one balancer on packets, and tracks the flows and
// the health of upstreams for that. It is not safe for concurrent use.
type Forwarder struct {
	zone        string
	owners      Owners
	idleTimeout time.Duration
	asksZone    bool
	flows       *flowTable
	health      map[directory.Ticket]*health
	attempts    *attempts
	openings    openings
	// sharing is nil unless new flows are placed by the load that other balancers see, too.
	sharing      *sharing
	stateChanges []StateChange
	resets       []Reset
	reports      []Report
	// asked holds the inquiries that may still be confirmed, and confirmedDeaths the
	// upstreams whose flows are to be reset.
	asked           map[directory.Ticket]askedDeath
	confirmedDeaths []confirmedDeath
	// unproven holds the silent upstreams that are judged once this balancer's own
	// path has proved to work.
	unproven []*directory.Upstream
	// pendingOpenings and pendingRequests are the packets whose answers are not due
	// yet, and lateOpenings the first packets that were not answered in time and may need
	// another probe, ordered by deadline. toProbe holds the upstreams to probe, and
	// requestProbedAt is when a late request last led to a probe.
	pendingOpenings []pendingAnswer
	lateOpenings    []pendingAnswer
	pendingRequests []pendingAnswer
	// activeRequests are the requests that were started within maxRequestTime, in order.
	activeRequests  []pendingAnswer
	toProbe         []*directory.Upstream
	requestProbedAt time.Time
	// throughput is how fast flows get on.
	throughput throughput
	// verifications hold what is known of flows that may have moved to other balancers.
	verifications verifications
	// ignoreUntil is until when packets are ignored as evidence of silence.
	ignoreUntil time.Time
	// lastAnswered is when the latest packet that any upstream has answered was sent:
	// until then this balancer's own network path worked.
	lastAnswered time.Time
}

// An Option overrides a default of a forwarder.
type Option func(*Forwarder)

// WithIdleTimeout sets the idle time after which a flow may be forgotten.
func WithIdleTimeout(d time.Duration) Option {
	return func(f *Forwarder) {
		f.idleTimeout = d
	}
}

// WithInquiries leaves it to the inquiries of the zone to find an upstream dead: other
// balancers may see answers of an upstream that this one alone can't reach.
func WithInquiries() Option {
	return func(f *Forwarder) {
		f.asksZone = true
	}
}

// New returns a forwarder for a balancer in a zone.
func New(now time.Time, zone string, owners Owners, options ...Option) *Forwarder {
	f := &Forwarder{
		zone:        zone,
		owners:      owners,
		idleTimeout: defaultIdleTimeout,
		flows:       newFlowTable(now),
		health:      make(map[directory.Ticket]*health),
		asked:       make(map[directory.Ticket]askedDeath),
		attempts:    newAttempts(),
		openings:    newOpenings(),
		throughput:  newThroughput(),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Advance moves the forwarder's time to now without a packet. It resets the open flows
// of upstreams whose death was confirmed, and checks the packets whose answers were due and
// those that were held.
func (f *Forwarder) Advance(now time.Time, v *directory.View) {
	f.applyDeaths(now, v)
	f.verify(now)
	f.uncountMoved(now)
	f.checkPending(now)
	f.expireRequests(now)
	f.checkLookups(now, v)
	f.checkWaiting(now, v)
}

// StateChanges returns the state changes of upstreams since the last call.
func (f *Forwarder) StateChanges() []StateChange {
	b := f.stateChanges
	f.stateChanges = nil
	return b
}

// Flows returns the number of flows in the flow table.
func (f *Forwarder) Flows() int {
	return f.flows.len()
}

// A Reset is the reset of an open flow whose upstream has been found dead, given as the
// client's packet that it answers.
type Reset struct {
	Packet
	// Quiet is the time since the client's last packet came to this balancer.
	Quiet time.Duration
}

// Resets returns the flows to reset since the last call.
func (f *Forwarder) Resets() []Reset {
	r := f.resets
	f.resets = nil
	return r
}

// Forward decides on a packet that came at now, by the view v of the directory.
func (f *Forwarder) Forward(now time.Time, v *directory.View, p *Packet) Decision {
	f.expireFlows(now, v)
	f.Advance(now, v)
	k := p.key()
	s := f.flows.find(k)
	if p.Flags.Has(FlagOpen) {
		return f.open(now, v, p, k, s)
	}
	f.dropOvertaken(p, k)
	return f.follow(now, v, p, k, s)
}

// open decides on the first packet of a flow, or on a retransmission of it.
func (f *Forwarder) open(now time.Time, v *directory.View, p *Packet, k key, s *flowState) Decision {
	switch {
	case s == nil || !s.openedBy(p):
	case s.opening:
		return f.openCopy(now, v, p, k, s)
	case !s.closed:
		// The flow is established. Another host would answer the copy, and the client
		// would follow that answer.
		return f.forwardCopy(s)
	}
	if v.Plan == nil {
		return Decision{Reason: ReasonNotReady}
	}
	if d, ok := f.holdCopy(now, p, k); ok {
		return d
	}
	if f.holdWithCopy(p, k) {
		return Decision{
			Action: Hold,
			Reason: ReasonLookup,
		}
	}
	if p.Copy > 0 {
		return f.openElsewhere(now, v, p, k)
	}
	if d, ok := f.admit(now, v, p, k); ok {
		return d
	}
	d := f.place(now, v, p, k, nil)
	if d.Action == Forward {
		f.addFlow(now, k, d.Upstream, p)
	}
	return d
}

// openCopy decides on a retransmitted first packet. It goes to the same upstream
// unless that may not take new flows any more or seems to have failed.
func (f *Forwarder) openCopy(now time.Time, v *directory.View, p *Packet, k key, s *flowState) Decision {
	u := s.upstream
	h := f.healthOf(u)
	before := s.retransmissions
	f.recordRetransmission(now, h, s)
	s.retransmissions = max(s.retransmissions, p.Copy)
	if before < moveAfterCopies && s.retransmissions >= moveAfterCopies && !now.Before(f.ignoreUntil) {
		h.lateFlows++
	}
	if placeable(v, u) && !h.failed(now) && (s.retransmissions < moveAfterCopies || h.opensFlows(s.firstSentAt)) {
		return f.forwardCopy(s)
	}
	d := f.place(now, v, p, k, u)
	if d.Reason == ReasonNoUpstream && present(v, u) && !h.dead(now) {
		// The upstream may have answered: the reset would reach an open flow.
		return f.forwardCopy(s)
	}
	if d.Action != Forward {
		return d
	}
	if d.Upstream != u {
		d.Reason = ReasonMoved
		copies := s.retransmissions
		f.addFlow(now, k, d.Upstream, p)
		f.flows.find(k).retransmissions = copies
		f.markAmbiguous(now, p, k, d.Ticket)
	}
	return d
}

// forwardCopy returns the decision to send a retransmitted first packet to the flow's
// upstream.
func (f *Forwarder) forwardCopy(s *flowState) Decision {
	u := s.upstream
	return Decision{
		Action:   Forward,
		Reason:   ReasonCopy,
		Upstream: u,
		Ticket:   u.Ticket(),
		Service:  u.Service,
		Load:     f.healthOf(u).load,
	}
}

// moveAfterCopies is which retransmission of a first packet goes to another upstream if
// the first one has not shown since that it lives: the first retransmission makes up for a
// lost packet, the second one for a failed upstream.
const moveAfterCopies = 2

// placeable reports whether new flows may go to u.
func placeable(v *directory.View, u *directory.Upstream) bool {
	return present(v, u) && !v.ByTicket(u.Ticket()).Draining && !v.ZoneOut(u.Zone)
}

// present reports whether u has not left.
func present(v *directory.View, u *directory.Upstream) bool {
	current := v.ByTicket(u.Ticket())
	return current != nil && current.DepartedAt.IsZero()
}

// follow decides on a packet of an open flow.
func (f *Forwarder) follow(now time.Time, v *directory.View, p *Packet, k key, s *flowState) Decision {
	u, reason := f.upstreamOf(now, v, p, k, s)
	if u == nil {
		return Decision{Reason: ReasonUnknown}
	}
	if v.RouteRemoved(p.Service) {
		return Decision{
			Action:   Reject,
			Reason:   ReasonNoRoute,
			Upstream: u,
		}
	}
	if s == nil || s.upstream.Ticket() != u.Ticket() {
		if s == nil {
			// The flow's earlier packets went to another balancer.
			f.noteMove(now)
		}
		s = f.adopt(now, k, u, p)
	} else {
		f.observe(now, s, p)
	}
	d := f.checkUpstream(now, v, p, u, s, reason)
	d.StartsRequest, s.startsRequest = s.startsRequest, false
	d.Retransmissions = s.retransmissions
	d.Load = f.healthOf(u).load
	return d
}

// checkUpstream decides whether a packet of an open flow still goes to its upstream, or
// the flow is rejected because its upstream was replaced, is dead or is silent.
func (f *Forwarder) checkUpstream(now time.Time, v *directory.View, p *Packet, u *directory.Upstream, s *flowState, reason Reason) Decision {
	d := Decision{
		Action:   Forward,
		Reason:   reason,
		Upstream: u,
		Ticket:   u.Ticket(),
	}
	if p.Flags.Has(FlagReset) {
		return d
	}
	waiting := s.abandoned || s.retransmissions > 0 && !s.closed
	switch {
	case !waiting:
	case f.replaced(v, u):
		d.Action, d.Reason = Reject, ReasonReplaced
	case f.healthOf(u).dead(now):
		d.Action, d.Reason = Reject, ReasonDead
	case !f.asksZone && s.retransmissions >= flowRetransmissions && f.healthOf(u).lastProgress.Before(s.unansweredSince) && f.pathWorkedAfter(s.unansweredSince):
		d.Action, d.Reason = Reject, ReasonSilent
	}
	return d
}

// replaced reports whether u has left and its address belongs to another host. An older host
// at the address is one whose entry was not deleted, and u has not left if it has answered
// since its entry was deleted.
func (f *Forwarder) replaced(v *directory.View, u *directory.Upstream) bool {
	if u.DepartedAt.IsZero() || f.healthOf(u).lastProgress.After(u.DepartedAt) {
		return false
	}
	other := v.ByAddress(u.Address)
	if other == nil || other.ID == u.ID {
		return false
	}
	return other.StartedAt.IsZero() || !other.StartedAt.Before(u.StartedAt)
}

// upstreamOf returns the upstream of an open flow, or nil, and how it was found.
func (f *Forwarder) upstreamOf(now time.Time, v *directory.View, p *Packet, k key, s *flowState) (*directory.Upstream, Reason) {
	t, reason := p.Ticket, ReasonTicket
	if u := f.openedAt(now, v, p, k); u != nil {
		if u.Ticket() != t {
			reason = ReasonRemembered
		}
		return u, reason
	}
	if s != nil && s.upstream.Ticket() != t && s.establishedAt(p) {
		t, reason = s.upstream.Ticket(), ReasonRemembered
	}
	if u := v.ByTicket(t); u != nil && t != 0 {
		return u, reason
	}
	if s != nil {
		return s.upstream, ReasonRemembered
	}
	return nil, ReasonUnknown
}

// observe updates a known flow and its upstream's health from a packet.
func (f *Forwarder) observe(now time.Time, s *flowState, p *Packet) {
	s.seenAt = now
	f.setAway(now, s, false)
	h := f.healthOf(s.upstream)
	if !s.opening && p.Flags.Has(FlagAcknowledge) && int32(p.Acknowledged-s.acknowledged) > maxInFlight {
		// The client has acknowledged more than an upstream has in flight: packets of it
		// went to another balancer.
		f.noteMove(now)
	}
	if p.Flags.Has(FlagReset) {
		f.closeFlow(now, s)
		return
	}
	progress := s.opening || p.Flags.Has(FlagAcknowledge) && int32(p.Acknowledged-s.acknowledged) > 0
	if progress {
		if s.opening {
			h.lateFlows = 0
			f.attempts.remove(p, s.upstream.Ticket())
			s.beginMeasurement(now, p)
		}
		f.throughput.observe(now, s, p)
		f.recordProgress(now, h, s, p)
	}
	end := p.Sequence + uint32(p.Length)
	switch content := p.Length > 0 || p.Flags.Has(FlagFinish); {
	case content && int32(end-s.nextSequence) > 0:
		s.nextSequence = end
		f.recordContent(now, h, s, p)
	case content && !progress:
		f.recordRetransmission(now, h, s)
	}
	if p.Flags.Has(FlagFinish) {
		f.closeFlow(now, s)
	}
}

// recordContent records a packet with new content.
func (f *Forwarder) recordContent(now time.Time, h *health, s *flowState, p *Packet) {
	if p.Length > 0 {
		f.startRequest(now, h, s, p, true)
		f.setRequestActive(now, h, s, true)
	}
	if !s.unansweredSince.IsZero() && s.nextSequence-s.unansweredSequence > maxInFlight {
		// The client would not send this before the upstream has acknowledged the oldest
		// unanswered packet.
		f.recordAnswer(now, h, s)
	}
	if s.unansweredSince.IsZero() {
		s.expectAnswer(now, p)
		f.awaitAnswer(now, s)
	}
}

// recordProgress records that a packet acknowledges an answer of the upstream.
func (f *Forwarder) recordProgress(now time.Time, h *health, s *flowState, p *Packet) {
	f.measureAnswer(now, s, p)
	s.answered = !s.opening
	s.opening = false
	s.acknowledged = p.Acknowledged
	f.setRequestActive(now, h, s, false)
	f.recordAnswer(now, h, s)
}

// recordAnswer records that the upstream has received the flow's unanswered packets, or the
// oldest of them.
func (f *Forwarder) recordAnswer(now time.Time, h *health, s *flowState) {
	if s.unansweredSince.After(f.lastAnswered) {
		f.lastAnswered = s.unansweredSince
	}
	s.unansweredSince, s.lastSent = time.Time{}, time.Time{}
	s.retransmissions = 0
	if h.recordProgress(now) {
		f.recordStateChange(s.upstream, h, 0)
	}
	f.judgeUnproven(now)
}

// recordRetransmission records a packet that may retransmit an unanswered one of its
// flow.
func (f *Forwarder) recordRetransmission(now time.Time, h *health, s *flowState) {
	if s.lastSent.IsZero() || now.Sub(s.lastSent) < minRetransmitInterval {
		return
	}
	s.retransmissions++
	s.lastSent = now
	if now.Before(f.ignoreUntil) {
		return
	}
	before := h.state
	h.recordRetransmission(now, s)
	if h.state != before {
		f.recordStateChange(s.upstream, h, max(h.open.duration(now), h.opening.duration(now)))
	}
	f.report(now, s, h)
	f.judgeSilence(now, s.upstream, h)
}

// abandon resets the open flows of a dead upstream that have at least a number of
// retransmissions, ordered by key. Those whose packets may go to another balancer now are verified
// first.
func (f *Forwarder) abandon(now time.Time, t directory.Ticket, retransmissions int) {
	var lost []key
	f.flows.forEach(func(k key, s *flowState) {
		if !s.closed && !s.opening && s.upstream.Ticket() == t && s.retransmissions >= retransmissions {
			lost = append(lost, k)
		}
	})
	slices.SortFunc(lost, func(a, b key) int { return bytes.Compare(a[:], b[:]) })
	for _, k := range lost {
		s := f.flows.find(k)
		moved := f.moved(now, s)
		if moved && retransmissions > 0 {
			if now.Sub(s.seenAt) >= maxRetransmitInterval {
				// The client does not retransmit here any more.
				continue
			}
			moved = false
		}
		f.closeFlow(now, s)
		s.abandoned, s.abandonedAt = true, now
		switch {
		case !moved, !f.verifiable(s) && f.throughput.within(now, k.service(), s, maxSequenceGap):
			f.reset(now, k, s)
		case f.verifiable(s):
			f.verifications.doubtful = append(f.verifications.doubtful, k)
		}
	}
}

// reset resets an open flow.
func (f *Forwarder) reset(now time.Time, k key, s *flowState) {
	f.resets = append(f.resets, Reset{
		Packet: Packet{
			Client:       k.client(),
			Service:      k.service(),
			Ticket:       s.upstream.Ticket(),
			Acknowledged: s.acknowledged,
		},
		Quiet: now.Sub(s.seenAt),
	})
}

// recordStateChange adds the current state of u to the state changes.
func (f *Forwarder) recordStateChange(u *directory.Upstream, h *health, silence time.Duration) {
	f.stateChanges = append(f.stateChanges, StateChange{
		Upstream:       u,
		State:          h.state,
		SilentFlows:    h.open.flows,
		SilentOpenings: h.opening.flows,
		Silence:        silence,
	})
}

// setRequestActive sets whether a flow has a request in progress, and updates its
// upstream's load.
func (f *Forwarder) setRequestActive(now time.Time, h *health, s *flowState, active bool) {
	if s.requestActive == active || s.closed {
		return
	}
	h.addWorking(now)
	s.requestActive = active
	s.startsRequest = active
	if active {
		h.load.ActiveRequests++
	} else {
		h.load.ActiveRequests--
	}
}

// addFlow records a new flow.
func (f *Forwarder) addFlow(now time.Time, k key, u *directory.Upstream, p *Packet) {
	h := f.healthOf(u)
	if !now.Before(f.ignoreUntil) {
		h.recordOpening(now)
	}
	f.attempts.add(now, p, u.Ticket())
	s := &flowState{
		upstream:      u,
		opening:       true,
		firstSentAt:   now,
		seenAt:        now,
		firstSequence: p.Sequence,
		nextSequence:  p.Sequence,
		acknowledged:  p.Acknowledged,
	}
	s.expectAnswer(now, p)
	f.putFlow(now, k, s)
	f.awaitAnswer(now, s)
}

// adopt records an open flow that this balancer doesn't know: another balancer opened
// it.
func (f *Forwarder) adopt(now time.Time, k key, u *directory.Upstream, p *Packet) *flowState {
	s := &flowState{
		upstream:     u,
		adopted:      true,
		seenAt:       now,
		nextSequence: p.Sequence + uint32(p.Length),
		acknowledged: p.Acknowledged,
	}
	s.beginMeasurement(now, p)
	f.putFlow(now, k, s)
	if p.Length > 0 {
		s.expectAnswer(now, p)
		f.startRequest(now, f.healthOf(u), s, p, false)
		f.setRequestActive(now, f.healthOf(u), s, true)
		f.awaitAnswer(now, s)
	}
	if p.Flags.Has(FlagFinish) || p.Flags.Has(FlagReset) {
		f.closeFlow(now, s)
	}
	return s
}

// putFlow stores a flow and closes the one that was stored under its key, if any.
func (f *Forwarder) putFlow(now time.Time, k key, s *flowState) {
	if old := f.flows.find(k); old != nil {
		f.closeFlow(now, old)
	}
	f.healthOf(s.upstream).load.Flows++
	f.flows.put(k, s)
}

// closeFlow closes a flow and removes it from its upstream's load.
func (f *Forwarder) closeFlow(now time.Time, s *flowState) {
	if s.closed {
		return
	}
	f.setAway(now, s, true)
	s.closed = true
}

// expireFlows forgets flows that have been idle for idleTimeout, inquiries that were not
// confirmed, and the health of hosts that are gone.
func (f *Forwarder) expireFlows(now time.Time, v *directory.View) {
	f.attempts.rotate(now)
	forgotten := f.flows.rotate(now, f.idleTimeout)
	if forgotten == nil {
		return
	}
	for _, s := range forgotten {
		f.closeFlow(now, s)
	}
	f.throughput.rotate()
	f.sharing.forgetServices(v)
	f.openings.expire(now)
	for t, a := range f.asked {
		if now.Sub(a.askedAt) >= maxInquiryAge {
			delete(f.asked, t)
		}
	}
	for t, h := range f.health {
		if h.load.Flows == 0 && v.ByTicket(t) == nil {
			delete(f.health, t)
		}
	}
}

// healthOf returns the health of u, which is created if it is unknown.
func (f *Forwarder) healthOf(u *directory.Upstream) *health {
	return f.healthOfTicket(u.Ticket())
}

func (f *Forwarder) healthOfTicket(t directory.Ticket) *health {
	h := f.health[t]
	if h == nil {
		h = &health{}
		f.health[t] = h
	}
	return h
}
