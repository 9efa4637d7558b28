package flow

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/admission"
	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
	"filbertworks.example/filbertworks/rendezvous"
	"filbertworks.example/filbertworks/selection"
	"filbertworks.example/filbertworks/spillover"
)

const (
	// loadRefreshInterval is how long a service's load is used without a new digest: what this
	// balancer sees itself changes meanwhile, and tells first of a burst.
	loadRefreshInterval = 50 * time.Millisecond
	// digestHorizon is the time whose new flows are spread by one digest: its age, and the time
	// until the next one.
	digestHorizon = 500 * time.Millisecond
	// coldCapacity is the capacity of a host that has just started relative to that of a warm
	// one.
	coldCapacity = 0.5
	// giveGain is how fast the flows that the own zone has no room for go to other zones, as the
	// share that the zone gives away rises.
	giveGain = 4
	// maxQueueFactor bounds how many requests in progress per slot are taken for in time: hosts
	// queue a few requests per slot and refuse further ones.
	maxQueueFactor = 4
	// maxWaitingPackets and maxWaitingBytes bound the first packets of one service that wait for
	// admission, and maxWaiting those of all services.
	maxWaiting        = 1024
	maxWaitingPackets = 256
	maxWaitingBytes   = 512 << 10
)

// serviceLoad is what the new flows of one service are placed by.
type serviceLoad struct {
	name string
	// view, digests and refreshedAt tell what the rest was worked out from, and when.
	view        *directory.View
	digests     uint64
	refreshedAt time.Time
	own         zoneHosts
	others      []zoneHosts
	// give is the share of new flows that go to other zones, and weights are the parts of
	// others of it.
	give    float64
	weights []float64
	// routes are the service's routes with a latency goal.
	routes []*directory.Route
	// routePriorities holds the priorities of routes by address.
	routePriorities map[netip.AddrPort]int
	// classes are the priorities of the service's recent new flows, the most urgent first.
	classes []priorityClass
	// damper damps the shares that follow the work at the own zone's hosts.
	damper admission.Damper
	queue  *admission.Queue[key]
	// placed counts the new flows since countedAt, and rate is their moving average per
	// second.
	placed    int
	countedAt time.Time
	rate      float64
}

// A priorityClass is the new flows of one priority.
type priorityClass struct {
	priority int
	// arrived counts recent new flows. work is the time that the hosts take for their first
	// requests, and openWork that for recent requests on open flows to hosts of the own zone,
	// in seconds, as far as the usual answer times are known. All halve each classHalfLife.
	arrived  float64
	work     float64
	openWork float64
	// own is the share of the new flows that go to the own zone, and others are those that go
	// to the other zones. The rest has no room.
	own    float64
	others []float64
}

// total returns the share of the new flows that there is room for.
func (c *priorityClass) total() float64 {
	sum := c.own
	for _, o := range c.others {
		sum += o
	}
	return sum
}

// zoneHosts are the hosts of a service in one zone that new flows may go to.
type zoneHosts struct {
	zone string
	load spillover.Zone
	// shares is how much of each priority's new flows the hosts have room for.
	shares admission.Shares
	// free is the capacity that is not in use at the hosts that have some. The load's Working
	// may exceed its Capacity meanwhile, as other hosts have more work than they take.
	free float64
	// limited is the number of requests in progress of the own zone's hosts, each counted up to
	// what it answers in time: a slow host's queue takes nothing from the others.
	limited float64
	// at is when the load was summed that the rest is worked out from; for the own zone that of
	// the oldest digest.
	at time.Time
	// limit is the number of requests in progress up to which the own zone's hosts answer in time.
	limit float64
	// told is the load as it was last told of, and given counts the flows that this balancer has
	// opened there since.
	told  load.ZoneTotal
	given int
	hosts []*directory.Upstream
	// perFlow is the mean number of requests in progress per open flow.
	perFlow float64
	table   selection.Table
	scratch []selection.Host
}

