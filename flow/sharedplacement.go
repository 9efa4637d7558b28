package flow

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/rendezvous"
)

// placeShared chooses the upstream of a new flow by the load that the zone's balancers share. It
// returns false if too little is known, or if no upstream that was drawn may take the flow.
func (f *Forwarder) placeShared(now time.Time, v *directory.View, p *Packet, k key, r *directory.Route, service string, excluded *directory.Upstream) (Decision, bool) {
	if r.LatencyGoal == 0 {
		return Decision{}, false
	}
	l := f.loadOf(now, v, service)
	if l == nil {
		return Decision{}, false
	}
	hash := rendezvous.Mix(k.hash() + 1)
	z, reason := l.chooseZone(hash, r.Priority)
	u := f.pick(now, v, p, z, hash, excluded)
	if u == nil && z != &l.own {
		z, reason = &l.own, ReasonPlaced
		u = f.pick(now, v, p, z, hash, excluded)
	}
	if u == nil {
		return Decision{}, false
	}
	l.placed++
	z.given++
	h := f.healthOf(u)
	if u.Cold(now) {
		h.tokens--
	}
	var room Room
	if reason == ReasonSpilled {
		room = l.roomFor(now, r.Priority)
		room.Share = l.shareOf(r.Priority, z)
	}
	return Decision{
		Action:     Forward,
		Reason:     reason,
		Room:       room,
		Upstream:   u,
		Ticket:     u.Ticket(),
		Service:    service,
		Candidates: len(z.hosts),
		Load:       h.load,
		ZoneLoad:   f.workingAt(now, u.Ticket(), h),
	}, true
}

// chooseZone returns the zone of a new flow with a hash, and the reason for the choice.
func (l *serviceLoad) chooseZone(hash uint64, priority int) (*zoneHosts, Reason) {
	i := l.classIndex(priority)
	if i < 0 || len(l.classes[i].others) != len(l.others) {
		return &l.own, ReasonPlaced
	}
	c := &l.classes[i]
	at := float64(rendezvous.Mix(hash^spillSalt)>>11) / (1 << 53) * c.total()
	for i := range c.others {
		if at < c.others[i] {
			return &l.others[i], ReasonSpilled
		}
		at -= c.others[i]
	}
	return &l.own, ReasonPlaced
}

// spillSalt keeps the choice of the zone independent of that of the host.
const spillSalt = 0x9e3779b97f4a7c15

// pick chooses an upstream of a zone for a new flow, or nil.
func (f *Forwarder) pick(now time.Time, v *directory.View, p *Packet, z *zoneHosts, hash uint64, excluded *directory.Upstream) *directory.Upstream {
	tried := f.attempts.tickets(p)
	accept := func(i int) bool {
		u := z.hosts[i]
		return u != excluded && !slices.Contains(tried, u.Ticket()) && !f.healthOf(u).avoided(now) && f.admits(now, v, u)
	}
	current := func(i int) float64 {
		u := z.hosts[i]
		e := f.sharing.book.Upstream(now, u.Ticket())
		return e.Flows + workingWeight*e.Working + f.weightedLoad(u)
	}
	i := z.table.Pick(hash, accept, current)
	if i < 0 {
		return nil
	}
	return z.hosts[i]
}
