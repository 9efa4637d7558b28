package load

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
)

// senderRetention is how long a silent sender's sequence is kept, so that a late report does
// not count as the first one of a new sender.
const senderRetention = 5 * time.Second

// hostRetention is how long an upstream counts as one of the collector's groups after the last
// digest of its group: the collector of a group may change for a short time.
const hostRetention = 10 * time.Second

// Limits of what one sender may claim for one upstream, as multiples of its slots. Routers
// spread flows evenly, so that no balancer of many holds half of a host's work.
const (
	// fewSenders is the number of senders below which one may hold nearly all of the work.
	fewSenders         = 4
	fewSendersWorking  = 8
	manySendersWorking = 0.5
	// A sender of many may hold senderFlows flows for each slot, and senderFlowsMean times
	// the mean of the others.
	senderFlows     = 4
	senderFlowsMean = 4
)

// idleWorking is the work below which an upstream counts as idle: half of the unit in
// messages.
const idleWorking = 1. / 32

// An estimator tells how much work upstreams handle; capacity.Estimator is one.
type estimator interface {
	Add(now time.Time, sender uint64, t directory.Ticket, o capacity.Observation)
	Estimate(now time.Time, hosts []*directory.Upstream) []capacity.Estimate
}

// A Collector sums the reports of balancers to digests. Its state is lost with the process. It
// is not safe for concurrent use.
type Collector struct {
	origin   uint64
	sequence uint32
	// senders are ordered by ID, so that sums do not depend on the order of reports.
	senders   []*sender
	zones     zoneTotals
	estimator estimator
	// hosts holds when an upstream was last one of a group's hosts, for those of the last
	// digests. Answers of other upstreams are ignored.
	hosts map[directory.Ticket]time.Time
	// startedAt is when the first report came after the start or a pause; zero before.
	startedAt time.Time
	// members is the number of members of the zone as last told.
	members int
	// order and sums are used by sum, which reuses their memory.
	order []ranked
	sums  []hostSum
	// flows are the sums of flows without limits on single senders.
	flows []int
	// estimates are those of estimatedAt and of estimatedHosts hosts. They take longer than the
	// sums, and a digest and the zone totals need them at one time.
	estimates      []capacity.Estimate
	estimatedAt    time.Time
	estimatedHosts int
}

// A ranked is a host's place in an order by ticket.
type ranked struct {
	ticket directory.Ticket
	index  int
}

// A hostSum is the load of one upstream.
type hostSum struct {
	flows   int
	working float64
}

// NewCollector returns a collector without reports. The origin is the incarnation of the
// process.
func NewCollector(origin uint64) *Collector {
	return &Collector{
		origin:    origin,
		estimator: capacity.NewEstimator(),
		hosts:     make(map[directory.Ticket]time.Time),
	}
}

// Successor returns a collector without reports whose digests follow those of c. A book ignores
// digests of an origin whose sequence starts over.
func (c *Collector) Successor() *Collector {
	s := NewCollector(c.origin)
	s.sequence = c.sequence
	return s
}

// estimate returns the capacities of the hosts.
func (c *Collector) estimate(now time.Time, hosts []*directory.Upstream) []capacity.Estimate {
	if !c.estimatedAt.Equal(now) || c.estimatedHosts != len(hosts) {
		c.estimates = c.estimator.Estimate(now, hosts)
		c.estimatedAt, c.estimatedHosts = now, len(hosts)
	}
	return c.estimates
}

// AddReport adds a balancer's report, or a part of one. Late and repeated reports are ignored.
func (c *Collector) AddReport(now time.Time, r *Report) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	s := c.sender(now, r.Sender)
	if s == nil || !s.advance(now, r) {
		return
	}
	for i := range r.Samples {
		p := &r.Samples[i]
		if s.add(p) && p.Answers != (capacity.Observation{}) && c.serves(p.Ticket) {
			c.estimator.Add(now, r.Sender, p.Ticket, p.Answers)
		}
	}
}

// AddZone adds the load of a service's hosts in a group of a zone, to be part of digests for
// 1 s. Older ones than that known are ignored.
func (c *Collector) AddZone(now time.Time, z ZoneTotal) {
	c.zones.add(now, z)
}

// Digest returns the digest of a group of the collector's zone; hosts are the hosts of the
// group, and members is the number of balancers of the zone. It returns false in the first
// period after the first report since the start or a pause, and if fewer than half of the
// members have reported.
func (c *Collector) Digest(now time.Time, group, groups int, hosts []*directory.Upstream, members int) (Digest, bool) {
	c.members = members
	c.serve(now, hosts)
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
	estimates := c.estimate(now, hosts)
	for _, o := range c.order {
		i := o.index
		t := Total{
			Ticket:  o.ticket,
			Flows:   c.sums[i].flows,
			Working: c.sums[i].working,
		}
		if n := len(d.Totals); n > 0 && d.Totals[n-1].Ticket == t.Ticket {
			continue
		}
		if e := estimates[i]; e.Known && e.Capacity < float64(hosts[i].Slots) {
			t.Capacity, t.Answers = e.Capacity, e.Answers
		}
		if t.Flows > 0 || t.Working >= idleWorking || t.Capacity > 0 {
			d.Totals = append(d.Totals, t)
		}
	}
	c.zones.prune(now)
	d.Zones = slices.Clone(c.zones)
	return d, true
}

