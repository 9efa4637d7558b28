package emulation

import (
	"cmp"
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/rendezvous"
)

// reportReceivers is the number of a zone's balancers that join the reports on a host.
const reportReceivers = 2

// balancer is one emulated balancer around real decisions.
type balancer struct {
	emulation *emulation
	zone      int
	id        uint64
	down      bool
	forwarder *flow.Forwarder
	detector  *flow.Detector
	// timerPending tells that a time to advance is planned.
	timerPending bool
}

// ownsAll lets every balancer open flows of cold hosts; there are none here.
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

// start starts the balancer anew: it knows no flows.
func (b *balancer) start() {
	b.down = false
	b.id = b.emulation.rand.Uint64()
	b.forwarder = flow.New(b.emulation.now, zoneName(b.zone), ownsAll{})
	b.detector = flow.NewDetector()
}

// handlePacket decides on a client's packet.
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

// delayTo returns the time of a packet's way to a host.
func (b *balancer) delayTo(h *host) time.Duration {
	if h.upstream.Zone == zoneName(b.zone) {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// handleTimer lets the time tell.
func (b *balancer) handleTimer() {
	b.timerPending = false
	if b.down {
		return
	}
	b.forwarder.Advance(b.emulation.now, b.emulation.view)
	b.processOutputs()
}

// processOutputs carries out what the forwarder has decided beside a packet's way.
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

// peers returns the running balancers of the zone, this one too.
func (b *balancer) peers() []*balancer {
	var peers []*balancer
	for _, p := range b.emulation.balancersByZone[b.zone] {
		if !p.down {
			peers = append(peers, p)
		}
	}
	return peers
}

// sendReport tells a host's watchers what was seen of it.
func (b *balancer) sendReport(r flow.Report) {
	peers := b.peers()
	slices.SortFunc(peers, func(x, y *balancer) int {
		return cmp.Compare(rendezvous.Score(uint64(r.Ticket), x.id), rendezvous.Score(uint64(r.Ticket), y.id))
	})
	for _, w := range peers[:min(reportReceivers, len(peers))] {
		b.emulation.after(sameZoneDelay, func() { w.handleReport(b.id, r) })
	}
}

// handleReport joins a report with others, and tells the zone what they show.
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

// handleDeath takes a death that another balancer has announced.
func (b *balancer) handleDeath(from *balancer, r flow.Report) {
	if b.down {
		return
	}
	if refutation, refuted := b.forwarder.MarkDead(b.emulation.now, r.Ticket, r.Silence); refuted {
		b.emulation.after(sameZoneDelay, func() { from.handleRefutation(refutation) })
	}
	b.emulation.after(flow.RefutationTimeout, b.handleTimer)
}

// handleRefutation takes a refutation and tells the zone once.
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

// probe connects to a host, and reports where that is refused.
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
