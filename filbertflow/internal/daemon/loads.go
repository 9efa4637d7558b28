package daemon

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/rendezvous"
	"filbertworks.example/filbertworks/rollout"
	"filbertworks.example/filbertworks/wire"
)

const (
	// busyReportInterval and idleReportInterval are the times between two reports of a balancer
	// while its zone is busy, and otherwise.
	busyReportInterval = 300 * time.Millisecond
	idleReportInterval = 700 * time.Millisecond
	// collectorsPerGroup is the number of balancers that sum the reports on a group of
	// upstreams. They take turns with their digests, so that losing one halves their rate.
	collectorsPerGroup = 2
	// busyUtilization is the number of requests in progress per slot of the zone's upstreams
	// above which the zone is busy.
	busyUtilization = 0.4
	// burstLifetime is how long a zone counts as busy after its load has grown.
	burstLifetime = 2 * time.Second
	// seenLifetime is how long a digest that came is remembered: longer than one is on its way.
	// maxSeenDigests bounds them; a zone of 3,235 upstreams has 26 groups, and so some 200 digests
	// in that time.
	seenLifetime   = 2 * time.Second
	maxSeenDigests = 1024
)

// A loadExchange shares the load of upstreams with other balancers. Only the syncer's goroutine
// uses it.
type loadExchange struct {
	daemon *Daemon
	syncer *syncer
	// reportedAt is when the last report was requested of the packet handler.
	reportedAt time.Time
	// busy tells whether one of the groups of the own zone is; utilization is that of each.
	busy        bool
	utilization map[int]float64
	// burstUntil is until when reports and digests come as in a busy zone, since the load has
	// grown.
	burstUntil time.Time
	// seen holds the digests that came lately, with their times.
	seen map[digestID]time.Time
	// table and view are those that groups, hosts and targets were worked out from.
	table *member.Table
	view  *directory.View
	// hosts are the own zone's upstreams by group.
	hosts [][]*directory.Upstream
	// collecting holds the groups whose reports this balancer sums.
	collecting map[int]*groupCollector
	// former are the collectors to go on with if this balancer collects a group again.
	former map[int]*load.Collector
	// targets are the collectors of the groups of any zone that are known so far.
	targets map[groupID][]member.Member
}

// groupID names a group of a zone's upstreams.
type groupID struct {
	zone  string
	group int
}

// digestID identifies a digest, or a part of one.
type digestID struct {
	origin   uint64
	sequence uint32
	group    int
	// ticket is that of the first upstream.
	ticket directory.Ticket
}

// groupCollector sums the reports on one group of upstreams.
type groupCollector struct {
	collector *load.Collector
	dueAt     time.Time
	// capacities are those of the group's upstreams that were logged last, by upstream. One that
	// is missing has as much as its slots.
	capacities map[directory.Ticket]float64
}

func newLoadExchange(s *syncer) *loadExchange {
	return &loadExchange{
		daemon:     s.daemon,
		syncer:     s,
		collecting: make(map[int]*groupCollector),
		former:     make(map[int]*load.Collector),
		targets:    make(map[groupID][]member.Member),

		utilization: make(map[int]float64),
		seen:        make(map[digestID]time.Time),
	}
}

// tick makes the reports and digests that are due.
func (e *loadExchange) tick(now time.Time) {
	v := e.daemon.view.Load()
	if v == nil || !e.daemon.options.Load.Share {
		return
	}
	e.update(now, v)
	if now.Sub(e.reportedAt) >= e.interval(now) {
		e.reportedAt = now
		interval := e.interval(now)
		e.daemon.queueNotice(func(t *packetHandler) { t.reportLoad(interval) })
	}
	for group := range e.hosts {
		if c := e.collecting[group]; c != nil && !now.Before(c.dueAt) {
			c.dueAt = now.Add(collectorsPerGroup * e.interval(now))
			e.sendDigest(now, group, c)
		}
	}
}

