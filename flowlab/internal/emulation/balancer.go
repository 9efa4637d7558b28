package emulation

import (
	"cmp"
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/rendezvous"
)

// reportReceivers is the number of balancers of a zone that receive and merge
// the reports on a host.
const reportReceivers = 2

// inquiryInterval is the interval at which a balancer checks its inquiries.
const inquiryInterval = 100 * time.Millisecond

// balancer is an emulated balancer, which makes its decisions by filbertflow's
// own code.
type balancer struct {
	emulation *emulation
	zone      int
	id        uint64
	down      bool
	forwarder *flow.Forwarder
	detector  *flow.Detector
	// packets and messages are the clients' packets and the other balancers'
	// messages that wait.
	packets  backlog
	messages backlog
	// timerPending reports whether a call of handleTimer is scheduled.
	timerPending bool
	// loads is nil unless the policy is PolicySharing. admissionAt is when the forwarder decides
	// next on packets that wait for admission; zero if none wait.
	loads       *loadExchange
	admissionAt time.Time
}

// ownsAll lets every balancer open flows to cold hosts. Emulated hosts are
// never cold.
type ownsAll struct{}

func (ownsAll) Owns(*directory.Upstream) bool { return true }

func newBalancer(e *emulation, zone int) *balancer {
	b := &balancer{
		emulation: e,
		zone:      zone,
	}
	b.start()
	return b
}

// start starts the balancer without any knowledge of flows.
func (b *balancer) start() {
	b.down = false
	b.id = b.emulation.rand.Uint64()
	var options []flow.Option
	if b.emulation.options.Policy != PolicyAlone {
		options = append(options, flow.WithInquiries())
	}
	b.packets = backlog{schedule: &b.emulation.schedule}
	b.messages = backlog{schedule: &b.emulation.schedule}
	b.admissionAt = time.Time{}
	if b.emulation.options.Policy == PolicySharing {
		options = append(options, b.startSharing())
	}
	b.forwarder = flow.New(b.emulation.now, zoneName(b.zone), ownsAll{}, options...)
	b.detector = flow.NewDetector(b.id)
}

// receive queues a packet from a client.
func (b *balancer) receive(p flow.Packet, c *conn) {
	arrived := b.emulation.now
	b.packets.add(func() {
		if !b.down {
			b.forwarder.HandleBacklog(b.emulation.now, b.emulation.now.Sub(arrived))
			b.handlePacket(p, c)
		}
	})
}

// handlePacket handles a packet from a client.
func (b *balancer) handlePacket(p flow.Packet, c *conn) {
	d := b.forwarder.Forward(b.emulation.now, b.emulation.view, &p)
	b.execute(&d, p, c)
	b.processOutputs()
}

// execute carries out the decision on a packet.
func (b *balancer) execute(d *flow.Decision, p flow.Packet, c *conn) {
	switch d.Action {
	case flow.Forward:
		h := b.emulation.hosts[d.Upstream.ID]
		if d.Reason == flow.ReasonPlaced || d.Reason == flow.ReasonSpilled {
			h = b.emulation.place(b.zone, h, &p)
		}
		if b.emulation.rand.Float64() >= b.emulation.load.Loss {
			b.emulation.after(b.delayTo(h), func() { c.deliver(h, &p) })
		}
	case flow.Reject:
		if d.Reason == flow.ReasonNoRoom && c.request != nil {
			b.emulation.result.count(c.request, func(w *Window) { w.Rejected++ })
		}
		b.emulation.after(clientDelay, c.handleReset)
	case flow.Hold, flow.Drop:
	}
}

