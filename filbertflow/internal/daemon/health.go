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

// watchersPerUpstream is the number of balancers of a zone that aggregate the
// reports on one upstream: one of them may fail.
const watchersPerUpstream = 2

// maxPeerNotices is the number of notices that may wait for the packet handler;
// further ones are discarded, as peers send them again.
const maxPeerNotices = 256

// peerNotices queues notices until the packet handler takes them. It is safe for
// concurrent use.
type peerNotices struct {
	mu      sync.Mutex
	notices []notice
}

// A notice says that an upstream is dead or busy, or refutes that it is dead.
type notice struct {
	ticket directory.Ticket
	// receivedAt is when the notice arrived, and from when on it counts.
	receivedAt time.Time
	silence    time.Duration
	// refutation is set if the upstream is alive, and busy if its answers are
	// late.
	refutation *flow.Refutation
	busy       bool
	// from is the balancer that announced a death; not valid if it is this one.
	from netip.AddrPort
}

// add queues a notice unless the queue is full.
func (s *peerNotices) add(b notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.notices) < maxPeerNotices {
		s.notices = append(s.notices, b)
	}
}

// drain removes and returns the queued notices.
func (s *peerNotices) drain() []notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.notices
	s.notices = nil
	return b
}

// applyPeerNotices applies the queued notices to the forwarder.
func (t *packetHandler) applyPeerNotices(now time.Time) {
	for _, b := range t.daemon.peerNotices.drain() {
		switch {
		case b.busy:
			t.forwarder.MarkBusy(b.receivedAt, b.ticket)
			t.daemon.counters.busy.Add(1)
			t.daemon.log.Info(now, "upstream: busy", logs.F("upstream", t.daemon.upstreamID(b.ticket)))
		case b.refutation != nil:
			t.forwarder.MarkAlive(b.receivedAt, *b.refutation)
			t.daemon.log.Info(now, "upstream: death refuted by a peer", logs.F("upstream", t.daemon.upstreamID(b.ticket)),
				logs.F("progress_age_ms", b.refutation.Age.Milliseconds()))
		default:
			t.applyDeath(&b)
		}
	}
}

// applyDeath marks an upstream dead, or refutes that it is.
func (t *packetHandler) applyDeath(b *notice) {
	r, refuted := t.forwarder.MarkDead(b.receivedAt, b.ticket, b.silence)
	if !refuted {
		return
	}
	from := b.from
	t.daemon.post(func(now time.Time) { t.daemon.syncer.refute(now, from, r) })
}

// sendReports sends the forwarder's reports on silent upstreams to the balancers
// that watch these.
func (t *packetHandler) sendReports() {
	reports := t.forwarder.Reports()
	if len(reports) == 0 {
		return
	}
	t.daemon.post(func(now time.Time) {
		for i := range reports {
			t.daemon.syncer.sendReport(now, &reports[i])
		}
	})
}

// sendReport sends a report to the balancers that watch its upstream.
func (s *syncer) sendReport(now time.Time, r *flow.Report) {
	for _, m := range s.tracker.Table().Ranked(uint64(r.Ticket), s.daemon.options.Zone, watchersPerUpstream) {
		if m.Incarnation == s.daemon.incarnation {
			s.handleReport(now, s.daemon.incarnation, *r)
			continue
		}
		s.sendHealth([]netip.AddrPort{m.Relay}, &wire.Health{Reports: []*wire.Silence{wire.NewSilence(r)}})
	}
}

// handleReport adds a report to those on the same upstream and announces to the
// zone what they show together.
func (s *syncer) handleReport(now time.Time, sender uint64, r flow.Report) {
	merged, found := s.detector.AddReport(now, sender, r, len(s.zonePeers())+1)
	switch found {
	case flow.FoundDead:
		s.announceDeath(now, &merged)
	case flow.FoundBusy:
		s.announceBusy(now, &merged)
	case flow.FoundNothing:
		if s.detector.ShouldProbe(now, s.daemon.incarnation, r.Ticket) {
			s.daemon.queueProbe(r.Ticket)
		}
	}
}

// announceDeath announces to the zone that an upstream is dead.
func (s *syncer) announceDeath(now time.Time, merged *flow.Report) {
	s.daemon.log.Info(now, "upstream: reported dead", logs.F("upstream", s.daemon.upstreamID(merged.Ticket)), logs.F("silent_flows", merged.SilentFlows),
		logs.F("repeats", merged.Retransmissions), logs.F("silence_ms", merged.Silence.Milliseconds()),
		logs.F("refusals", merged.Refusals))
	s.daemon.queueDeath(now, netip.AddrPort{}, merged)
	s.sendHealth(s.zonePeers(), &wire.Health{Deaths: []*wire.Silence{wire.NewSilence(merged)}})
}