// handleGrowth makes the next report at once, and the following ones as in a busy zone.
func (e *loadExchange) handleGrowth(now time.Time) {
	if !now.Before(e.burstUntil) && !e.busy {
		e.reportedAt = now.Add(-busyReportInterval)
		for _, c := range e.collecting {
			c.dueAt = now.Add(min(c.dueAt.Sub(now), busyReportInterval))
		}
	}
	e.burstUntil = now.Add(burstLifetime)
}

// interval returns the time between two reports.
func (e *loadExchange) interval(now time.Time) time.Duration {
	if e.busy || now.Before(e.burstUntil) {
		return busyReportInterval
	}
	return idleReportInterval
}

// update determines which groups of the own zone's upstreams this balancer collects, after a
// change of the directory or the membership.
func (e *loadExchange) update(now time.Time, v *directory.View) {
	table := e.syncer.tracker.Table()
	if v == e.view && table == e.table {
		return
	}
	if table != e.table {
		clear(e.targets)
	}
	e.view, e.table = v, table
	zone := e.daemon.options.Zone
	upstreams := v.InZone(zone)
	e.hosts = make([][]*directory.Upstream, load.Groups(len(upstreams)))
	for _, u := range upstreams {
		group := load.GroupOf(u.Ticket(), len(e.hosts))
		e.hosts[group] = append(e.hosts[group], u)
	}
	for group := range e.collecting {
		if group >= len(e.hosts) {
			e.stopCollecting(group)
		}
	}
	for group := range e.hosts {
		e.updateGroup(now, groupID{
			zone:  zone,
			group: group,
		})
	}
}

// updateGroup determines whether this balancer collects a group of the own zone's upstreams.
func (e *loadExchange) updateGroup(now time.Time, id groupID) {
	rank := slices.IndexFunc(e.collectors(id), e.isSelf)
	if rank < 0 {
		e.stopCollecting(id.group)
		return
	}
	if e.collecting[id.group] == nil {
		collector := e.former[id.group]
		if collector == nil {
			collector = load.NewCollector(e.daemon.incarnation)
		}
		e.collecting[id.group] = &groupCollector{
			collector: collector,
			dueAt:     now.Add(time.Duration(rank) * e.interval(now)),
		}
	}
}

// stopCollecting drops the reports on a group.
func (e *loadExchange) stopCollecting(group int) {
	if c := e.collecting[group]; c != nil {
		e.former[group] = c.collector.Successor()
		delete(e.collecting, group)
	}
}

func (e *loadExchange) isSelf(m member.Member) bool {
	return m.Incarnation == e.daemon.incarnation
}

// collectors returns the balancers that sum the reports on a group.
func (e *loadExchange) collectors(id groupID) []member.Member {
	c, ok := e.targets[id]
	if !ok {
		c = e.table.Ranked(rendezvous.Mix(uint64(id.group)+1), id.zone, collectorsPerGroup)
		e.targets[id] = c
	}
	return c
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

// updateBusy determines whether any group of the zone's upstreams is busy.
func (e *loadExchange) updateBusy(d *load.Digest) {
	e.utilization[d.Group] = utilization(e.hosts, d)
	e.busy = false
	for group, u := range e.utilization {
		if group >= len(e.hosts) {
			delete(e.utilization, group)
			continue
		}
		e.busy = e.busy || u >= busyUtilization
	}
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

// utilization returns the number of requests in progress per slot of a digest's group.
func utilization(groups [][]*directory.Upstream, d *load.Digest) float64 {
	if d.Group >= len(groups) {
		return 0
	}
	var working, slots float64
	for i := range d.Totals {
		working += d.Totals[i].Working
	}
	for _, u := range groups[d.Group] {
		slots += float64(u.Slots)
	}
	return working / max(slots, 1)
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

// handleResume forgets the reports that were received before a pause.
func (e *loadExchange) handleResume(now time.Time) {
	for _, c := range e.collecting {
		c.collector.Reset(now)
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

// reportLoad makes the report that is due.
func (t *packetHandler) reportLoad(interval time.Duration) {
	now := time.Now()
	r := t.forwarder.LoadReport(now, interval)
	d := t.daemon
	d.post(func(now time.Time) { d.syncer.loads.sendReport(now, &r) })
	t.recordLoad(now)
}
