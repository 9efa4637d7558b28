package load

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
)

// lateReports is how many sequence numbers a report may be behind the sender's newest one and
// be late: 2 s at 4 reports a second. One that is further behind shows that the sender has
// restarted.
const lateReports = 8

// senderRetention is how long a silent sender's sequence is kept, so that a late report does
// not count as the first one of a new sender.
const senderRetention = 5 * time.Second

// zoneTotalLifetime is how long a zone total counts: an excess must not go on to a zone that
// is full or cut off.
const zoneTotalLifetime = time.Second

// Limits of what one sender may claim for one upstream, as multiples of its slots. Routers
// spread flows evenly, so that no balancer of many holds half of a host's work.
const (
	// fewSenders is the number of senders below which one may hold nearly all of the work.
	fewSenders         = 4
	fewSendersWorking  = 4
	manySendersWorking = 0.5
	// A sender of many may hold senderFlows flows for each slot, and senderFlowsMean times
	// the mean of the others.
	senderFlows     = 4
	senderFlowsMean = 4
)

// idleWorking is the work below which an upstream counts as idle: half of the unit in
// messages.
const idleWorking = 1. / 32

// A Collector sums the reports of balancers to digests. Its state is lost with the process. It
// is not safe for concurrent use.
type Collector struct {
	origin    uint64
	sequence  uint32
	senders   map[uint64]*sender
	zones     map[zoneKey]ZoneTotal
	estimator *capacity.Estimator
	// startedAt is when the first report came after the start or a pause; zero before.
	startedAt time.Time
	// members is the number of members of the zone as last told.
	members int
	// order and sums are used by sum, which reuses their memory.
	order []int
	sums  []hostSum
}

// A sender is what a collector keeps of one balancer.
type sender struct {
	sequence uint32
	at       time.Time
	period   time.Duration
	expires  time.Time
	// older is the sequence of the last report if that is older than sequence; zero if not.
	older uint32
	// samples are ordered by ticket.
	samples []held
}

// A held is a sample that a collector keeps.
type held struct {
	ticket   directory.Ticket
	sequence uint32
	flows    int32
	working  float32
}

// A hostSum is the load of one upstream.
type hostSum struct {
	flows   int
	working float64
}

type zoneKey struct {
	zone, service string
	group         int
}

// NewCollector returns a collector without reports. The origin is the incarnation of the
// process.
func NewCollector(origin uint64) *Collector {
	return &Collector{
		origin:    origin,
		senders:   make(map[uint64]*sender),
		zones:     make(map[zoneKey]ZoneTotal),
		estimator: capacity.NewEstimator(),
	}
}

// AddReport adds a balancer's report, or a part of one. Late and repeated reports are ignored.
func (c *Collector) AddReport(now time.Time, r *Report) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	s := c.senders[r.Sender]
	if s == nil {
		if len(c.senders) >= maxSenders {
			c.prune(now)
		}
		if len(c.senders) >= maxSenders {
			return
		}
		s = &sender{sequence: r.Sequence}
		c.senders[r.Sender] = s
	}
	if !s.advance(r) {
		return
	}
	s.at = now
	s.period = min(max(r.Period, minPeriod), maxPeriod)
	s.expires = now.Add(r.lifetime())
	for i := range r.Samples {
		p := &r.Samples[i]
		if s.add(r.Sequence, p) && p.Answers != (capacity.Observation{}) {
			c.estimator.Add(now, r.Sender, p.Ticket, p.Answers)
		}
	}
}

// AddZone adds the load of a service's hosts in a group of a zone, to be part of digests for
// 1 s. Older ones than that known are ignored.
func (c *Collector) AddZone(now time.Time, z ZoneTotal) {
	addZone(now, c.zones, z)
}

