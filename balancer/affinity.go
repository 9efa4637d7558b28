package balancer

import (
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ticket"
	"filbertworks.example/filbertworks/verdict"
	"filbertworks.example/filbertworks/wire"
)

// A Releaser sends a release to the balancer that it is addressed to.
type Releaser interface {
	Release(to *member.Member, r *keeper.Release)
}

// releaser implements keeper.Releaser by the member view.
type releaser Balancer

// Reachable reports whether a release to a process can be handled now: the
// process is in the member view, or the view is settled, so that a process
// missing from it is gone. It is false while the process may be alive but is
// not known yet.
func (l *releaser) Reachable(incarnation uint64) bool {
	_, ok := l.table.ByIncarnation(incarnation)
	return ok || l.settled
}

// Release sends r to the process that it names; a process that has gone
// meanwhile needs no release.
func (l *releaser) Release(r *keeper.Release) {
	m, ok := l.table.ByIncarnation(r.Incarnation)
	if ok && l.options.Releaser != nil {
		l.options.Releaser.Release(&m, r)
	}
}

// Leave makes this balancer grant no further executions. The member view that
// shows it as leaving is set by SetMembers.
func (b *Balancer) Leave() {
	b.keeper.Leave()
}

// HandleRelease ends the watches that another balancer has taken over, and
// returns how many of them this balancer kept.
func (b *Balancer) HandleRelease(now time.Time, r *keeper.Release) int {
	return b.keeper.Release(now, r)
}

// configOutdated reports whether the upstream of a flow is missing here because
// the current configuration is older than the flow's ticket.
func (b *Balancer) configOutdated(t *ticket.Ticket) bool {
	if t == nil || config.Version(t.Version) <= b.config.Version {
		return false
	}
	return b.config.Upstream(t.Upstream).Upstream == nil
}

// relayToKeeper relays a datagram to its flow's keeper, which has the
// configuration that this balancer lacks. If the keeper is not known or
// MaxHops is reached, the datagram is dropped: the caller's retransmission
// reaches another balancer, or this one once it is up to date.
func (b *Balancer) relayToKeeper(h *packet.Header, t *ticket.Ticket, r *wire.Relay, datagram []byte) {
	m, ok := b.table.ByIncarnation(t.Incarnation)
	if !ok || r.Hops >= MaxHops || t.Incarnation == b.options.Incarnation {
		b.drop(h, verdict.ReasonUnsettled)
		return
	}
	b.transport.RecordDecision(&Decision{
		Header:   h,
		Upstream: t.Upstream,
		Keeper:   m.Name,
	})
	b.relay(&m, r, t.Upstream, datagram)
}

// mayRoute reports whether h may be routed to the keeper of u. A balancer that
// knows neither the flow's keeper nor, yet, all other balancers must not take
// the flow over: the caller's retransmission reaches a balancer that knows the
// keeper.
func (b *Balancer) mayRoute(h *packet.Header, t *ticket.Ticket, u *config.Upstream, r *wire.Relay) bool {
	if b.settled || r.Hops > 0 || t == nil || h.Kind != packet.KindWatchOpen || t.Incarnation == b.options.Incarnation {
		return true
	}
	if _, ok := b.table.ByIncarnation(t.Incarnation); ok {
		return true
	}
	m, ok := b.table.Keeper(u.ID, u.Zone)
	return ok && m.Incarnation != b.options.Incarnation
}

// refreshWatch refreshes a watch that this balancer keeps and whose latest
// ticket h carries. It reports whether h belongs to such a watch.
func (b *Balancer) refreshWatch(now time.Time, h *packet.Header, s *config.Service, datagram []byte) bool {
	index, id, ok := b.keeper.FindWatch(h)
	if !ok {
		return false
	}
	u := b.upstreamByID(id, s)
	if u == nil {
		return false
	}
	if m, ok := b.table.Keeper(u.ID, u.Zone); !ok || m.Incarnation != b.options.Incarnation {
		return false
	}
	b.scratch.decision = Decision{
		Header:   h,
		Upstream: u.ID,
		Keeper:   b.options.Name,
	}
	b.transport.RecordDecision(&b.scratch.decision)
	b.scratch.request = keeper.Request{
		Header:   h,
		Service:  s,
		Upstream: u,
		Datagram: datagram,
	}
	b.keeper.RefreshWatch(now, index, &b.scratch.request)
	return true
}