// delayTo returns the one-way delay of a packet to a host.
func (b *balancer) delayTo(h *host) time.Duration {
	if h.upstream.Zone == zoneName(b.zone) {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// handleTimer advances the forwarder to the current time.
func (b *balancer) handleTimer() {
	b.timerPending = false
	if b.down {
		return
	}
	b.forwarder.Advance(b.emulation.now, b.emulation.view)
	b.processOutputs()
}

// processOutputs handles the state changes, resets, reports and probes of the
// forwarder and schedules its next timer.
func (b *balancer) processOutputs() {
	for _, v := range b.forwarder.StateChanges() {
		b.emulation.result.stateChanged(b.emulation, b.emulation.hosts[v.Upstream.ID], v.State)
	}
	for _, r := range b.forwarder.Released() {
		if c := b.emulation.flows[r.Packet.Client]; c != nil {
			b.execute(&r.Decision, r.Packet, c)
		}
	}
	for _, p := range b.forwarder.Resets() {
		if c := b.emulation.flows[p.Client]; c != nil {
			b.emulation.result.flowReset(c)
			b.emulation.after(clientDelay, c.handleReset)
		}
	}
	reports, toProbe := b.forwarder.Reports(), b.forwarder.UpstreamsToProbe()
	if b.emulation.options.Policy != PolicyAlone {
		for _, r := range reports {
			b.sendReport(r)
		}
	}
	if p := b.emulation.options.Policy; p == PolicyProbed || p == PolicySharing {
		for _, u := range toProbe {
			b.probe(u.ID)
		}
	}
	if next := b.forwarder.NextTimer(); !next.IsZero() && !b.timerPending {
		b.timerPending = true
		b.emulation.after(next.Sub(b.emulation.now), b.handleTimer)
	}
	b.scheduleAdmission()
}

// peers returns the running balancers of the zone, including b.
func (b *balancer) peers() []*balancer {
	var peers []*balancer
	for _, p := range b.emulation.balancersByZone[b.zone] {
		if !p.down {
			peers = append(peers, p)
		}
	}
	return peers
}

// send delivers a message to a balancer of the zone, unless that is down by then.
func (b *balancer) send(to *balancer, handle func()) {
	b.sendAfter(sameZoneDelay, to, handle)
}

// sendAfter delivers a message to a balancer after a delay, unless that is down by then.
func (b *balancer) sendAfter(delay time.Duration, to *balancer, handle func()) {
	b.emulation.after(delay, func() {
		arrived := b.emulation.now
		to.messages.add(func() {
			if to.down {
				return
			}
			to.detector.HandleBacklog(b.emulation.now, b.emulation.now.Sub(arrived))
			handle()
		})
	})
}

// sendReport sends a report on a host to the balancers that merge reports on
// it.
func (b *balancer) sendReport(r flow.Report) {
	for rank, w := range b.watchers(r.Ticket) {
		b.send(w, func() { w.handleReport(b.id, rank, r) })
	}
}

// watchers returns the balancers that merge the reports on a host.
func (b *balancer) watchers(t directory.Ticket) []*balancer {
	peers := b.peers()
	slices.SortFunc(peers, func(x, y *balancer) int {
		return cmp.Compare(rendezvous.Score(uint64(t), x.id), rendezvous.Score(uint64(t), y.id))
	})
	return peers[:min(reportReceivers, len(peers))]
}

// handleReport merges a report with those of other balancers. It starts an inquiry
// on a host found dead, and tells the zone of a busy one. Otherwise it probes the
// host if the detector asks for it. The watcher of the second rank leaves the inquiry
// to the first one if that makes it in time.
func (b *balancer) handleReport(sender uint64, rank int, r flow.Report) {
	peers := b.peers()
	merged, finding := b.detector.AddReport(b.emulation.now, sender, r, len(peers))
	if finding != flow.FoundBusy && b.detector.ShouldProbe(b.emulation.now, b.id, r.Ticket) {
		if u := b.emulation.view.ByTicket(r.Ticket); u != nil {
			b.probe(u.ID)
		}
	}
	switch finding {
	case flow.FoundDead:
		b.handleFoundDead(rank, &merged)
	case flow.FoundBusy:
		b.announceBusy(r.Ticket)
	case flow.FoundNothing:
	}
}

// handleFoundDead asks the zone whether a host is dead, or leaves that for later or to the
// other watcher.
func (b *balancer) handleFoundDead(rank int, merged *flow.Report) {
	if rank > 0 {
		b.detector.StandBy(b.emulation.now, merged)
		b.emulation.after(inquiryInterval, b.checkInquiries)
		return
	}
	deferred, first := b.detector.Defer(b.emulation.now, merged)
	if first && merged.Refusals > 0 {
		b.announceBusy(merged.Ticket)
	}
	if deferred {
		b.emulation.after(inquiryInterval, b.checkInquiries)
		return
	}
	b.inquire(merged)
}

// announceBusy tells the zone that new flows avoid a host.
func (b *balancer) announceBusy(t directory.Ticket) {
	for _, p := range b.peers() {
		b.send(p, func() { p.forwarder.MarkBusy(b.emulation.now, t) })
	}
}

// inquire asks the zone whether a host is dead, and the host's zone if that is another one.
func (b *balancer) inquire(merged *flow.Report) {
	peers, remote := b.peers(), b.remoteWitnesses(merged.Ticket)
	q, ok := b.detector.Inquire(b.emulation.now, merged, ids(peers), ids(remote))
	if !ok {
		return
	}
	for _, p := range peers {
		b.send(p, func() { p.answer(b, q) })
	}
	asRemote := q
	asRemote.Remote = true
	for _, p := range remote {
		b.send(p, func() { p.answer(b, asRemote) })
	}
	b.emulation.after(inquiryInterval, b.checkInquiries)
}

// remoteWitnesses returns the running balancers of a host's zone if that is another one.
func (b *balancer) remoteWitnesses(t directory.Ticket) []*balancer {
	u := b.emulation.view.ByTicket(t)
	if u == nil || u.Zone == zoneName(b.zone) {
		return nil
	}
	var remote []*balancer
	for i, z := range b.emulation.balancersByZone {
		if zoneName(i) != u.Zone {
			continue
		}
		for _, p := range z {
			if !p.down {
				remote = append(remote, p)
			}
		}
	}
	return remote
}

// ids returns the IDs of balancers.
func ids(balancers []*balancer) []uint64 {
	all := make([]uint64, 0, len(balancers))
	for _, b := range balancers {
		all = append(all, b.id)
	}
	return all
}

// answer answers an inquiry after the packets that are queued.
func (b *balancer) answer(from *balancer, q flow.Inquiry) {
	if from != b && !q.Remote {
		b.detector.ObserveInquiry(b.emulation.now, q.Ticket)
	}
	b.packets.add(func() {
		a := b.forwarder.Ask(b.emulation.now, q)
		b.send(from, func() { from.handleAnswer(b.id, a) })
	})
}

// handleAnswer handles an answer to an inquiry.
func (b *balancer) handleAnswer(sender uint64, a flow.Answer) {
	outcome, scope := b.detector.AddAnswer(b.emulation.now, sender, a)
	switch outcome {
	case flow.Confirmed, flow.Unproven:
		b.confirm(flow.Confirmation{
			Ticket: a.Ticket,
			ID:     a.ID,
			Scope:  scope,
		})
	case flow.Refuted:
		r := flow.Refutation{
			Ticket: a.Ticket,
			Age:    a.Age,
		}
		for _, p := range b.peers() {
			b.send(p, func() { p.handleRefutation(r) })
		}
	case flow.Undecided:
	}
}

// checkInquiries ends the inquiries whose answers are overdue, and starts those that
// the other watcher did not make in time.
func (b *balancer) checkInquiries() {
	if b.down {
		return
	}
	for _, c := range b.detector.Overdue(b.emulation.now) {
		b.confirm(c)
	}
	for _, r := range b.detector.Due(b.emulation.now) {
		b.inquire(&r)
	}
	if b.detector.Waiting() {
		b.emulation.after(inquiryInterval, b.checkInquiries)
	}
}

// confirm tells the zone which flows of a host the evidence affects.
func (b *balancer) confirm(c flow.Confirmation) {
	for _, p := range b.peers() {
		b.send(p, func() {
			p.detector.ObserveConfirmation(b.emulation.now, c.Ticket)
			p.forwarder.Confirm(b.emulation.now, c)
			p.handleTimer()
		})
	}
}

// handleRefutation handles a refutation by any balancer of the zone.
func (b *balancer) handleRefutation(r flow.Refutation) {
	b.forwarder.MarkAlive(b.emulation.now, r)
	b.detector.Refute(b.emulation.now, r)
}

// probe connects to a host, records whether it accepts, and reports a refused connection.
func (b *balancer) probe(id string) {
	h, startedAt := b.emulation.hosts[id], b.emulation.now
	b.emulation.result.Probes++
	wait := 2 * b.delayTo(h)
	if h.state == hostPoweredOff {
		wait = flow.ProbeTimeout
	}
	b.emulation.after(wait, func() {
		if b.down {
			return
		}
		b.forwarder.RecordProbe(startedAt, h.upstream.Ticket(), h.state == hostServing)
		if h.state == hostCrashed {
			b.sendReport(flow.Report{
				Ticket:   h.upstream.Ticket(),
				Refusals: 1,
			})
		}
	})
}
