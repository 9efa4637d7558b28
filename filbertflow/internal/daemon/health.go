package daemon

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// watchers is the number of balancers of a zone that join the reports on one
// upstream: one may be lost.
const watchers = 2

// maxShared is the number of beliefs of peers that wait for the goroutine of
// packets; more are left out, as peers send them again.
const maxShared = 256

// shared holds peers' beliefs until the goroutine of packets takes them.
type shared struct {
	mu      sync.Mutex
	beliefs []sharedBelief
}

// sharedBelief tells that an upstream is dead or busy, or refutes a death.
type sharedBelief struct {
	ticket directory.Ticket
	// heard is when it came; it counts from then.
	heard   time.Time
	silence time.Duration
	// refutation is set where the upstream is alive, and busy where it is behind
	// with its work.
	refutation *flow.Refutation
	busy       bool
	// from is the balancer that told of a death; not valid for this one.
	from netip.AddrPort
}

// add takes a belief.
func (s *shared) add(b sharedBelief) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.beliefs) < maxShared {
		s.beliefs = append(s.beliefs, b)
	}
}

// take returns the beliefs since the last call.
func (s *shared) take() []sharedBelief {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.beliefs
	s.beliefs = nil
	return b
}

// takeShared applies peers' beliefs to the forwarder.
func (t *traffic) takeShared(now time.Time) {
	for _, b := range t.daemon.shared.take() {
		switch {
		case b.busy:
			t.forwarder.MarkBusy(b.heard, b.ticket)
			t.daemon.counters.busy.Add(1)
			t.daemon.log.Info(now, "upstream: busy", logs.F("upstream", t.daemon.nameOf(b.ticket)))
		case b.refutation != nil:
			t.forwarder.MarkAlive(b.heard, *b.refutation)
			t.daemon.log.Info(now, "upstream: refuted by a peer", logs.F("upstream", t.daemon.nameOf(b.ticket)),
				logs.F("progress_age_ms", b.refutation.Age.Milliseconds()))
		default:
			t.takeDeath(&b)
		}
	}
}

// takeDeath applies the belief that an upstream is dead, or refutes it.
func (t *traffic) takeDeath(b *sharedBelief) {
	r, refuted := t.forwarder.MarkDead(b.heard, b.ticket, b.silence)
	if !refuted {
		return
	}
	from := b.from
	t.daemon.call(func(now time.Time) { t.daemon.spread.refute(now, from, r) })
}

// shareReports hands what was seen of silent upstreams to their watchers.
func (t *traffic) shareReports() {
	reports := t.forwarder.Reports()
	if len(reports) == 0 {
		return
	}
	t.daemon.call(func(now time.Time) {
		for i := range reports {
			t.daemon.spread.report(now, &reports[i])
		}
	})
}

// report sends a report to the balancers that watch its upstream.
func (s *spread) report(now time.Time, r *flow.Report) {
	for _, m := range s.tracker.Table().Ranked(uint64(r.Ticket), s.daemon.options.Zone, watchers) {
		if m.Incarnation == s.daemon.incarnation {
			s.hearReport(now, s.daemon.incarnation, *r)
			continue
		}
		s.sendHealth([]netip.AddrPort{m.Relay}, &wire.Health{Reports: []*wire.Silence{wire.NewSilence(r)}})
	}
}

// hearReport joins a report with others, and tells the zone what they show.
func (s *spread) hearReport(now time.Time, sender uint64, r flow.Report) {
	joined, found := s.detector.AddReport(now, sender, r, len(s.zonePeers())+1)
	switch found {
	case flow.FoundDead:
		s.announceDeath(now, &joined)
	case flow.FoundBusy:
		s.announceBusy(now, &joined)
	case flow.FoundNothing:
		if s.detector.ShouldProbe(now, s.daemon.incarnation, r.Ticket) {
			s.daemon.probeTicket(r.Ticket)
		}
	}
}

// announceDeath tells the zone that an upstream is dead.
func (s *spread) announceDeath(now time.Time, joined *flow.Report) {
	s.daemon.log.Info(now, "upstream: reported dead", logs.F("upstream", s.daemon.nameOf(joined.Ticket)), logs.F("silent_flows", joined.SilentFlows),
		logs.F("repeats", joined.Retransmissions), logs.F("silence_ms", joined.Silence.Milliseconds()),
		logs.F("refusals", joined.Refusals))
	s.daemon.hearDeath(now, netip.AddrPort{}, joined)
	s.sendHealth(s.zonePeers(), &wire.Health{Deaths: []*wire.Silence{wire.NewSilence(joined)}})
}

