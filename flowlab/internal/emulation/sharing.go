package emulation

import (
	"cmp"
	"slices"
	"time"

	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/load"
	"filbertworks.example/filbertworks/rendezvous"
)

// Intervals and limits of filbertflow's exchange of loads (filbertflow/internal/daemon/loads.go).
const (
	loadTick           = 100 * time.Millisecond
	busyReportInterval = 300 * time.Millisecond
	idleReportInterval = 700 * time.Millisecond
	collectorsPerZone  = 2
	busyUtilization    = 0.4
	burstLifetime      = 2 * time.Second
	// digestFanOut is the number of balancers that each one relays a digest to.
	digestFanOut = 6
)

// loadExchange shares the load of hosts with other balancers as filbertflow does. All hosts of a
// zone are one group, and messages are never split.
type loadExchange struct {
	balancer *balancer
	// reportedAt is when the last report was made.
	reportedAt time.Time
	busy       bool
	burstUntil time.Time
	// collector is nil unless this balancer sums the reports on the zone's hosts; its next
	// digest is due at dueAt.
	collector *load.Collector
	dueAt     time.Time
}

// startSharing starts the exchange of loads, and returns the option for the forwarder.
func (b *balancer) startSharing() flow.Option {
	x := &loadExchange{balancer: b}
	b.loads = x
	phase := time.Duration(b.emulation.loadRand.Int64N(int64(loadTick)))
	b.emulation.after(phase, x.tick)
	return flow.WithSharing(flow.Sharing{
		Learn: true,
		Spill: true,
		Admit: true,
	})
}

// scheduleAdmission schedules the next decision on packets that wait for admission.
func (b *balancer) scheduleAdmission() {
	at := b.forwarder.NextTimer()
	if b.forwarder.Waiting() == 0 || !b.admissionAt.IsZero() && !at.Before(b.admissionAt) {
		return
	}
	b.admissionAt = at
	b.emulation.after(at.Sub(b.emulation.now), func() {
		if !b.down && b.admissionAt.Equal(at) {
			b.admissionAt = time.Time{}
			b.forwarder.Advance(b.emulation.now, b.emulation.view)
			b.processOutputs()
		}
	})
}

// handleGrowth makes the next report at once, and the following ones as in a busy zone.
func (x *loadExchange) handleGrowth(now time.Time) {
	if !now.Before(x.burstUntil) && !x.busy {
		x.reportedAt = now.Add(-busyReportInterval)
		if x.collector != nil {
			x.dueAt = now.Add(min(x.dueAt.Sub(now), busyReportInterval))
		}
	}
	x.burstUntil = now.Add(burstLifetime)
}

// interval returns the time between two reports.
func (x *loadExchange) interval(now time.Time) time.Duration {
	if x.busy || now.Before(x.burstUntil) {
		return busyReportInterval
	}
	return idleReportInterval
}

// tick makes the report and the digest that are due, until the balancer loses power.
func (x *loadExchange) tick() {
	b := x.balancer
	if b.down || b.loads != x {
		return
	}
	now := b.emulation.now
	if b.forwarder.LoadGrew() {
		x.handleGrowth(now)
	}
	x.updateCollector(now)
	if now.Sub(x.reportedAt) >= x.interval(now) {
		x.reportedAt = now
		interval := x.interval(now)
		b.packets.add(func() {
			if !b.down && b.loads == x {
				x.sendReport(b.forwarder.LoadReport(b.emulation.now, interval))
			}
		})
	}
	if x.collector != nil && !now.Before(x.dueAt) {
		x.dueAt = now.Add(collectorsPerZone * x.interval(now))
		x.sendDigest(now)
	}
	b.emulation.after(loadTick, x.tick)
}

// updateCollector determines whether this balancer is a collector of its zone.
func (x *loadExchange) updateCollector(now time.Time) {
	rank := slices.Index(x.balancer.emulation.collectors(x.balancer.zone), x.balancer)
	switch {
	case rank < 0:
		x.collector = nil
	case x.collector == nil:
		x.collector = load.NewCollector(x.balancer.id)
		x.dueAt = now.Add(time.Duration(rank) * x.interval(now))
	}
}