// serviceLoad returns the load of a service, or nil if too little is known of the load of the
// zone's upstreams.
func (f *Forwarder) serviceLoad(now time.Time, v *directory.View, service string) *serviceLoad {
	s := f.sharing
	if s == nil || !s.book.Fresh(now) {
		return nil
	}
	l := s.services[service]
	if l == nil {
		l = &serviceLoad{
			name: service,
			queue: admission.NewQueue[key](admission.Limits{
				MaxRequests: maxWaitingPackets,
				MaxBytes:    maxWaitingBytes,
			}),
		}
		l.queue.SetSeed(s.options.Seed)
		s.services[service] = l
	}
	l.refresh(now, v, f)
	if len(l.own.hosts) == 0 {
		return nil
	}
	return l
}

// refresh works out the load again if the view or the digests have changed, or some time has
// gone by.
func (l *serviceLoad) refresh(now time.Time, v *directory.View, f *Forwarder) {
	s := f.sharing
	if l.view == v && l.digests == s.digests && now.Sub(l.refreshedAt) < loadRefreshInterval {
		return
	}
	l.count(now)
	if l.view == nil || l.view.Plan != v.Plan {
		l.findRoutes(v.Plan)
	}
	l.view, l.digests, l.refreshedAt = v, s.digests, now
	l.splitByZone(v, f.zone)
	l.own.refreshOwn(now, f, l.rate, f.queueFactor(l))
	zones := make([]spillover.Zone, len(l.others))
	for i := range l.others {
		o := &l.others[i]
		o.refreshOther(now, f, l.name, l.own.perFlow)
		zones[i] = o.load
	}
	l.give, l.weights = 0, nil
	if s.options.Spill {
		l.give, l.weights = spillover.Share(l.own.load, zones)
	}
	l.assignShares(now, f)
	var shares admission.Shares
	for i := range l.classes {
		c := &l.classes[i]
		shares = shares.With(c.priority, c.total())
	}
	if s.options.Admit && s.book.Fresh(now) {
		l.queue.SetShares(now, shares)
	} else {
		l.queue.SetShares(now, admission.Shares{})
	}
}

// splitByZone sorts the hosts of the service by zone.
func (l *serviceLoad) splitByZone(v *directory.View, own string) {
	l.own.reset(own)
	for i := range l.others {
		l.others[i].reset(l.others[i].zone)
	}
	for _, u := range v.Eligible(l.name) {
		z := l.zone(u.Zone)
		z.hosts = append(z.hosts, u)
	}
	l.others = slices.DeleteFunc(l.others, func(z zoneHosts) bool { return len(z.hosts) == 0 })
}

// zone returns the hosts of a zone, which are created if there are none.
func (l *serviceLoad) zone(name string) *zoneHosts {
	if name == l.own.zone {
		return &l.own
	}
	for i := range l.others {
		if l.others[i].zone == name {
			return &l.others[i]
		}
	}
	l.others = append(l.others, zoneHosts{zone: name})
	return &l.others[len(l.others)-1]
}

// classHalfLife is the time in which the count of a priority's new flows halves.
const classHalfLife = time.Second

// minClassShare is the share of a service's new flows below which a priority is not taken for
// the service's most urgent one: a few flows of a rare route would make all others less urgent.
const minClassShare = 0.02

// count updates the rates of new flows.
func (l *serviceLoad) count(now time.Time) {
	elapsed := now.Sub(l.countedAt)
	if !l.countedAt.IsZero() && elapsed < loadRefreshInterval {
		return
	}
	if !l.countedAt.IsZero() {
		weight := min(elapsed.Seconds()/digestHorizon.Seconds(), 1)
		l.rate += weight * (float64(l.placed)/elapsed.Seconds() - l.rate)
		decay := math.Exp2(-elapsed.Seconds() / classHalfLife.Seconds())
		for i := range l.classes {
			c := &l.classes[i]
			c.arrived *= decay
			c.work *= decay
			c.openWork *= decay
		}
	}
	l.placed, l.countedAt = 0, now
}

// class returns the class of a priority, which is created if there is none.
func (l *serviceLoad) class(priority int) *priorityClass {
	i := l.classIndex(priority)
	if i < 0 {
		l.classes = append(l.classes, priorityClass{
			priority: priority,
			own:      1,
		})
		i = len(l.classes) - 1
	}
	return &l.classes[i]
}

// priorities returns the priorities that make up the service's recent new flows.
func (l *serviceLoad) priorities() []int {
	sum := 0.0
	for i := range l.classes {
		sum += l.classes[i].arrived
	}
	priorities := make([]int, 0, len(l.classes))
	for i := range l.classes {
		if c := &l.classes[i]; c.arrived >= minClassShare*sum {
			priorities = append(priorities, c.priority)
		}
	}
	return priorities
}