// announceBusy tells the zone that an upstream is behind with its work.
func (s *spread) announceBusy(now time.Time, joined *flow.Report) {
	s.daemon.log.Info(now, "upstream: reported busy", logs.F("upstream", s.daemon.nameOf(joined.Ticket)), logs.F("late", joined.LateRequests))
	s.daemon.hearBusy(now, joined.Ticket)
	s.sendHealth(s.zonePeers(), &wire.Health{Busy: []uint32{uint32(joined.Ticket)}})
}

// hearBusy takes the belief that an upstream is behind with its work. The next
// packet applies it.
func (d *Daemon) hearBusy(now time.Time, t directory.Ticket) {
	d.shared.add(sharedBelief{
		ticket: t,
		heard:  now,
		busy:   true,
	})
}

// hearDeath takes the belief of a balancer that an upstream is dead. The goroutine
// of packets wakes for it now, to refute it in time, and when it takes effect.
func (d *Daemon) hearDeath(now time.Time, from netip.AddrPort, r *flow.Report) {
	d.shared.add(sharedBelief{
		ticket:  r.Ticket,
		heard:   now,
		silence: r.Silence,
		from:    from,
	})
	d.wakePackets()
	time.AfterFunc(flow.RefutationTimeout, d.wakePackets)
}

// wakePackets ends the wait of the goroutine of packets for the next one.
func (d *Daemon) wakePackets() {
	if err := d.packets.SetReadDeadline(time.Now()); err != nil && !errors.Is(err, net.ErrClosed) {
		d.counters.socketErrors.Add(1)
	}
}

// refute tells the balancer that announced a death that the upstream answers.
func (s *spread) refute(now time.Time, from netip.AddrPort, r flow.Refutation) {
	s.daemon.log.Info(now, "upstream: refuted", logs.F("upstream", s.daemon.nameOf(r.Ticket)), logs.F("progress_age_ms", r.Age.Milliseconds()))
	if !from.IsValid() {
		s.hearRefutation(now, r)
		return
	}
	s.sendHealth([]netip.AddrPort{from}, &wire.Health{Refutations: []*wire.Refutation{wire.NewRefutation(&r)}})
}

// hearRefutation takes a refutation; the balancer that announced the death tells
// the zone.
func (s *spread) hearRefutation(now time.Time, r flow.Refutation) {
	s.daemon.shared.add(sharedBelief{
		ticket:     r.Ticket,
		heard:      now,
		refutation: &r,
	})
	s.daemon.wakePackets()
	if s.detector.Refute(now, r) {
		s.sendHealth(s.zonePeers(), &wire.Health{Refutations: []*wire.Refutation{wire.NewRefutation(&r)}})
	}
}

// hearHealth takes a datagram on silent upstreams.
func (s *spread) hearHealth(now time.Time, from netip.AddrPort, data []byte) {
	m, err := wire.ParseHealth(data)
	if err != nil {
		s.daemon.counters.malformed.Add(1)
		return
	}
	for _, r := range m.GetReports() {
		s.hearReport(now, m.GetSender(), r.Decode())
	}
	for _, v := range m.GetDeaths() {
		r := v.Decode()
		s.daemon.hearDeath(now, from, &r)
	}
	for _, v := range m.GetRefutations() {
		s.hearRefutation(now, v.Decode())
	}
	for _, t := range m.GetBusy() {
		s.daemon.hearBusy(now, directory.Ticket(t))
	}
}

func (s *spread) sendHealth(to []netip.AddrPort, m *wire.Health) {
	m.Sender = s.daemon.incarnation
	data, err := wire.AppendHealth(nil, m)
	if err != nil {
		s.daemon.counters.malformed.Add(1)
		return
	}
	for _, a := range to {
		s.daemon.sendPeer(a, data)
	}
}

// nameOf returns the id of the upstream that a ticket names; empty if unknown.
func (d *Daemon) nameOf(t directory.Ticket) string {
	if v := d.view.Load(); v != nil {
		if u := v.ByTicket(t); u != nil {
			return u.ID
		}
	}
	return ""
}

// zonePeers returns the other living balancers of the zone.
func (s *spread) zonePeers() []netip.AddrPort {
	var peers []netip.AddrPort
	for _, m := range s.tracker.Members() {
		if m.State != member.Dead && m.Zone == s.daemon.options.Zone && m.Incarnation != s.daemon.incarnation {
			peers = append(peers, m.Relay)
		}
	}
	return peers
}
