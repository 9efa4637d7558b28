package emulation

import (
	"cmp"
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/rendezvous"
)

// watchers is the number of a zone's balancers that join the reports on a host.
const watchers = 2

// balancer is one emulated balancer around real decisions.
type balancer struct {
	e         *emulation
	zone      int
	id        uint64
	down      bool
	forwarder *flow.Forwarder
	detector  *flow.Detector
	// waking tells that a time to advance is planned.
	waking bool
}

// everyOwner lets every balancer open flows of cold hosts; there are none here.
type everyOwner struct{}

func (everyOwner) Owns(*directory.Upstream) bool { return true }

func newBalancer(e *emulation, zone int) *balancer {
	b := &balancer{
		e:    e,
		zone: zone,
	}
	b.start()
	return b
}

// start starts the balancer anew: it knows no flows.
func (b *balancer) start() {
	b.down = false
	b.id = b.e.rand.Uint64()
	b.forwarder = flow.New(b.e.now, zoneName(b.zone), everyOwner{})
	b.detector = flow.NewDetector()
}

// take decides on a client's packet.
func (b *balancer) take(p flow.Packet, c *conn) {
	if b.down {
		return
	}
	d := b.forwarder.Forward(b.e.now, b.e.view, &p)
	switch d.Action {
	case flow.Forward:
		h := b.e.hosts[d.Upstream.ID]
		if d.Reason == flow.ReasonPlaced {
			h = b.e.place(b.zone, h, &p)
		}
		if b.e.rand.Float64() >= b.e.load.Loss {
			b.e.after(b.linkTo(h), func() { c.reach(h, &p) })
		}
	case flow.Reject:
		b.e.after(clientLink, c.reset)
	case flow.Drop:
	}
	b.settle()
}

// linkTo returns the time of a packet's way to a host.
func (b *balancer) linkTo(h *host) time.Duration {
	if h.upstream.Zone == zoneName(b.zone) {
		return zoneLink
	}
	return awayLink
}

// advance lets the time tell.
func (b *balancer) advance() {
	b.waking = false
	if b.down {
		return
	}
	b.forwarder.Advance(b.e.now, b.e.view)
	b.settle()
}

// settle carries out what the forwarder has decided beside a packet's way.
func (b *balancer) settle() {
	for _, v := range b.forwarder.StateChanges() {
		b.e.result.believed(b.e, b.e.hosts[v.Upstream.ID], v.State)
	}
	for _, p := range b.forwarder.Resets() {
		if c := b.e.flows[p.Client]; c != nil {
			b.e.result.abandoned(c)
			b.e.after(clientLink, c.reset)
		}
	}
	reports, doubts := b.forwarder.Reports(), b.forwarder.UpstreamsToProbe()
	if b.e.options.Policy != PolicyAlone {
		for _, r := range reports {
			b.report(r)
		}
	}
	if b.e.options.Policy == PolicyProbed {
		for _, u := range doubts {
			b.probe(u.ID)
		}
	}
	if next := b.forwarder.NextTimer(); !next.IsZero() && !b.waking {
		b.waking = true
		b.e.after(next.Sub(b.e.now), b.advance)
	}
}

// peers returns the running balancers of the zone, this one too.
func (b *balancer) peers() []*balancer {
	var peers []*balancer
	for _, p := range b.e.balancers[b.zone] {
		if !p.down {
			peers = append(peers, p)
		}
	}
	return peers
}

// report tells a host's watchers what was seen of it.
func (b *balancer) report(r flow.Report) {
	peers := b.peers()
	slices.SortFunc(peers, func(x, y *balancer) int {
		return cmp.Compare(rendezvous.Score(uint64(r.Ticket), x.id), rendezvous.Score(uint64(r.Ticket), y.id))
	})
	for _, w := range peers[:min(watchers, len(peers))] {
		b.e.after(zoneLink, func() { w.hear(b.id, r) })
	}
}

// hear joins a report with others, and tells the zone what they show.
func (b *balancer) hear(sender uint64, r flow.Report) {
	if b.down {
		return
	}
	peers := b.peers()
	joined, found := b.detector.AddReport(b.e.now, sender, r, len(peers))
	switch found {
	case flow.FoundDead:
		for _, p := range peers {
			b.e.after(zoneLink, func() { p.hearDeath(b, joined) })
		}
	case flow.FoundBusy:
		for _, p := range peers {
			b.e.after(zoneLink, func() { p.forwarder.MarkBusy(b.e.now, r.Ticket) })
		}
	case flow.FoundNothing:
		if !b.detector.ShouldProbe(b.e.now, b.id, r.Ticket) {
			return
		}
		if u := b.e.view.ByTicket(r.Ticket); u != nil {
			b.probe(u.ID)
		}
	}
}

// hearDeath takes a death that another balancer has announced.
func (b *balancer) hearDeath(from *balancer, r flow.Report) {
	if b.down {
		return
	}
	if refutation, refuted := b.forwarder.MarkDead(b.e.now, r.Ticket, r.Silence); refuted {
		b.e.after(zoneLink, func() { from.hearRefutation(refutation) })
	}
	b.e.after(flow.RefutationTimeout, b.advance)
}

// hearRefutation takes a refutation and tells the zone once.
func (b *balancer) hearRefutation(r flow.Refutation) {
	if b.down {
		return
	}
	b.forwarder.MarkAlive(b.e.now, r)
	if !b.detector.Refute(b.e.now, r) {
		return
	}
	for _, p := range b.peers() {
		if p != b {
			b.e.after(zoneLink, func() { p.hearRefutation(r) })
		}
	}
}

// probe connects to a host, and reports where that is refused.
func (b *balancer) probe(id string) {
	h := b.e.hosts[id]
	b.e.result.Probes++
	b.e.after(2*b.linkTo(h), func() {
		if h.condition == crashed && !b.down {
			b.report(flow.Report{
				Ticket:   h.upstream.Ticket(),
				Refusals: 1,
			})
		}
	})
}