// assignShares works out which share of each priority's new flows goes to which zone. What the
// own zone has no room for goes to the others, as far as these have. While all hosts are cold or
// avoided, their capacity is unknown: cold hosts have their own limit.
func (l *serviceLoad) assignShares(now time.Time, f *Forwarder) {
	slices.SortFunc(l.classes, func(a, b priorityClass) int { return cmp.Compare(a.priority, b.priority) })
	// zoneRate turns a decaying count of this balancer into the zone's rate per second.
	zoneRate := float64(max(f.sharing.balancers, 1)) * math.Ln2 / classHalfLife.Seconds()
	slots := zoneRate * f.usualTime(l).Seconds()
	l.boundGive(slots)
	demands := make([]admission.Demand, 0, len(l.classes))
	for i := range l.classes {
		c := &l.classes[i]
		demands = append(demands, admission.Demand{
			Priority: c.priority,
			Open:     c.openWork * zoneRate,
			New:      (1 - l.give) * c.work * zoneRate,
		})
	}
	priorities := l.priorities()
	full := admission.SharesFor(l.own.limited, l.own.limit, priorities)
	l.own.shares = l.damper.Damp(now, full, priorities)
	if l.own.load.Working >= l.own.load.Capacity {
		// Rates are this balancer's, extrapolated: they count only while the hosts are busy. Usual
		// answer times include the clients' round trip, so that the hosts bear more than these add
		// up to.
		l.own.shares = l.own.shares.Min(admission.Fit(load.SpareFactor*l.own.load.Capacity, demands))
	}
	for i := range l.classes {
		c := &l.classes[i]
		l.assignClass(c, c.arrived*slots, f.sharing.options.Spill)
	}
}

// boundGive reduces the share of new flows that go to other zones to that which these have free
// slots for. The rest stays: taken from all priorities alike, it would be refused although the own
// zone has room for the urgent ones. The argument slots is the work of one flow.
func (l *serviceLoad) boundGive(slots float64) {
	if l.give == 0 {
		return
	}
	demand := 0.0
	for i := range l.classes {
		demand += l.classes[i].arrived * slots
	}
	bounded := 0.0
	for i := range l.others {
		part, free := l.give*l.weights[i], l.others[i].free
		switch {
		case free <= 0:
			part = 0
		case part*demand > free:
			part = free / demand
		}
		l.weights[i] = part
		bounded += part
	}
	l.give = bounded
	for i := range l.weights {
		if bounded > 0 {
			l.weights[i] /= bounded
		}
	}
}

// assignClass works out where the new flows of one priority go. The argument demand is the number
// of slots that the first requests of the zone's new flows take. Another zone gets no more of them
// than it has free slots for: it tells of its load a digest later. The most urgent priority is
// served first.
func (l *serviceLoad) assignClass(c *priorityClass, demand float64, spill bool) {
	own := l.own.shares.Of(c.priority)
	if part := (1 - l.give) * demand; part > 0 {
		own = max(own, min(l.own.free/part, 1))
		l.own.free = max(l.own.free-own*part, 0)
	}
	c.own = (1 - l.give) * own
	c.others = slices.Grow(c.others[:0], len(l.others))[:len(l.others)]
	clear(c.others)
	if !spill {
		return
	}
	refused := (1 - l.give) * (1 - own)
	// excess is 1 if the own zone is busier than the others by far, and 0 if it is not: zones
	// that are equally full would only exchange their flows.
	excess := min(giveGain*l.give, 1)
	room := 0.0
	for i := range l.others {
		room += l.others[i].free
	}
	for i := range l.others {
		z := &l.others[i]
		if l.give > 0 {
			c.others[i] = l.give * l.weights[i]
		}
		if room > 0 {
			c.others[i] += refused * excess * z.free / room
		}
		if c.others[i]*demand > z.free {
			c.others[i] = z.free / demand
		}
		z.free -= c.others[i] * demand
	}
}

