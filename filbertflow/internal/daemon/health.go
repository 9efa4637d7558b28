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

// maxPeerNotices is the number of notices, and of inquiries, that may wait for the packet
// handler; further ones are discarded, as peers send them again.
const maxPeerNotices = 256

// peerNotices queues what peers say of upstreams until the packet handler takes it. It is
// safe for concurrent use.
type peerNotices struct {
	mu        sync.Mutex
	notices   []func(*packetHandler)
	inquiries []receivedInquiry
}

// receivedInquiry is an inquiry and the balancer that sent it; from is not valid if it is
// this one.
type receivedInquiry struct {
	flow.Inquiry
	from netip.AddrPort
}

// add queues a notice unless the queue is full.
func (s *peerNotices) add(apply func(*packetHandler)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.notices) < maxPeerNotices {
		s.notices = append(s.notices, apply)
	}
}

// addInquiry queues an inquiry unless the queue is full.
func (s *peerNotices) addInquiry(q receivedInquiry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inquiries) < maxPeerNotices {
		s.inquiries = append(s.inquiries, q)
	}
}

// drain removes and returns the queued notices and inquiries.
func (s *peerNotices) drain() ([]func(*packetHandler), []receivedInquiry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notices, inquiries := s.notices, s.inquiries
	s.notices, s.inquiries = nil, nil
	return notices, inquiries
}

// applyPeerNotices applies the queued notices to the forwarder and answers the queued
// inquiries.
func (t *packetHandler) applyPeerNotices() {
	notices, inquiries := t.daemon.peerNotices.drain()
	for _, apply := range notices {
		apply(t)
	}
	if len(inquiries) == 0 {
		return
	}
	drained := t.handleQueued()
	now := time.Now()
	for i := range inquiries {
		q := &inquiries[i]
		if !drained {
			t.daemon.counters.inquiries[inquiryUnanswered].Add(1)
			t.daemon.log.Warn(now, "upstream: inquiry not answered, as packets are waiting", logs.F("upstream", t.daemon.upstreamID(q.Ticket)))
			continue
		}
		t.answer(now, q)
	}
}

// answer answers an inquiry.
func (t *packetHandler) answer(now time.Time, q *receivedInquiry) {
	d := t.daemon
	a := t.forwarder.Ask(now, q.Inquiry)
	if a.Alive {
		d.log.Info(now, "upstream: death refuted", logs.F("upstream", d.upstreamID(q.Ticket)), logs.F("inquiry", q.ID),
			logs.F("progress_age_ms", a.Age.Milliseconds()), logs.F("silence_ms", q.Silence.Milliseconds()))
	}
	from := q.from
	d.post(func(now time.Time) { d.syncer.sendAnswer(now, from, &a) })
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
	for _, m := range s.watchers(r.Ticket) {
		if m.Incarnation == s.daemon.incarnation {
			s.handleReport(now, s.daemon.incarnation, *r)
			continue
		}
		s.sendHealth([]netip.AddrPort{m.Relay}, &wire.Health{Reports: []*wire.Silence{wire.NewSilence(r)}})
	}
}

// watchers returns the balancers of the zone that watch an upstream.
func (s *syncer) watchers(t directory.Ticket) []member.Member {
	return s.tracker.Table().Ranked(uint64(t), s.daemon.options.Zone, watchersPerUpstream)
}

// handleReport adds a report to those on the same upstream and acts on what they show
// together.
func (s *syncer) handleReport(now time.Time, sender uint64, r flow.Report) {
	if r.Refusals > 0 && s.daemon.isDraining(r.Ticket) {
		return
	}
	merged, found := s.detector.AddReport(now, sender, r, len(s.zonePeers())+1)
	if found != flow.FoundBusy && s.detector.ShouldProbe(now, s.daemon.incarnation, r.Ticket) {
		s.daemon.queueProbe(r.Ticket)
	}
	switch found {
	case flow.FoundDead:
		if w := s.watchers(r.Ticket); len(w) > 0 && w[0].Incarnation != s.daemon.incarnation {
			s.detector.StandBy(now, &merged)
			return
		}
		deferred, first := s.detector.Defer(now, &merged)
		if first && merged.Refusals > 0 {
			s.announceBusy(now, &merged)
		}
		if !deferred {
			s.inquire(now, &merged)
		}
	case flow.FoundBusy:
		s.announceBusy(now, &merged)
	case flow.FoundNothing:
	}
}