// collectors returns the balancers that sum the reports on the hosts of a zone.
func (e *emulation) collectors(zone int) []*balancer {
	var running []*balancer
	for _, b := range e.balancersByZone[zone] {
		if !b.down {
			running = append(running, b)
		}
	}
	key := rendezvous.Mix(1)
	slices.SortFunc(running, func(a, b *balancer) int {
		return cmp.Compare(rendezvous.Score(key, b.id), rendezvous.Score(key, a.id))
	})
	return running[:min(collectorsPerZone, len(running))]
}

// sendReport sends the parts of a report to the collectors of the hosts' zones.
func (x *loadExchange) sendReport(r load.Report) {
	e := x.balancer.emulation
	parts := make(map[string][]load.Sample)
	for _, s := range r.Samples {
		if u := e.view.ByTicket(s.Ticket); u != nil {
			parts[u.Zone] = append(parts[u.Zone], s)
		}
	}
	for zone := range e.balancersByZone {
		samples, ok := parts[zoneName(zone)]
		if !ok && zone != x.balancer.zone {
			continue
		}
		// An empty report tells that this balancer sends nothing to its zone's hosts.
		part := r
		part.Sender, part.Samples = x.balancer.id, samples
		x.sendToCollectors(zone, func(c *load.Collector) { c.AddReport(e.now, &part) })
	}
}

// sendDigest sends the digest of the zone to its balancers, and its summary to other zones.
func (x *loadExchange) sendDigest(now time.Time) {
	b := x.balancer
	hosts, peers := b.emulation.view.InZone(zoneName(b.zone)), b.peers()
	d, ok := x.collector.Digest(now, 0, 1, hosts, len(peers))
	if !ok {
		return
	}
	x.applyDigest(&d)
	x.relay(&d, slices.DeleteFunc(peers, func(p *balancer) bool { return p == b }))
	totals := x.collector.Own(now, zoneName(b.zone), 0, hosts)
	for zone := range b.emulation.balancersByZone {
		if zone != b.zone && len(totals) > 0 {
			x.sendToCollectors(zone, func(c *load.Collector) {
				for _, t := range totals {
					c.AddZone(b.emulation.now, t)
				}
			})
		}
	}
}

// applyDigest hands a digest to the forwarder.
func (x *loadExchange) applyDigest(d *load.Digest) {
	b := x.balancer
	working, slots := 0.0, 0
	for i := range d.Totals {
		working += d.Totals[i].Working
	}
	for _, u := range b.emulation.view.InZone(zoneName(b.zone)) {
		slots += u.Slots
	}
	x.busy = working >= busyUtilization*float64(max(slots, 1))
	if x.collector != nil && d.Origin != b.id {
		// The collectors take turns.
		x.dueAt = b.emulation.now.Add(x.interval(x.balancer.emulation.now))
	}
	b.packets.add(func() { b.forwarder.ApplyDigest(b.emulation.now, d, len(b.peers())) })
}

// relay sends a digest to balancers of the zone along a tree.
func (x *loadExchange) relay(d *load.Digest, peers []*balancer) {
	size := (len(peers) + digestFanOut - 1) / digestFanOut
	for part := range slices.Chunk(peers, max(size, 1)) {
		to := part[0]
		x.send(to, func() {
			to.loads.applyDigest(d)
			to.loads.relay(d, part[1:])
		})
	}
}

// sendToCollectors delivers a message to the collectors of a zone.
func (x *loadExchange) sendToCollectors(zone int, handle func(c *load.Collector)) {
	for _, to := range x.balancer.emulation.collectors(zone) {
		deliver := func() {
			if c := to.loads.collector; c != nil {
				handle(c)
			}
		}
		if to == x.balancer {
			deliver()
			continue
		}
		x.send(to, deliver)
	}
}

// send delivers a message to another balancer unless it is lost.
func (x *loadExchange) send(to *balancer, handle func()) {
	e := x.balancer.emulation
	if e.options.loseReports || e.loadRand.Float64() < e.load.Loss {
		return
	}
	delay := sameZoneDelay
	if to.zone != x.balancer.zone {
		delay = crossZoneDelay
	}
	x.balancer.sendAfter(delay, to, handle)
}
