package balancer

import (
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/placement"
	"filbertworks.example/filbertworks/ticket"
	"filbertworks.example/filbertworks/verdict"
	"filbertworks.example/filbertworks/wire"
)

// route sends a caller's datagram to the keeper of its upstream, which may be
// this balancer.
func (b *Balancer) route(now time.Time, h *packet.Header, r *wire.Relay, datagram []byte) {
	if b.config == nil {
		b.drop(h, verdict.ReasonUnknownService)
		return
	}
	s := b.config.Service(h.Service)
	if s == nil {
		b.drop(h, verdict.ReasonUnknownService)
		return
	}
	if b.refreshWatch(now, h, s, datagram) {
		return
	}
	t, reason := b.openTicket(h)
	if reason != verdict.ReasonNone {
		b.refuse(h, verdict.MayHaveRun, reason)
		return
	}
	switch {
	case h.Kind == packet.KindOnce && t != nil:
		b.routeOnce(now, h, t, s, r, datagram)
	case b.configOutdated(t):
		b.relayToKeeper(h, t, r, datagram)
	default:
		b.routeFlow(now, h, t, s, r, datagram)
	}
}

// routeFlow sends a datagram that may go to any upstream, or to the upstream of
// its ticket t, to the keeper of that upstream.
func (b *Balancer) routeFlow(now time.Time, h *packet.Header, t *ticket.Ticket, s *config.Service, r *wire.Relay, datagram []byte) {
	u, placed, reason := b.upstreamFor(h, t, s, r)
	if u == nil {
		b.refuse(h, verdict.NotRun, reason)
		return
	}
	if !b.mayRoute(h, t, u, r) {
		b.drop(h, verdict.ReasonUnsettled)
		return
	}
	if placed {
		b.recordPlacement(h, u)
	}
	d := &b.scratch.decision
	*d = Decision{
		Header:   h,
		Upstream: u.ID,
		Placed:   placed,
		Reason:   reason,
	}
	b.offer(now, d, t, s, u, r, datagram)
}

// openTicket returns the ticket of h, or nil if h has none that it can use. If
// the ticket is refused, the reason is returned instead.
func (b *Balancer) openTicket(h *packet.Header) (*ticket.Ticket, verdict.Reason) {
	if len(h.Ticket) == 0 {
		return nil, verdict.ReasonNone
	}
	t, err := b.sealer.Open(h.Ticket, h.Caller.Addr())
	if err != nil || t.Service != h.Service {
		return nil, verdict.ReasonInvalidTicket
	}
	if h.Kind == packet.KindOnce && !t.IsExecution() {
		// The ticket names a flow and no execution.
		return nil, verdict.ReasonNone
	}
	b.openedTicket = t
	return &b.openedTicket, verdict.ReasonNone
}

// routeOnce sends a non-idempotent request to the one process that may execute
// it. If that process is not known, the request may have run there.
func (b *Balancer) routeOnce(now time.Time, h *packet.Header, t *ticket.Ticket, s *config.Service, r *wire.Relay, datagram []byte) {
	d := &Decision{
		Header:   h,
		Upstream: t.Upstream,
	}
	if t.Incarnation == b.options.Incarnation {
		d.Keeper = b.options.Name
		b.transport.RecordDecision(d)
		b.executeLocally(now, h, t, s, datagram)
		return
	}
	m, ok := b.table.ByIncarnation(t.Incarnation)
	if !ok && !b.settled {
		// The caller's retransmission reaches a balancer that knows the keeper,
		// or this one once it does.
		b.drop(h, verdict.ReasonUnsettled)
		return
	}
	if !ok {
		b.refuse(h, verdict.MayHaveRun, verdict.ReasonKeeperGone)
		return
	}
	d.Keeper = m.Name
	b.transport.RecordDecision(d)
	b.relay(&m, r, t.Upstream, datagram)
}

// executeLocally has this balancer's keeper execute a request whose ticket
// names it.
func (b *Balancer) executeLocally(now time.Time, h *packet.Header, t *ticket.Ticket, s *config.Service, datagram []byte) {
	p := b.config.Upstream(t.Upstream)
	if p.Upstream == nil || p.Service != s {
		p = config.ServiceUpstream{
			Service:  s,
			Upstream: nil,
		}
	}
	b.keeper.Request(now, &keeper.Request{
		Header:   h,
		Ticket:   t,
		Service:  s,
		Upstream: b.usable(p.Upstream),
		Datagram: datagram,
	})
}

// usable returns u if new work may be sent to it, or nil.
func (b *Balancer) usable(u *config.Upstream) *config.Upstream {
	if u == nil || u.State != config.UpstreamActive || !b.config.ZoneIn(u.Zone) {
		return nil
	}
	return u
}

