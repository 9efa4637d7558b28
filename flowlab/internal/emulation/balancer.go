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

// balancer is an emulated balancer, which makes its decisions by filbertflow's
// own code.
type balancer struct {
	emulation *emulation
	zone      int
	id        uint64
	down      bool
	forwarder *flow.Forwarder
	detector  *flow.Detector
	// timerPending reports whether a call of handleTimer is scheduled.
	timerPending bool
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
	b.forwarder = flow.New(b.emulation.now, zoneName(b.zone), ownsAll{})
	b.detector = flow.NewDetector()
}

// handlePacket handles a packet from a client.
func (b *balancer) handlePacket(p flow.Packet, c *conn) {
	if b.down {
		return
	}
	d := b.forwarder.Forward(b.emulation.now, b.emulation.view, &p)
	switch d.Action {
	case flow.Forward:
		h := b.emulation.hosts[d.Upstream.ID]
		if d.Reason == flow.ReasonPlaced {
			h = b.emulation.place(b.zone, h, &p)
		}
		if b.emulation.rand.Float64() >= b.emulation.load.Loss {
			b.emulation.after(b.delayTo(h), func() { c.deliver(h, &p) })
		}
	case flow.Reject:
		b.emulation.after(clientDelay, c.handleReset)
	case flow.Drop:
	}
	b.processOutputs()
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
	if b.emulation.options.Policy == PolicyProbed {
		for _, u := range toProbe {
			b.probe(u.ID)
		}
	}
	if next := b.forwarder.NextTimer(); !next.IsZero() && !b.timerPending {
		b.timerPending = true
		b.emulation.after(next.Sub(b.emulation.now), b.handleTimer)
	}
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

// sendReport sends a report on a host to the balancers that merge reports on
// it.
func (b *balancer) sendReport(r flow.Report) {
	peers := b.peers()
	slices.SortFunc(peers, func(x, y *balancer) int {
		return cmp.Compare(rendezvous.Score(uint64(r.Ticket), x.id), rendezvous.Score(uint64(r.Ticket), y.id))
	})
	for _, w := range peers[:min(reportReceivers, len(peers))] {
		b.emulation.after(sameZoneDelay, func() { w.handleReport(b.id, r) })
	}
}

// handleReport merges a report with those of other balancers. It announces a
// host found dead or busy to the zone. Otherwise it probes the host if the
// detector asks for it.
func (b *balancer) handleReport(sender uint64, r flow.Report) {
	if b.down {
		return
	}
	peers := b.peers()
	merged, finding := b.detector.AddReport(b.emulation.now, sender, r, len(peers))
	switch finding {
	case flow.FoundDead:
		for _, p := range peers {
			b.emulation.after(sameZoneDelay, func() { p.handleDeath(b, merged) })
		}
	case flow.FoundBusy:
		for _, p := range peers {
			b.emulation.after(sameZoneDelay, func() { p.forwarder.MarkBusy(b.emulation.now, r.Ticket) })
		}
	case flow.FoundNothing:
		if !b.detector.ShouldProbe(b.emulation.now, b.id, r.Ticket) {
			return
		}
		if u := b.emulation.view.ByTicket(r.Ticket); u != nil {
			b.probe(u.ID)
		}
	}
}

// handleDeath handles the announcement of a dead host by another balancer,
// which it may refute.
func (b *balancer) handleDeath(from *balancer, r flow.Report) {
	if b.down {
		return
	}
	if refutation, refuted := b.forwarder.MarkDead(b.emulation.now, r.Ticket, r.Silence); refuted {
		b.emulation.after(sameZoneDelay, func() { from.handleRefutation(refutation) })
	}
	b.emulation.after(flow.RefutationTimeout, b.handleTimer)
}

// handleRefutation handles a refutation and forwards it to the zone the first
// time.
func (b *balancer) handleRefutation(r flow.Refutation) {
	if b.down {
		return
	}
	b.forwarder.MarkAlive(b.emulation.now, r)
	if !b.detector.Refute(b.emulation.now, r) {
		return
	}
	for _, p := range b.peers() {
		if p != b {
			b.emulation.after(sameZoneDelay, func() { p.handleRefutation(r) })
		}
	}
}

// probe connects to a host and reports a refused connection.
func (b *balancer) probe(id string) {
	h := b.emulation.hosts[id]
	b.emulation.result.Probes++
	b.emulation.after(2*b.delayTo(h), func() {
		if h.state == hostCrashed && !b.down {
			b.sendReport(flow.Report{
				Ticket:   h.upstream.Ticket(),
				Refusals: 1,
			})
		}
	})
}