// announceBusy announces to the zone that an upstream is busy: its answers are
// late.
func (s *syncer) announceBusy(now time.Time, merged *flow.Report) {
	s.daemon.log.Info(now, "upstream: reported busy", logs.F("upstream", s.daemon.upstreamID(merged.Ticket)), logs.F("late", merged.LateRequests))
	s.daemon.queueBusy(now, merged.Ticket)
	s.sendHealth(s.zonePeers(), &wire.Health{Busy: []uint32{uint32(merged.Ticket)}})
}

// queueBusy queues the notice that an upstream is busy. It is applied with the
// next packet.
func (d *Daemon) queueBusy(now time.Time, t directory.Ticket) {
	d.peerNotices.add(notice{
		ticket:     t,
		receivedAt: now,
		busy:       true,
	})
}

// queueDeath queues a balancer's announcement that an upstream is dead. It wakes
// the packet handler at once, to refute the announcement in time, and again when
// it takes effect.
func (d *Daemon) queueDeath(now time.Time, from netip.AddrPort, r *flow.Report) {
	d.peerNotices.add(notice{
		ticket:     r.Ticket,
		receivedAt: now,
		silence:    r.Silence,
		from:       from,
	})
	d.wakePacketHandler()
	time.AfterFunc(flow.RefutationTimeout, d.wakePacketHandler)
}

// wakePacketHandler ends the packet handler's wait for the next packet.
func (d *Daemon) wakePacketHandler() {
	if err := d.packets.SetReadDeadline(time.Now()); err != nil && !errors.Is(err, net.ErrClosed) {
		d.counters.socketErrors.Add(1)
	}
}

// refute tells the balancer that announced a death that the upstream answers.
func (s *syncer) refute(now time.Time, from netip.AddrPort, r flow.Refutation) {
	s.daemon.log.Info(now, "upstream: death refuted", logs.F("upstream", s.daemon.upstreamID(r.Ticket)), logs.F("progress_age_ms", r.Age.Milliseconds()))
	if !from.IsValid() {
		s.handleRefutation(now, r)
		return
	}
	s.sendHealth([]netip.AddrPort{from}, &wire.Health{Refutations: []*wire.Refutation{wire.NewRefutation(&r)}})
}

// handleRefutation queues a refutation. The balancer that announced the death
// passes it on to the zone.
func (s *syncer) handleRefutation(now time.Time, r flow.Refutation) {
	s.daemon.peerNotices.add(notice{
		ticket:     r.Ticket,
		receivedAt: now,
		refutation: &r,
	})
	s.daemon.wakePacketHandler()
	if s.detector.Refute(now, r) {
		s.sendHealth(s.zonePeers(), &wire.Health{Refutations: []*wire.Refutation{wire.NewRefutation(&r)}})
	}
}

// handleHealth handles a datagram on the health of upstreams.
func (s *syncer) handleHealth(now time.Time, from netip.AddrPort, data []byte) {
	m, err := wire.ParseHealth(data)
	if err != nil {
		s.daemon.counters.malformed.Add(1)
		return
	}
	for _, r := range m.GetReports() {
		s.handleReport(now, m.GetSender(), r.Decode())
	}
	for _, v := range m.GetDeaths() {
		r := v.Decode()
		s.daemon.queueDeath(now, from, &r)
	}
	for _, v := range m.GetRefutations() {
		s.handleRefutation(now, v.Decode())
	}
	for _, t := range m.GetBusy() {
		s.daemon.queueBusy(now, directory.Ticket(t))
	}
}

func (s *syncer) sendHealth(to []netip.AddrPort, m *wire.Health) {
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

// upstreamID returns the ID of the upstream that a ticket identifies, or "" if it
// is unknown.
func (d *Daemon) upstreamID(t directory.Ticket) string {
	if v := d.view.Load(); v != nil {
		if u := v.ByTicket(t); u != nil {
			return u.ID
		}
	}
	return ""
}

// zonePeers returns the addresses of the other balancers of the zone that are not
// dead.
func (s *syncer) zonePeers() []netip.AddrPort {
	var peers []netip.AddrPort
	for _, m := range s.tracker.Members() {
		if m.State != member.Dead && m.Zone == s.daemon.options.Zone && m.Incarnation != s.daemon.incarnation {
			peers = append(peers, m.Relay)
		}
	}
	return peers
}