// findRoutes finds the service's routes with a latency goal.
func (l *serviceLoad) findRoutes(plan *directory.Plan) {
	l.routes = l.routes[:0]
	l.routePriorities = make(map[netip.AddrPort]int)
	if plan == nil {
		return
	}
	for i := range plan.Routes {
		r := &plan.Routes[i]
		if r.LatencyGoal > 0 && slices.ContainsFunc(r.Targets, func(t directory.Target) bool { return t.Service == l.name }) {
			l.routes = append(l.routes, r)
			l.routePriorities[r.Address] = r.Priority
		}
	}
}

// usualTime returns the usual answer time of a service's routes, the longest one if they differ.
func (f *Forwarder) usualTime(l *serviceLoad) time.Duration {
	longest := time.Duration(0)
	for _, r := range l.routes {
		if usual, ok := f.sharing.learner.Usual(r.Address); ok {
			longest = max(longest, usual)
		}
	}
	if longest == 0 {
		return defaultAnswerTime
	}
	return longest
}

// queueFactor returns how many requests in progress per slot a service's hosts answer within the
// shortest latency goal of its routes: requests wait for half of the goal at most, as the times
// of single ones differ.
func (f *Forwarder) queueFactor(l *serviceLoad) float64 {
	factor := float64(maxQueueFactor)
	for _, r := range l.routes {
		if usual, ok := f.sharing.learner.Usual(r.Address); ok {
			factor = min(factor, r.LatencyGoal.Seconds()/2/usual.Seconds())
		}
	}
	return max(factor, 1)
}

func (z *zoneHosts) reset(zone string) {
	z.zone = zone
	z.hosts, z.scratch = z.hosts[:0], z.scratch[:0]
	z.load = spillover.Zone{}
}

// refreshOwn works out the load of the own zone's hosts, to which this balancer opens a number of
// flows a second.
func (z *zoneHosts) refreshOwn(now time.Time, f *Forwarder, rate, factor float64) {
	z.load.Known = true
	z.free, z.limited, z.at = 0, 0, now
	var flows, weighted float64
	var active, reported float64
	others := float64(max(f.sharing.balancers-1, 0))
	for _, u := range z.hosts {
		t := u.Ticket()
		e, h := f.sharing.book.Upstream(now, t), f.healthOfTicket(t)
		c := e.Capacity
		if c <= 0 {
			c = float64(max(u.Slots, 1))
		}
		if at := now.Add(-e.Age); e.Known && at.Before(z.at) {
			z.at = at
		}
		active += float64(h.load.ActiveRequests)
		reported += h.reported[1]
		working := e.Working + float64(h.load.ActiveRequests)
		hostFlows := e.Flows + float64(h.load.Flows)
		z.load.Working += min(working, maxQueueFactor*c)
		if u.Cold(now) {
			c *= coldCapacity
		}
		if !h.avoided(now) {
			z.load.Capacity += c
			z.free += max(load.SpareFactor*c-working, 0)
			z.limited += min(working, factor*c)
		}
		z.scratch = append(z.scratch, selection.Host{
			Load:     hostFlows + workingWeight*working,
			Capacity: c,
		})
		flows += hostFlows
		weighted += hostFlows + workingWeight*working
	}
	z.limit = z.load.Capacity * factor
	grown := others * growth(reported, active)
	f.sharing.grew = f.sharing.grew || grown > 0
	z.load.Working += grown
	z.limited += grown
	z.free = max(z.free-grown, 0)
	perFlow := 1.0
	z.perFlow = 0
	if flows > 0 {
		perFlow = max(weighted/flows, 1)
		z.perFlow = min(z.load.Working/flows, 1)
	}
	z.table.Reset(z.scratch, rate*(others+1)*digestHorizon.Seconds()*perFlow)
}

// growth returns by how much a number of requests has grown beyond chance since the report that
// the last digest is made from. Routers spread flows evenly, so that the other balancers see the
// same growth, before a digest tells of it.
func growth(reported, active float64) float64 {
	const deviations = 3
	return max(active-reported-deviations*math.Sqrt(reported+1), 0)
}