// Digest returns the digest of a group of the collector's zone; hosts are the hosts of the
// group, and members is the number of balancers of the zone. It returns false in the first
// period after the first report since the start or a pause, and if fewer than half of the
// members have reported.
func (c *Collector) Digest(now time.Time, group, groups int, hosts []*directory.Upstream, members int) (Digest, bool) {
	c.members = members
	balancers, ok := c.ready(now)
	if !ok {
		return Digest{}, false
	}
	c.sum(now, hosts)
	c.sequence++
	d := Digest{
		Origin:    c.origin,
		Sequence:  c.sequence,
		Group:     group,
		Groups:    groups,
		Balancers: balancers,
		Totals:    make([]Total, 0, len(hosts)),
	}
	estimates := c.estimator.Estimate(now, hosts)
	for _, i := range c.order {
		t := Total{
			Ticket:  hosts[i].Ticket(),
			Flows:   c.sums[i].flows,
			Working: c.sums[i].working,
		}
		if n := len(d.Totals); n > 0 && d.Totals[n-1].Ticket == t.Ticket {
			continue
		}
		if e := estimates[i]; e.Known {
			t.Capacity, t.Answers = e.Capacity, e.Answers
		}
		usual := t.Capacity == 0 || t.Capacity >= float64(hosts[i].Slots)
		if t.Flows > 0 || t.Working >= idleWorking || !usual {
			d.Totals = append(d.Totals, t)
		}
	}
	maps.DeleteFunc(c.zones, func(_ zoneKey, z ZoneTotal) bool { return now.Sub(z.At) > zoneTotalLifetime })
	for _, z := range c.zones {
		d.Zones = append(d.Zones, z)
	}
	slices.SortFunc(d.Zones, compareZones)
	return d, true
}

// Own returns the load of the hosts of a group by service, for other zones; nil when there
// would be no digest. Hosts that get no new flows are left out, and cold hosts have no room.
func (c *Collector) Own(now time.Time, zone string, group int, hosts []*directory.Upstream) []ZoneTotal {
	if _, ok := c.ready(now); !ok || c.members == 0 {
		return nil
	}
	c.sum(now, hosts)
	estimates := c.estimator.Estimate(now, hosts)
	var totals []ZoneTotal
	for i, h := range hosts {
		if h.Draining || !h.DepartedAt.IsZero() {
			continue
		}
		n := slices.IndexFunc(totals, func(z ZoneTotal) bool { return z.Service == h.Service })
		if n < 0 {
			n = len(totals)
			totals = append(totals, ZoneTotal{
				Zone:    zone,
				Service: h.Service,
				Group:   group,
				At:      now,
			})
		}
		room := estimates[i].Capacity
		if h.Cold(now) {
			room = min(room, c.sums[i].working)
		}
		totals[n].Working += c.sums[i].working
		totals[n].Capacity += room
	}
	slices.SortFunc(totals, compareZones)
	return totals
}

// Reset discards all reports after a pause of the process: they are older than they look.
func (c *Collector) Reset(now time.Time) {
	clear(c.senders)
	clear(c.zones)
	c.startedAt = now
}

// prune removes senders that have been silent for long.
func (c *Collector) prune(now time.Time) {
	maps.DeleteFunc(c.senders, func(_ uint64, s *sender) bool { return now.Sub(s.at) > senderRetention })
}

// ready returns the number of balancers whose reports count, and whether they are enough for
// a digest.
func (c *Collector) ready(now time.Time) (int, bool) {
	c.prune(now)
	n, period := 0, time.Duration(0)
	for _, s := range c.senders {
		if now.Before(s.expires) {
			n++
			period = max(period, s.period)
		}
	}
	return n, n > 0 && 2*n >= c.members && !c.startedAt.IsZero() && now.Sub(c.startedAt) >= period
}

