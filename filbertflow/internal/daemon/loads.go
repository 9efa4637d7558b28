package daemon

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/rendezvous"
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

// handleResume forgets the reports that were received before a pause.
func (e *loadExchange) handleResume(now time.Time) {
	for _, c := range e.collecting {
		c.collector.Reset(now)
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