// inquire asks the zone whether an upstream is dead, and the upstream's zone if that is another
// one: its balancers see most of the upstream's answers.
func (s *syncer) inquire(now time.Time, merged *flow.Report) {
	peers, remote := s.zonePeers(), s.remoteWitnesses(merged.Ticket)
	balancers := append(incarnations(peers), s.daemon.incarnation)
	q, ok := s.detector.Inquire(now, merged, balancers, incarnations(remote))
	if !ok {
		return
	}
	s.daemon.counters.inquiries[inquiryStarted].Add(1)
	s.daemon.log.Info(now, "upstream: reported dead", logs.F("upstream", s.daemon.upstreamID(merged.Ticket)), logs.F("inquiry", q.ID),
		logs.F("silent_flows", merged.SilentFlows), logs.F("repeats", merged.Retransmissions),
		logs.F("silence_ms", q.Silence.Milliseconds()), logs.F("refusals", merged.Refusals),
		logs.F("flow_repeats", merged.FlowRetransmissions), logs.F("silent_openings", merged.SilentOpenings),
		logs.F("opening_repeats", merged.OpeningRetransmissions), logs.F("asked", len(balancers)), logs.F("remote", len(remote)))
	s.daemon.queueInquiry(receivedInquiry{Inquiry: q})
	s.sendHealth(relays(peers), &wire.Health{Inquiries: []*wire.Inquiry{wire.NewInquiry(&q)}})
	q.Remote = true
	s.sendHealth(relays(remote), &wire.Health{Inquiries: []*wire.Inquiry{wire.NewInquiry(&q)}})
}

// remoteWitnesses returns the balancers of an upstream's zone if that is another one.
func (s *syncer) remoteWitnesses(t directory.Ticket) []member.Member {
	v := s.daemon.view.Load()
	if v == nil {
		return nil
	}
	u := v.ByTicket(t)
	if u == nil || u.Zone == s.daemon.options.Zone {
		return nil
	}
	return s.livePeers(u.Zone)
}

// sendAnswer sends an answer to the balancer that inquired.
func (s *syncer) sendAnswer(now time.Time, to netip.AddrPort, a *flow.Answer) {
	if !to.IsValid() {
		s.handleAnswer(now, s.daemon.incarnation, *a)
		return
	}
	s.sendHealth([]netip.AddrPort{to}, &wire.Health{Answers: []*wire.Answer{wire.NewAnswer(a)}})
}

// handleAnswer adds an answer to this balancer's inquiry, and tells the zone the outcome.
func (s *syncer) handleAnswer(now time.Time, sender uint64, a flow.Answer) {
	outcome, scope := s.detector.AddAnswer(now, sender, a)
	switch outcome {
	case flow.Confirmed, flow.Unproven:
		s.confirm(now, &flow.Confirmation{
			Ticket: a.Ticket,
			ID:     a.ID,
			Scope:  scope,
		})
	case flow.Refuted:
		s.refute(now, flow.Refutation{
			Ticket: a.Ticket,
			Age:    a.Age,
		})
	case flow.Undecided:
	}
}

// checkInquiries ends the inquiries whose answers are overdue, and makes those that the
// other watcher has not made in time.
func (s *syncer) checkInquiries(now time.Time) {
	overdue := s.detector.Overdue(now)
	for i := range overdue {
		s.confirm(now, &overdue[i])
	}
	due := s.detector.Due(now)
	for i := range due {
		s.inquire(now, &due[i])
	}
}

// confirm tells the zone that nobody has seen an upstream live, and which of its flows that
// affects.
func (s *syncer) confirm(now time.Time, c *flow.Confirmation) {
	event, message := inquiryConfirmed, "upstream: death confirmed"
	if c.Scope == flow.ScopeNew {
		event, message = inquiryUnproven, "upstream: death unproven"
	}
	s.daemon.counters.inquiries[event].Add(1)
	s.daemon.log.Info(now, message, logs.F("upstream", s.daemon.upstreamID(c.Ticket)), logs.F("inquiry", c.ID), logs.F("scope", c.Scope.String()))
	s.daemon.queueConfirmation(now, *c)
	s.sendHealth(relays(s.zonePeers()), &wire.Health{Confirmations: []*wire.Confirmation{wire.NewConfirmation(c)}})
}

// refute tells the zone that an upstream answers.
func (s *syncer) refute(now time.Time, r flow.Refutation) {
	s.daemon.counters.inquiries[inquiryRefuted].Add(1)
	s.handleRefutation(now, r)
	s.sendHealth(relays(s.zonePeers()), &wire.Health{Refutations: []*wire.Refutation{wire.NewRefutation(&r)}})
}

// announceBusy announces to the zone that an upstream is busy: its answers are
// late, or it refuses connections.
func (s *syncer) announceBusy(now time.Time, merged *flow.Report) {
	s.daemon.log.Info(now, "upstream: reported busy", logs.F("upstream", s.daemon.upstreamID(merged.Ticket)),
		logs.F("late", merged.LateRequests), logs.F("refusals", merged.Refusals))
	s.daemon.queueBusy(now, merged.Ticket)
	s.sendHealth(relays(s.zonePeers()), &wire.Health{Busy: []uint32{uint32(merged.Ticket)}})
}

