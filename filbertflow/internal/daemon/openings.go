package daemon

import (
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

const (
	// openingsPerDatagram is the greatest number of flows in a datagram.
	openingsPerDatagram = 30
	// maxAmbiguousFlows is the number of ambiguous flows that are kept for balancers that
	// start later, for flow.AmbiguityLifetime.
	maxAmbiguousFlows = 1024
)

// ambiguousFlows holds the flows whose first packet may have reached several upstreams, until
// the zone has been told of them. Only the syncer's goroutine uses it.
type ambiguousFlows struct {
	// unsent are those to send, and sent those that balancers which start are told of.
	unsent []flow.Opening
	sent   []sentOpening
}

type sentOpening struct {
	flow.Opening
	at time.Time
}

// add adds what this balancer's packet handler has found out.
func (a *ambiguousFlows) add(o []flow.Opening) {
	a.unsent = append(a.unsent, o...)
}

// take returns the flows to send to all balancers, and keeps them for those that start later.
func (a *ambiguousFlows) take(now time.Time) []flow.Opening {
	a.sent = slices.DeleteFunc(a.sent, func(s sentOpening) bool { return now.Sub(s.at) >= flow.AmbiguityLifetime })
	unsent := a.unsent
	a.unsent = nil
	for _, o := range unsent {
		a.sent = append(a.sent, sentOpening{
			Opening: o,
			at:      now,
		})
	}
	a.sent = a.sent[max(len(a.sent)-maxAmbiguousFlows, 0):]
	return unsent
}

// known returns the flows that were sent and are still kept.
func (a *ambiguousFlows) known() []flow.Opening {
	known := make([]flow.Opening, 0, len(a.sent))
	for _, s := range a.sent {
		known = append(known, s.Opening)
	}
	return known
}

// exchangeOpenings sends the forwarder's lookups, and carries out its decisions on packets that
// it held.
func (t *packetHandler) exchangeOpenings(now time.Time) {
	d := t.daemon
	if lookups := t.forwarder.Lookups(); len(lookups) > 0 {
		d.post(func(time.Time) { d.syncer.sendLookups(lookups) })
	}
	if ambiguous := t.forwarder.AmbiguousFlows(); len(ambiguous) > 0 {
		d.counters.ambiguous.Add(uint64(len(ambiguous)))
		for i := range ambiguous {
			o := &ambiguous[i]
			d.log.Info(now, "flow: ambiguous", logs.F("flow", o.Flow.Client.String()), logs.F("service_address", o.Flow.Service.String()),
				logs.F("upstream", d.upstreamID(o.Ticket)), logs.F("open", o.Open))
		}
		d.post(func(time.Time) { d.syncer.ambiguous.add(ambiguous) })
	}
	released := t.forwarder.Released()
	for i := range released {
		t.executeReleased(now, &released[i])
	}
}

// executeReleased carries out the decision on a packet that was held. It overwrites the buffer
// and the packet that are being handled.
func (t *packetHandler) executeReleased(now time.Time, r *flow.Release) {
	data, ok := t.held[r.Flow]
	if !ok {
		return
	}
	delete(t.held, r.Flow)
	if time.Since(now) >= minStall {
		r.Decision = flow.Decision{Reason: flow.ReasonDelayed}
	}
	t.packet = r.Packet
	n := copy(t.buffer, data) - t.daemon.options.Headroom
	t.execute(n, &r.Decision)
	t.daemon.counters.recordDecision(&r.Decision, time.Since(now), t.forwarder.Flows())
	t.logDecision(now, n, t.view(), &r.Decision)
}

// sendLookups asks the other balancers that may know them for flows that this one does not know.
func (s *syncer) sendLookups(lookups []flow.ID) {
	peers := relays(s.openingPeers())
	for chunk := range slices.Chunk(lookups, openingsPerDatagram) {
		m := &wire.Health{}
		for i := range chunk {
			m.Lookups = append(m.Lookups, wire.NewFlow(&chunk[i]))
		}
		s.sendOpenings(peers, m)
	}
}

// sendAmbiguous sends ambiguous flows to balancers.
func (s *syncer) sendAmbiguous(to []netip.AddrPort, ambiguous []flow.Opening) {
	for chunk := range slices.Chunk(ambiguous, openingsPerDatagram) {
		m := &wire.Health{}
		for i := range chunk {
			m.Ambiguous = append(m.Ambiguous, wire.NewOpening(&chunk[i]))
		}
		s.sendOpenings(to, m)
	}
}

// sendOpenings sends a datagram on the openings of flows.
func (s *syncer) sendOpenings(to []netip.AddrPort, m *wire.Health) {
	s.daemon.counters.openingBytes.Add(uint64(s.sendHealth(to, m)))
}

// shareAmbiguous tells the other balancers that may get their packets of this balancer's ambiguous
// flows.
func (s *syncer) shareAmbiguous(now time.Time) {
	if unsent := s.ambiguous.take(now); len(unsent) > 0 {
		s.sendAmbiguous(relays(s.openingPeers()), unsent)
	}
}

// welcome tells a balancer that was not known before, or was taken for dead, of the ambiguous flows
// that it may get packets of: those of the own zone, and while its zone was vacant those of any.
func (s *syncer) welcome(now time.Time, m *member.Member) {
	if m.Incarnation == s.daemon.incarnation {
		return
	}
	if m.Zone == s.daemon.options.Zone || s.vacancies.vacantWithin(now, m.Zone, flow.AmbiguityLifetime) {
		s.sendAmbiguous([]netip.AddrPort{m.Relay}, s.ambiguous.known())
	}
}

// handleOpenings handles the lookups in a peer's datagram, its answers to those of this
// balancer, and the ambiguous flows that it knows.
func (s *syncer) handleOpenings(from netip.AddrPort, m *wire.Health) {
	d := s.daemon
	for _, v := range m.GetLookups() {
		if id, ok := v.Decode(); ok {
			d.queueNotice(func(t *packetHandler) { t.answerLookup(from, id) })
		}
	}
	for _, v := range m.GetOpenings() {
		if o, ok := v.Decode(); ok {
			d.queueNotice(func(t *packetHandler) { t.forwarder.AddOpening(time.Now(), t.view(), o) })
		}
	}
	for _, v := range m.GetAmbiguous() {
		if o, ok := v.Decode(); ok {
			d.queueNotice(func(t *packetHandler) { t.forwarder.AddAmbiguous(time.Now(), o) })
		}
	}
}

// answerLookup tells a peer of a flow's upstream if this balancer knows the flow.
func (t *packetHandler) answerLookup(from netip.AddrPort, id flow.ID) {
	o, ok := t.forwarder.Opening(id)
	if !ok {
		return
	}
	d := t.daemon
	d.counters.lookupsAnswered.Add(1)
	d.post(func(time.Time) {
		d.syncer.sendOpenings([]netip.AddrPort{from}, &wire.Health{Openings: []*wire.Opening{wire.NewOpening(&o)}})
	})
}
