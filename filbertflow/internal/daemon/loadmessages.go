package daemon

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/rollout"
	"filbertworks.example/filbertworks/wire"
)

// digestID identifies a digest, or a part of one.
type digestID struct {
	origin   uint64
	sequence uint32
	group    int
	// ticket is that of the first upstream.
	ticket directory.Ticket
}

// sendReport sends this balancer's report to the collectors of the upstreams.
func (e *loadExchange) sendReport(now time.Time, r *load.Report) {
	if e.view == nil {
		return
	}
	parts := make(map[groupID][]load.Sample)
	for _, s := range r.Samples {
		if u := e.view.ByTicket(s.Ticket); u != nil {
			id := groupID{
				zone:  u.Zone,
				group: load.GroupOf(s.Ticket, load.Groups(len(e.view.InZone(u.Zone)))),
			}
			parts[id] = append(parts[id], s)
		}
	}
	for group := range e.hosts {
		// An empty report tells that this balancer sends nothing to the group.
		id := groupID{
			zone:  e.daemon.options.Zone,
			group: group,
		}
		parts[id] = slices.Clip(parts[id])
	}
	for id, samples := range parts {
		part := *r
		part.Sender, part.Group, part.Samples = e.daemon.incarnation, id.group, samples
		e.sendPart(now, id, &part)
	}
}

// sendPart sends the report on one group.
func (e *loadExchange) sendPart(now time.Time, id groupID, r *load.Report) {
	var datagrams [][]byte
	for _, m := range e.collectors(id) {
		if e.isSelf(m) {
			e.addReport(now, id.group, r)
			continue
		}
		if datagrams == nil {
			datagrams = e.encoded(wire.AppendLoadReport(nil, r, maxDeltaSize))
		}
		e.send([]netip.AddrPort{m.Relay}, datagrams)
	}
}

// addReport adds a report on a group that this balancer collects.
func (e *loadExchange) addReport(now time.Time, group int, r *load.Report) {
	if c := e.collecting[group]; c != nil {
		c.collector.AddReport(now, r)
	}
}

// handleReport adds a peer's report if this balancer collects its group.
func (e *loadExchange) handleReport(now time.Time, r *load.Report) {
	e.addReport(now, r.Group, r)
}

// sendDigest sends the digest of a group to the zone, and the group's summary to other zones.
func (e *loadExchange) sendDigest(now time.Time, group int, c *groupCollector) {
	zone, hosts := e.daemon.options.Zone, e.hosts[group]
	d, ok := c.collector.Digest(now, group, len(e.hosts), hosts, len(e.syncer.zonePeers())+1)
	if !ok {
		return
	}
	e.logCapacities(now, c, hosts, &d)
	e.applyDigest(now, &d)
	summary := load.Digest{
		Origin:   e.daemon.incarnation,
		Sequence: d.Sequence,
		Group:    group,
		Zones:    c.collector.Own(now, zone, group, hosts),
	}
	e.sendSummary(now, group, &summary)
}

// sendSummary sends the load of a group's hosts to the collectors of other zones.
func (e *loadExchange) sendSummary(now time.Time, group int, summary *load.Digest) {
	if len(summary.Zones) == 0 {
		return
	}
	var zones []string
	for _, m := range e.table.Members() {
		if m.State == member.Alive && m.Zone != e.daemon.options.Zone && !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	datagrams := e.encoded(wire.AppendLoadDigest(nil, now, summary, maxDeltaSize))
	for _, zone := range zones {
		groups := load.Groups(len(e.view.InZone(zone)))
		e.send(relays(e.collectors(groupID{
			zone:  zone,
			group: group % groups,
		})), datagrams)
	}
}

// applyDigest hands a digest to the packet handler, and passes it on to the peers that follow in
// the relay tree of its collector.
func (e *loadExchange) applyDigest(now time.Time, d *load.Digest) {
	e.updateBusy(d)
	if c := e.collecting[d.Group]; c != nil && d.Origin != e.daemon.incarnation {
		// The collectors take turns.
		c.dueAt = now.Add(e.interval(now))
	}
	self := &member.Member{
		Zone:        e.daemon.options.Zone,
		Incarnation: e.daemon.incarnation,
	}
	if peers := rollout.RelayTargets(e.syncer.tracker.Members(), self, d.Origin, false); len(peers) > 0 {
		e.send(peers, e.encoded(wire.AppendLoadDigest(nil, now, d, maxDeltaSize)))
	}
	balancers := len(e.syncer.zonePeers()) + 1
	e.daemon.queueNotice(func(t *packetHandler) { t.forwarder.ApplyDigest(time.Now(), d, balancers) })
}

// isRepeated reports whether a digest, or the same part of one, has come before. Balancers that
// disagree on the members have different relay trees, in which digests could go in circles.
func (e *loadExchange) isRepeated(now time.Time, d *load.Digest) bool {
	id := digestID{
		origin:   d.Origin,
		sequence: d.Sequence,
		group:    d.Group,
	}
	if len(d.Totals) > 0 {
		id.ticket = d.Totals[0].Ticket
	}
	if _, ok := e.seen[id]; ok {
		return true
	}
	if len(e.seen) >= maxSeenDigests {
		maps.DeleteFunc(e.seen, func(_ digestID, at time.Time) bool { return now.Sub(at) >= seenLifetime })
	}
	if len(e.seen) >= maxSeenDigests {
		return true
	}
	e.seen[id] = now
	return false
}

// handleDatagram handles a report, a digest or another zone's summary.
func (e *loadExchange) handleDatagram(now time.Time, data []byte) {
	if !e.daemon.options.Load.Share {
		return
	}
	if wire.IsLoadReport(data) {
		r, err := wire.ParseLoadReport(data)
		if err != nil {
			e.daemon.counters.malformed.Add(1)
			return
		}
		e.daemon.counters.loadReports.Add(1)
		e.handleReport(now, r)
		return
	}
	d, err := wire.ParseLoadDigest(now, data)
	if err != nil {
		e.daemon.counters.malformed.Add(1)
		return
	}
	if d.Groups == 0 {
		for _, z := range d.Zones {
			e.addZone(now, z)
		}
		return
	}
	e.daemon.counters.loadDigests.Add(1)
	if !e.isRepeated(now, d) {
		e.applyDigest(now, d)
	}
}

// addZone adds another zone's summary to the digests of this balancer's groups.
func (e *loadExchange) addZone(now time.Time, z load.ZoneTotal) {
	for group, c := range e.collecting {
		if group == z.Group%len(e.hosts) {
			c.collector.AddZone(now, z)
		}
	}
}

// encoded returns datagrams, or none after counting an error.
func (e *loadExchange) encoded(datagrams [][]byte, err error) [][]byte {
	if err != nil {
		e.daemon.counters.malformed.Add(1)
		return nil
	}
	return datagrams
}

// send sends datagrams to peers.
func (e *loadExchange) send(to []netip.AddrPort, datagrams [][]byte) {
	for _, data := range datagrams {
		for _, a := range to {
			e.daemon.sendPeer(a, data)
			e.daemon.counters.loadBytes.Add(uint64(len(data)))
		}
	}
}