// sum sets c.order to the indexes of hosts by ticket, and c.sums to the load of each host. Of
// hosts with the same ticket, the first one in c.order has the load of all of them.
func (c *Collector) sum(now time.Time, hosts []*directory.Upstream) {
	c.order, c.sums = c.order[:0], slices.Grow(c.sums[:0], len(hosts))[:len(hosts)]
	clear(c.sums)
	for i := range hosts {
		c.order = append(c.order, i)
	}
	slices.SortFunc(c.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(hosts[a].Ticket(), hosts[b].Ticket()), cmp.Compare(a, b))
	})
	senders := 0
	for _, s := range c.senders {
		if now.Before(s.expires) {
			senders++
			c.each(s, hosts, func(i int, h *held) { c.sums[i].flows += int(h.flows) })
		}
	}
	// Flows are summed first without limits, for the mean of the other senders.
	flows := make([]int, len(hosts))
	for i := range c.sums {
		flows[i], c.sums[i].flows = c.sums[i].flows, 0
	}
	for _, s := range c.senders {
		if !now.Before(s.expires) {
			continue
		}
		c.each(s, hosts, func(i int, h *held) {
			slots := float64(max(hosts[i].Slots, 1))
			w, f := float64(h.working), int(h.flows)
			if senders < fewSenders {
				w = min(w, slots*fewSendersWorking)
			} else {
				w = min(w, max(1, slots*manySendersWorking))
				others := float64(flows[i]-f) / float64(senders-1)
				f = min(f, int(senderFlows*slots+senderFlowsMean*others))
			}
			c.sums[i].working += w
			c.sums[i].flows += f
		})
	}
}

// each calls add for each sample of a sender that is of one of the hosts.
func (c *Collector) each(s *sender, hosts []*directory.Upstream, add func(i int, h *held)) {
	next := 0
	for _, i := range c.order {
		t := hosts[i].Ticket()
		for next < len(s.samples) && s.samples[next].ticket < t {
			next++
		}
		if next < len(s.samples) && s.samples[next].ticket == t {
			add(i, &s.samples[next])
			next++
		}
	}
}

// add adds a sample of the sender's current sequence. It returns false if the sample is
// invalid, or known already.
func (s *sender) add(sequence uint32, p *Sample) bool {
	if p.Ticket == 0 {
		return false
	}
	h := held{
		ticket:   p.Ticket,
		sequence: sequence,
		flows:    int32(min(max(p.Flows, 0), maxFlows)),
	}
	if p.Working > 0 {
		h.working = float32(min(p.Working, maxWorking))
	}
	i, found := slices.BinarySearchFunc(s.samples, p.Ticket, func(h held, t directory.Ticket) int {
		return cmp.Compare(h.ticket, t)
	})
	switch {
	case found && s.samples[i].sequence == sequence:
		return false
	case found:
		s.samples[i] = h
	case len(s.samples) >= maxSamples:
		return false
	default:
		s.samples = slices.Insert(s.samples, i, h)
	}
	return true
}

// Limits of the values of a sample, whatever the upstream.
const (
	maxFlows   = 1 << 20
	maxWorking = 1 << 16
)

// advance prepares the sender for the samples of a report. It returns false if the report is
// late.
func (s *sender) advance(r *Report) bool {
	switch {
	case r.Sequence == s.sequence:
		s.older = 0
		return true
	case r.Sequence > s.sequence && r.Partial:
		former := s.sequence
		s.samples = slices.DeleteFunc(s.samples, func(h held) bool { return h.sequence != former })
	case r.Sequence > s.sequence:
		s.samples = s.samples[:0]
	case s.sequence-r.Sequence > lateReports || s.older != 0 && r.Sequence > s.older:
		// The sender has restarted: late reports do not come in order without a newer one
		// in between.
		s.samples = s.samples[:0]
	default:
		s.older = r.Sequence
		return false
	}
	s.sequence, s.older = r.Sequence, 0
	return true
}

// addZone adds z to zones unless it is invalid, too old or older than what is known.
func addZone(now time.Time, zones map[zoneKey]ZoneTotal, z ZoneTotal) {
	if z.At.After(now) {
		z.At = now
	}
	if !(z.Working >= 0) || !(z.Capacity >= 0) || now.Sub(z.At) > zoneTotalLifetime {
		return
	}
	k := zoneKey{
		zone:    z.Zone,
		service: z.Service,
		group:   z.Group,
	}
	known, ok := zones[k]
	if ok && z.At.Before(known.At) {
		return
	}
	if !ok && len(zones) >= maxZoneTotals {
		maps.DeleteFunc(zones, func(_ zoneKey, z ZoneTotal) bool { return now.Sub(z.At) > zoneTotalLifetime })
		if len(zones) >= maxZoneTotals {
			return
		}
	}
	zones[k] = z
}

func compareZones(a, b ZoneTotal) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Group, b.Group))
}