// upstreamFor returns the upstream that h belongs to and whether it was newly
// chosen. If no upstream can take h, it returns nil and the reason.
func (b *Balancer) upstreamFor(h *packet.Header, t *ticket.Ticket, s *config.Service, r *wire.Relay) (*config.Upstream, bool, verdict.Reason) {
	if r.Upstream != 0 {
		if u := b.upstreamByID(r.Upstream, s); u != nil {
			return u, false, verdict.ReasonNone
		}
	} else if t != nil {
		if u := b.upstreamByID(t.Upstream, s); u != nil {
			return u, false, verdict.ReasonNone
		}
	}
	if t != nil && h.LaterBlock {
		return nil, false, verdict.ReasonNoUpstream
	}
	u := b.picker.Pick(b.config, s, placement.Query{
		Flow:     flowHash(h),
		Watch:    h.Kind == packet.KindWatchOpen || h.Kind == packet.KindWatchClose,
		Excluded: r.Excluded[:min(int(r.Attempts), len(r.Excluded))],
	})
	if u == nil {
		return nil, false, verdict.ReasonNoUpstream
	}
	return u, true, verdict.ReasonNone
}

// upstreamByID returns the upstream with an id if an open flow of service s may
// continue there, or nil. Draining upstreams keep their flows.
func (b *Balancer) upstreamByID(id uint32, s *config.Service) *config.Upstream {
	p := b.config.Upstream(id)
	if p.Upstream == nil || p.Service != s || !b.config.ZoneIn(p.Upstream.Zone) {
		return nil
	}
	return p.Upstream
}

// offer passes a datagram to the keeper of u, and to the keepers of other
// upstreams as long as it is refused and the retry budget and MaxAttempts
// allow.
func (b *Balancer) offer(now time.Time, d *Decision, t *ticket.Ticket, s *config.Service, u *config.Upstream, r *wire.Relay, datagram []byte) {
	for {
		m, ok := b.table.Keeper(u.ID, u.Zone)
		if !ok {
			b.refuse(d.Header, verdict.NotRun, verdict.ReasonNoUpstream)
			return
		}
		d.Upstream = u.ID
		d.Keeper = m.Name
		b.transport.RecordDecision(d)
		if m.Incarnation != b.options.Incarnation && r.Hops < MaxHops {
			b.scratch.member = m
			b.relay(&b.scratch.member, r, u.ID, datagram)
			return
		}
		b.scratch.request = keeper.Request{
			Header:   d.Header,
			Ticket:   t,
			Service:  s,
			Upstream: u,
			Datagram: datagram,
			PriorAttempts: keeper.PriorAttempts{
				Attempts: r.Attempts,
				Excluded: r.Excluded,
			},
			Elapsed: r.Elapsed,
		}
		reason := b.keeper.Request(now, &b.scratch.request)
		if reason == verdict.ReasonNone {
			return
		}
		if t != nil && d.Header.LaterBlock {
			b.refuse(d.Header, verdict.NotRun, reason)
			return
		}
		next := b.nextUpstream(d.Header, s, u.ID, r)
		if next == nil || reason == verdict.ReasonDeadline || !b.retryBudget(now, s.ID).Spend(now) {
			b.refuse(d.Header, verdict.NotRun, reason)
			return
		}
		u, t = next, nil
		d.Placed = true
		d.Reason = reason
	}
}

// nextUpstream returns another upstream after a refusal, or nil. refused is the
// id of the upstream that refused; r counts the refusal.
func (b *Balancer) nextUpstream(h *packet.Header, s *config.Service, refused uint32, r *wire.Relay) *config.Upstream {
	if int(r.Attempts) < len(r.Excluded) {
		r.Excluded[r.Attempts] = refused
	}
	r.Attempts++
	if r.Attempts >= MaxAttempts {
		return nil
	}
	r.Upstream = 0
	next, _, _ := b.upstreamFor(h, nil, s, r)
	return next
}

func (b *Balancer) relay(m *member.Member, r *wire.Relay, upstream uint32, datagram []byte) {
	r.Hops++
	r.Upstream = upstream
	r.Version = b.config.Version
	b.transport.Relay(m, r, datagram)
}

// ticketSealer seals tickets with the current keys.
type ticketSealer Balancer

// Seal seals t for a caller.
func (s *ticketSealer) Seal(out []byte, t ticket.Ticket, caller netip.Addr) {
	s.sealer.Seal(out, t, caller)
}

// flowHash returns a hash (FNV-1a) that is equal for all datagrams of a flow
// whose caller keeps its address and token.
func flowHash(h *packet.Header) uint64 {
	const prime = 0x100000001b3
	sum := uint64(0xcbf29ce484222325)
	ip := h.Caller.Addr().As16()
	for _, c := range ip {
		sum = (sum ^ uint64(c)) * prime
	}
	sum = (sum ^ uint64(h.Caller.Port())) * prime
	for _, c := range h.Token.Bytes {
		sum = (sum ^ uint64(c)) * prime
	}
	return sum
}