// refreshOther works out the load of another zone's hosts. Only the zone's sum is known, and what
// this balancer sees of each host.
func (z *zoneHosts) refreshOther(now time.Time, f *Forwarder, service string, perFlow float64) {
	told, known := f.sharing.book.Zone(now, z.zone, service)
	if !told.At.Equal(z.told.At) {
		z.given = 0
	}
	z.told = told
	// The other balancers of the own zone have given as many.
	given := float64(z.given*max(f.sharing.balancers, 1)) * perFlow
	z.free, z.at = max(told.Free-given, 0), told.At
	z.load = spillover.Zone{
		Working:  max(told.Capacity-z.free/load.SpareFactor, 0),
		Capacity: told.Capacity,
		Known:    known,
	}
	for _, u := range z.hosts {
		c := float64(max(u.Slots, 1))
		if i := slices.IndexFunc(told.Slow, func(h load.SlowHost) bool { return h.Ticket == u.Ticket() }); i >= 0 {
			c = told.Slow[i].Capacity
		}
		z.scratch = append(z.scratch, selection.Host{
			Load:     f.weightedLoad(u),
			Capacity: c,
		})
	}
	z.table.Reset(z.scratch, 0)
}

// weightedLoad returns the load of an upstream as this balancer sees it.
func (f *Forwarder) weightedLoad(u *directory.Upstream) float64 {
	l := f.healthOf(u).load
	return float64(l.Flows + workingWeight*l.ActiveRequests)
}

// placeShared chooses the upstream of a new flow by the load that the zone's balancers share. It
// returns false if too little is known, or if no upstream that was drawn may take the flow.
func (f *Forwarder) placeShared(now time.Time, v *directory.View, p *Packet, k key, r *directory.Route, service string, excluded *directory.Upstream) (Decision, bool) {
	if r.LatencyGoal == 0 {
		return Decision{}, false
	}
	l := f.serviceLoad(now, v, service)
	if l == nil {
		return Decision{}, false
	}
	hash := rendezvous.Mix(k.hash() + 1)
	z, reason := l.chooseZone(hash, r.Priority)
	u := f.pick(now, v, p, z, hash, excluded)
	if u == nil && z != &l.own {
		z, reason = &l.own, ReasonPlaced
		u = f.pick(now, v, p, z, hash, excluded)
	}
	if u == nil {
		return Decision{}, false
	}
	l.placed++
	z.given++
	h := f.healthOf(u)
	if u.Cold(now) {
		h.tokens--
	}
	var room Room
	if reason == ReasonSpilled {
		room = l.roomFor(now, r.Priority)
		room.Share = l.shareOf(r.Priority, z)
	}
	return Decision{
		Action:     Forward,
		Reason:     reason,
		Room:       room,
		Upstream:   u,
		Ticket:     u.Ticket(),
		Service:    service,
		Candidates: len(z.hosts),
		Load:       h.load,
		ZoneLoad:   f.workingAt(now, u.Ticket(), h),
	}, true
}

// chooseZone returns the zone of a new flow with a hash, and the reason for the choice.
func (l *serviceLoad) chooseZone(hash uint64, priority int) (*zoneHosts, Reason) {
	i := l.classIndex(priority)
	if i < 0 || len(l.classes[i].others) != len(l.others) {
		return &l.own, ReasonPlaced
	}
	c := &l.classes[i]
	at := float64(rendezvous.Mix(hash^spillSalt)>>11) / (1 << 53) * c.total()
	for i := range c.others {
		if at < c.others[i] {
			return &l.others[i], ReasonSpilled
		}
		at -= c.others[i]
	}
	return &l.own, ReasonPlaced
}

// spillSalt keeps the choice of the zone independent of that of the host.
const spillSalt = 0x9e3779b97f4a7c15

// pick chooses an upstream of a zone for a new flow, or nil.
func (f *Forwarder) pick(now time.Time, v *directory.View, p *Packet, z *zoneHosts, hash uint64, excluded *directory.Upstream) *directory.Upstream {
	tried := f.attempts.tickets(p)
	accept := func(i int) bool {
		u := z.hosts[i]
		return u != excluded && !slices.Contains(tried, u.Ticket()) && !f.healthOf(u).avoided(now) && f.admits(now, v, u)
	}
	current := func(i int) float64 {
		u := z.hosts[i]
		e := f.sharing.book.Upstream(now, u.Ticket())
		return e.Flows + workingWeight*e.Working + f.weightedLoad(u)
	}
	i := z.table.Pick(hash, accept, current)
	if i < 0 {
		return nil
	}
	return z.hosts[i]
}