// queueBusy queues the notice that an upstream is busy.
func (d *Daemon) queueBusy(now time.Time, ticket directory.Ticket) {
	d.queueNotice(func(t *packetHandler) {
		t.forwarder.MarkBusy(now, ticket)
		d.counters.busy.Add(1)
		d.log.Info(now, "upstream: busy", logs.F("upstream", d.upstreamID(ticket)))
	})
}

// queueConfirmation queues the confirmation of an inquiry.
func (d *Daemon) queueConfirmation(now time.Time, c flow.Confirmation) {
	d.queueNotice(func(t *packetHandler) { t.forwarder.Confirm(now, c) })
}

// queueRefutation queues the notice that an upstream answers.
func (d *Daemon) queueRefutation(now time.Time, r flow.Refutation) {
	d.queueNotice(func(t *packetHandler) {
		t.forwarder.MarkAlive(now, r)
		d.log.Info(now, "upstream: death refuted by a peer", logs.F("upstream", d.upstreamID(r.Ticket)),
			logs.F("progress_age_ms", r.Age.Milliseconds()))
	})
}

// queueNotice queues a notice and wakes the packet handler.
func (d *Daemon) queueNotice(apply func(*packetHandler)) {
	d.peerNotices.add(apply)
	d.wakePacketHandler()
}

// queueInquiry queues an inquiry and wakes the packet handler.
func (d *Daemon) queueInquiry(q receivedInquiry) {
	d.peerNotices.addInquiry(q)
	d.wakePacketHandler()
}

// wakePacketHandler ends the packet handler's wait for the next packet.
func (d *Daemon) wakePacketHandler() {
	if err := d.packets.SetReadDeadline(time.Now()); err != nil && !errors.Is(err, net.ErrClosed) {
		d.counters.socketErrors.Add(1)
	}
}

// handleRefutation applies a refutation.
func (s *syncer) handleRefutation(now time.Time, r flow.Refutation) {
	s.detector.Refute(now, r)
	s.daemon.queueRefutation(now, r)
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
	for _, v := range m.GetInquiries() {
		if !v.GetRemote() {
			s.detector.ObserveInquiry(now, directory.Ticket(v.GetTicket()))
		}
		s.daemon.queueInquiry(receivedInquiry{
			Inquiry: v.Decode(),
			from:    from,
		})
	}
	for _, v := range m.GetAnswers() {
		s.handleAnswer(now, m.GetSender(), v.Decode())
	}
	for _, v := range m.GetConfirmations() {
		c := v.Decode()
		s.detector.ObserveConfirmation(now, c.Ticket)
		s.daemon.queueConfirmation(now, c)
	}
	for _, v := range m.GetRefutations() {
		s.handleRefutation(now, v.Decode())
	}
	s.handleOpenings(from, m)
	for _, t := range m.GetBusy() {
		s.daemon.queueBusy(now, directory.Ticket(t))
	}
}

// sendHealth sends a datagram on the health of upstreams to peers, and returns the bytes sent.
func (s *syncer) sendHealth(to []netip.AddrPort, m *wire.Health) int {
	m.Sender = s.daemon.incarnation
	data, err := wire.AppendHealth(nil, m)
	if err != nil {
		s.daemon.counters.malformed.Add(1)
		return 0
	}
	for _, a := range to {
		s.daemon.sendPeer(a, data)
	}
	return len(to) * len(data)
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

// isDraining reports whether the upstream that a ticket identifies drains or has drained.
// Such a host stops listening before its last flows end.
func (d *Daemon) isDraining(t directory.Ticket) bool {
	v := d.view.Load()
	if v == nil {
		return false
	}
	u := v.ByTicket(t)
	return u != nil && u.Draining
}

// zonePeers returns the other balancers of the zone that are not dead.
func (s *syncer) zonePeers() []member.Member {
	return s.livePeers(s.daemon.options.Zone)
}

// livePeers returns the other balancers of a zone that are not dead.
func (s *syncer) livePeers(zone string) []member.Member {
	var peers []member.Member
	for _, m := range s.tracker.Members() {
		if m.State != member.Dead && m.Zone == zone && m.Incarnation != s.daemon.incarnation {
			peers = append(peers, m)
		}
	}
	return peers
}

// incarnations returns the incarnations of balancers.
func incarnations(members []member.Member) []uint64 {
	all := make([]uint64, 0, len(members)+1)
	for _, m := range members {
		all = append(all, m.Incarnation)
	}
	return all
}

// relays returns the addresses of balancers for datagrams.
func relays(members []member.Member) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.Relay)
	}
	return addresses
}
