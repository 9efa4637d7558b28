package flow

import (
	"bytes"
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

// defaultGeneration is how long a flow must be idle to be forgotten; it may be
// remembered for twice that. It exceeds the idle time-outs of the hosts.
const defaultGeneration = 20 * time.Second

// Owners tells which balancer opens the flows of a cold upstream.
type Owners interface {
	// Owns reports whether this balancer does.
	Owns(u *directory.Upstream) bool
}

// A Forwarder decides for one balancer. It is not safe for concurrent use.
type Forwarder struct {
	zone       string
	owners     Owners
	generation time.Duration
	flows      *table
	health     map[directory.Ticket]*health
	attempts   *attempts
	beliefs    []StateChange
	resets     []Packet
	reports    []Report
	deaths     []death
	// openings and requests are the packets whose answers are not due yet, in the
	// order of time, doubts the upstreams to probe, and spaced is when a request
	// last led to one.
	openings []expectation
	requests []expectation
	doubts   []*directory.Upstream
	spaced   time.Time
	// distrust is until when packets are no evidence of silence.
	distrust time.Time
	// answered is when the latest packet was sent that any upstream has answered:
	// until then this balancer's own way out was sound.
	answered time.Time
}

// An Option changes a forwarder from its defaults.
type Option func(*Forwarder)

// WithIdleTimeout sets how long a flow must be idle to be forgotten.
func WithIdleTimeout(d time.Duration) Option {
	return func(f *Forwarder) {
		f.generation = d
	}
}

// New returns the forwarder of a balancer in a zone.
func New(now time.Time, zone string, owners Owners, options ...Option) *Forwarder {
	f := &Forwarder{
		zone:       zone,
		owners:     owners,
		generation: defaultGeneration,
		flows:      newTable(now),
		health:     make(map[directory.Ticket]*health),
		attempts:   newAttempts(),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Advance takes that it is now, without a packet: the open flows of upstreams
// whose death nobody has refuted in time are reset, and upstreams are doubted that
// should have answered.
func (f *Forwarder) Advance(now time.Time, v *directory.View) {
	f.applyDeaths(now, v)
	f.doubt(now)
}

// StateChanges returns what changed in the beliefs since the last call.
func (f *Forwarder) StateChanges() []StateChange {
	b := f.beliefs
	f.beliefs = nil
	return b
}

// Flows returns the number of flows remembered.
func (f *Forwarder) Flows() int {
	return f.flows.len()
}

// Resets returns the flows to reset since the last call, whose upstream has
// been found dead: each as the client's packet that the reset would answer.
func (f *Forwarder) Resets() []Packet {
	r := f.resets
	f.resets = nil
	return r
}

// Forward decides on a packet that came at now, with what v tells.
func (f *Forwarder) Forward(now time.Time, v *directory.View, p *Packet) Decision {
	f.forget(now, v)
	f.Advance(now, v)
	k := p.key()
	s := f.flows.find(k)
	if p.Flags.Has(Open) {
		return f.open(now, v, p, k, s)
	}
	return f.follow(now, v, p, k, s)
}

// open decides on the first packet of a flow, or on a copy of it.
func (f *Forwarder) open(now time.Time, v *directory.View, p *Packet, k key, s *state) Decision {
	switch {
	case s == nil || s.first != p.Sequence:
	case s.opening:
		return f.reopen(now, v, p, k, s)
	case !s.closed:
		// The flow is open: another host would answer the copy and mislead the
		// client.
		return f.copied(s)
	}
	if v.Plan == nil {
		return Decision{Reason: ReasonNotReady}
	}
	d := f.place(now, v, p, k, nil)
	if d.Action == Forward {
		f.remember(now, k, d.Upstream, p)
	}
	return d
}

// reopen decides on a copy of a first packet. The upstream is the same, unless
// it is silent or may not take new flows any more.
func (f *Forwarder) reopen(now time.Time, v *directory.View, p *Packet, k key, s *state) Decision {
	u := s.upstream
	h := f.healthOf(u)
	f.repeated(now, h, s)
	if s.copies < moveCopies && !now.Before(h.avoid) && placeable(v, u) {
		return f.copied(s)
	}
	d := f.place(now, v, p, k, u)
	if d.Action != Forward {
		return d
	}
	if d.Upstream != u {
		d.Reason = ReasonMoved
		copies := s.copies
		f.remember(now, k, d.Upstream, p)
		f.flows.find(k).copies = copies
	}
	return d
}

// copied sends a copy of a flow's first packet where that one went.
func (f *Forwarder) copied(s *state) Decision {
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

// moveCopies is the number of the copy that goes to another upstream: the first
// copy answers the loss of a packet, the second one the loss of an upstream.
const moveCopies = 2

// placeable reports whether new flows may go to u.
func placeable(v *directory.View, u *directory.Upstream) bool {
	now := v.ByTicket(u.Ticket())
	return now != nil && now.Departed.IsZero() && !now.Draining && !v.ZoneOut(now.Zone)
}

// follow decides on a packet of an open flow.
func (f *Forwarder) follow(now time.Time, v *directory.View, p *Packet, k key, s *state) Decision {
	u, reason := f.upstreamOf(v, p, s)
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
		s = f.adopt(now, k, u, p)
	} else {
		f.observe(now, s, p)
	}
	d := f.judge(v, p, u, s, reason)
	d.StartsRequest, s.starts = s.starts, false
	d.Retransmissions = s.copies
	d.Load = f.healthOf(u).load
	return d
}

// judge decides whether a packet of an open flow still goes to its upstream.
func (f *Forwarder) judge(v *directory.View, p *Packet, u *directory.Upstream, s *state, reason Reason) Decision {
	d := Decision{
		Action:   Forward,
		Reason:   reason,
		Upstream: u,
		Ticket:   u.Ticket(),
	}
	if p.Flags.Has(Reset) {
		return d
	}
	waiting := s.abandoned || s.copies > 0 && !s.closed
	other := v.ByAddress(u.Address)
	switch {
	case !waiting:
	case !u.Departed.IsZero() && other != nil && other.ID != u.ID:
		d.Action, d.Reason = Reject, ReasonReplaced
	case f.healthOf(u).state == Dead:
		d.Action, d.Reason = Reject, ReasonDead
	case s.copies >= flowRepeats && f.healthOf(u).progressed.Before(s.sent) && f.answered.After(s.sent):
		d.Action, d.Reason = Reject, ReasonSilent
	}
	return d
}

// upstreamOf returns the upstream of an open flow, or nil.
func (f *Forwarder) upstreamOf(v *directory.View, p *Packet, s *state) (*directory.Upstream, Reason) {
	if u := v.ByTicket(p.Ticket); u != nil && p.Ticket != 0 {
		return u, ReasonTicket
	}
	if s != nil {
		return s.upstream, ReasonRemembered
	}
	return nil, ReasonUnknown
}

// observe takes what a packet of a known flow shows.
func (f *Forwarder) observe(now time.Time, s *state, p *Packet) {
	h := f.healthOf(s.upstream)
	if p.Flags.Has(Reset) {
		f.drop(s)
		return
	}
	progress := s.opening || p.Flags.Has(Acknowledge) && int32(p.Acknowledged-s.acknowledged) > 0
	if progress {
		if s.opening {
			f.attempts.done(p, s.upstream.Ticket())
		}
		f.advanced(now, h, s, p)
	}
	end := p.Sequence + uint32(p.Length)
	switch content := p.Length > 0 || p.Flags.Has(Finish); {
	case content && int32(end-s.next) > 0:
		s.next = end
		if p.Length > 0 {
			f.work(h, s, true)
		}
		if s.sent.IsZero() {
			s.sent, s.last = now, now
			f.expect(now, s)
		}
	case content && !progress:
		f.repeated(now, h, s)
	}
	if p.Flags.Has(Finish) {
		f.drop(s)
	}
}

// advanced takes a packet that shows that the upstream answered.
func (f *Forwarder) advanced(now time.Time, h *health, s *state, p *Packet) {
	s.opening = false
	s.acknowledged = p.Acknowledged
	if s.sent.After(f.answered) {
		f.answered = s.sent
	}
	s.sent, s.last = time.Time{}, time.Time{}
	s.copies = 0
	f.work(h, s, false)
	if h.progress(now) {
		f.believe(s.upstream, h, 0)
	}
}

// repeated takes a packet of a flow that may repeat an unanswered one.
func (f *Forwarder) repeated(now time.Time, h *health, s *state) {
	if s.last.IsZero() || now.Sub(s.last) < repeatAfter {
		return
	}
	s.copies++
	s.last = now
	if now.Before(f.distrust) {
		return
	}
	changed := h.repeat(now, s)
	f.report(now, s.upstream.Ticket(), h)
	if !changed {
		return
	}
	f.believe(s.upstream, h, now.Sub(h.since))
	if h.state == Dead {
		f.abandon(s.upstream.Ticket())
	}
}

// abandon resets the open flows of a dead upstream, in the order of their
// addresses.
func (f *Forwarder) abandon(t directory.Ticket) {
	var lost []key
	f.flows.all(func(k key, s *state) {
		if !s.closed && !s.opening && s.upstream.Ticket() == t {
			lost = append(lost, k)
		}
	})
	slices.SortFunc(lost, func(a, b key) int { return bytes.Compare(a[:], b[:]) })
	for _, k := range lost {
		s := f.flows.find(k)
		f.drop(s)
		s.abandoned = true
		f.resets = append(f.resets, Packet{
			Client:       k.client(),
			Service:      k.service(),
			Ticket:       t,
			Acknowledged: s.acknowledged,
		})
	}
}

func (f *Forwarder) believe(u *directory.Upstream, h *health, silence time.Duration) {
	f.beliefs = append(f.beliefs, StateChange{
		Upstream:    u,
		State:       h.state,
		SilentFlows: h.silent,
		Silence:     silence,
	})
}

// work counts a flow's request in progress.
func (f *Forwarder) work(h *health, s *state, working bool) {
	if s.working == working || s.closed {
		return
	}
	s.working = working
	s.starts = working
	if working {
		h.load.ActiveRequests++
	} else {
		h.load.ActiveRequests--
	}
}

// remember takes a new flow.
func (f *Forwarder) remember(now time.Time, k key, u *directory.Upstream, p *Packet) {
	h := f.healthOf(u)
	if !now.Before(f.distrust) {
		h.open(now)
	}
	f.attempts.add(now, p, u.Ticket())
	s := &state{
		upstream:     u,
		opening:      true,
		first:        p.Sequence,
		next:         p.Sequence,
		acknowledged: p.Acknowledged,
		sent:         now,
		last:         now,
	}
	f.put(k, s)
	f.expect(now, s)
}

// adopt takes an open flow that another balancer opened.
func (f *Forwarder) adopt(now time.Time, k key, u *directory.Upstream, p *Packet) *state {
	s := &state{
		upstream:     u,
		next:         p.Sequence + uint32(p.Length),
		acknowledged: p.Acknowledged,
	}
	f.put(k, s)
	if p.Length > 0 {
		s.sent, s.last = now, now
		f.work(f.healthOf(u), s, true)
		f.expect(now, s)
	}
	if p.Flags.Has(Finish) || p.Flags.Has(Reset) {
		f.drop(s)
	}
	return s
}

// put remembers a flow in place of what was remembered under its addresses.
func (f *Forwarder) put(k key, s *state) {
	if old := f.flows.find(k); old != nil {
		f.drop(old)
	}
	f.healthOf(s.upstream).load.Flows++
	f.flows.put(k, s)
}

// drop takes a flow out of its upstream's load.
func (f *Forwarder) drop(s *state) {
	if s.closed {
		return
	}
	h := f.healthOf(s.upstream)
	f.work(h, s, false)
	h.load.Flows--
	s.closed = true
}

// forget drops flows that have been idle for long, and what was seen of hosts
// that are gone.
func (f *Forwarder) forget(now time.Time, v *directory.View) {
	f.attempts.turn(now)
	forgotten := f.flows.turn(now, f.generation)
	if forgotten == nil {
		return
	}
	for _, s := range forgotten {
		f.drop(s)
	}
	for t, h := range f.health {
		if h.load.Flows == 0 && v.ByTicket(t) == nil {
			delete(f.health, t)
		}
	}
}

func (f *Forwarder) healthOf(u *directory.Upstream) *health {
	t := u.Ticket()
	h := f.health[t]
	if h == nil {
		h = &health{}
		f.health[t] = h
	}
	return h
}
