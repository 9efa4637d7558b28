package flow

import (
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/admission"
	"filbertworks.example/filbertworks/directory"
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

// loadOf returns the load of a service, or nil if too little is known of the load of the
// zone's upstreams.
func (f *Forwarder) loadOf(now time.Time, v *directory.View, service string) *serviceLoad {
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