// Own returns the load of the hosts of a group by service, for other zones; nil when there
// would be no digest. Hosts that get no new flows are left out, and cold hosts have no room.
func (c *Collector) Own(now time.Time, zone string, group int, hosts []*directory.Upstream) []ZoneTotal {
	if _, ok := c.ready(now); !ok || c.members == 0 {
		return nil
	}
	c.sum(now, hosts)
	estimates := c.estimate(now, hosts)
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
		} else {
			totals[n].Free += max(SpareFactor*room-c.sums[i].working, 0)
			totals[n].addSlow(h, &estimates[i])
		}
		totals[n].Working += c.sums[i].working
		totals[n].Capacity += room
	}
	slices.SortFunc(totals, compareZoneTotals)
	return totals
}

// Reset discards all reports after a pause of the process: they are older than they look.
func (c *Collector) Reset(now time.Time) {
	c.senders, c.zones = nil, nil
	c.startedAt = now
}

// each calls add for each sample of a sender that is of one of the hosts of c.order, with the
// host's index.
func (c *Collector) each(s *sender, add func(i int, h *held)) {
	next := 0
	for _, o := range c.order {
		for next < len(s.samples) && s.samples[next].ticket < o.ticket {
			next++
		}
		if next < len(s.samples) && s.samples[next].ticket == o.ticket {
			add(o.index, &s.samples[next])
			next++
		}
	}
}

// prune removes senders that have been silent for long.
func (c *Collector) prune(now time.Time) {
	c.senders = slices.DeleteFunc(c.senders, func(s *sender) bool { return now.Sub(s.at) > senderRetention })
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
	return n, n > 0 && 2*n >= c.members && now.Sub(c.startedAt) >= period
}

// sender returns what is kept of a balancer, or nil if there are too many balancers.
func (c *Collector) sender(now time.Time, id uint64) *sender {
	find := func() (int, bool) {
		return slices.BinarySearchFunc(c.senders, id, func(s *sender, id uint64) int { return cmp.Compare(s.id, id) })
	}
	i, found := find()
	if found {
		return c.senders[i]
	}
	if len(c.senders) >= maxSenders {
		c.prune(now)
		i, _ = find()
	}
	if len(c.senders) >= maxSenders {
		return nil
	}
	s := &sender{id: id}
	c.senders = slices.Insert(c.senders, i, s)
	return s
}

// serve records the hosts of a group.
func (c *Collector) serve(now time.Time, hosts []*directory.Upstream) {
	for _, h := range hosts {
		c.hosts[h.Ticket()] = now
	}
	maps.DeleteFunc(c.hosts, func(_ directory.Ticket, at time.Time) bool { return now.Sub(at) > hostRetention })
}

// serves reports whether an upstream is one of the collector's groups, as far as they are
// known: all are until the first digest is asked for.
func (c *Collector) serves(t directory.Ticket) bool {
	_, ok := c.hosts[t]
	return ok || len(c.hosts) == 0
}

// sum sets c.order to the hosts by ticket, and c.sums to the load of each host. Of
// hosts with the same ticket, the first one in c.order has the load of all of them.
func (c *Collector) sum(now time.Time, hosts []*directory.Upstream) {
	c.order = c.order[:0]
	c.sums = slices.Grow(c.sums[:0], len(hosts))[:len(hosts)]
	c.flows = slices.Grow(c.flows[:0], len(hosts))[:len(hosts)]
	clear(c.sums)
	clear(c.flows)
	for i, h := range hosts {
		c.order = append(c.order, ranked{
			ticket: h.Ticket(),
			index:  i,
		})
	}
	slices.SortFunc(c.order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.ticket, b.ticket), cmp.Compare(a.index, b.index))
	})
	senders := 0
	for _, s := range c.senders {
		if now.Before(s.expires) {
			senders++
			c.each(s, func(i int, h *held) { c.flows[i] += int(h.flows) })
		}
	}
	for _, s := range c.senders {
		if !now.Before(s.expires) {
			continue
		}
		c.each(s, func(i int, h *held) {
			slots := float64(max(hosts[i].Slots, 1))
			w, f := float64(h.working), int(h.flows)
			if senders < fewSenders {
				w = min(w, slots*fewSendersWorking)
			} else {
				w = min(w, max(1, slots*manySendersWorking))
				others := float64(c.flows[i]-f) / float64(senders-1)
				f = min(f, int(senderFlows*slots+senderFlowsMean*others))
			}
			c.sums[i].working += w
			c.sums[i].flows += f
		})
	}
}
