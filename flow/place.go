package flow

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/rendezvous"
)

const (
	// workingWeight is the load of a request in progress relative to that of an idle
	// open flow.
	workingWeight = 8
	// warmupShare is the fraction of a cold upstream's rate limit that its owner uses.
	// Twice that, when two balancers both consider themselves the owner, stays within
	// what cold upstreams are allowed.
	warmupShare = 0.7
	// maxBusyDivisor bounds the overloaded upstreams that new flows avoid to one in
	// this many of the zone's upstreams.
	maxBusyDivisor = 3
	// warmupBurst is the maximum number of flows that a cold upstream gets at once.
	warmupBurst = 2
)

// place chooses the upstream of a new flow. It avoids excluded, which may be nil, if
// another upstream can take the flow.
func (f *Forwarder) place(now time.Time, v *directory.View, p *Packet, k key, excluded *directory.Upstream) Decision {
	if p.Delayed {
		// A second host that answers would end the flow that the client may have opened
		// by another balancer meanwhile.
		return Decision{Reason: ReasonDelayed}
	}
	r := v.Route(p.Service)
	if r == nil {
		return Decision{
			Action: Reject,
			Reason: ReasonNoRoute,
		}
	}
	service := selectService(r, k)
	if d, ok := f.placeShared(now, v, p, k, r, service, excluded); ok {
		return d
	}
	hosts := v.Eligible(service)
	if len(hosts) == 0 {
		hosts = v.Fallback(service)
	}
	f.checkOpenings(now, hosts)
	d := Decision{
		Action:  Reject,
		Reason:  ReasonNoUpstream,
		Service: service,
	}
	for _, accepts := range f.preferences(now, v, p, excluded, f.busyFilter(now, hosts)) {
		u, n := f.best(hosts, k, accepts)
		if u == nil {
			continue
		}
		h := f.healthOf(u)
		if u.Cold(now) {
			h.tokens--
		}
		d.Action, d.Reason = Forward, ReasonPlaced
		d.Upstream, d.Ticket = u, u.Ticket()
		d.Candidates, d.Load = n, h.load
		return d
	}
	return d
}

// checkOpenings detects dead hosts by their unanswered first packets, and resets the
// open flows of those unless that is left to the zone. It can't be asked about first
// packets: the clients may have left.
func (f *Forwarder) checkOpenings(now time.Time, hosts []*directory.Upstream) {
	if f.asksZone {
		return
	}
	for _, u := range hosts {
		h := f.healthOf(u)
		if h.checkOpenings(now, f.lastAnswered) {
			f.recordStateChange(u, h, h.opening.duration(now))
			f.abandon(now, u.Ticket(), 0)
		}
	}
}

// busyFilter returns a predicate for the upstreams that new flows avoid because they
// are overloaded. It matches none if too many of the own zone are, since the others
// would get all new flows.
func (f *Forwarder) busyFilter(now time.Time, hosts []*directory.Upstream) func(*directory.Upstream) bool {
	own, busy := 0, 0
	for _, u := range hosts {
		if u.Zone != f.zone {
			continue
		}
		own++
		if now.Before(f.healthOf(u).busyUntil) {
			busy++
		}
	}
	if busy > own/maxBusyDivisor {
		return func(*directory.Upstream) bool { return false }
	}
	return func(u *directory.Upstream) bool { return now.Before(f.healthOf(u).busyUntil) }
}

// preferences returns predicates for the upstreams that may take a new flow, in order
// of preference: those of the own zone, those of any zone, then also those that are
// avoided, overloaded or were tried by the client, and at last also excluded.
func (f *Forwarder) preferences(now time.Time, v *directory.View, p *Packet, excluded *directory.Upstream, busy func(*directory.Upstream) bool) []func(*directory.Upstream) bool {
	tried := f.attempts.tickets(p)
	eligible := func(u *directory.Upstream) bool {
		return u != excluded && !slices.Contains(tried, u.Ticket()) && !f.healthOf(u).avoided(now) && !busy(u) && f.admits(now, v, u)
	}
	return []func(*directory.Upstream) bool{
		func(u *directory.Upstream) bool { return u.Zone == f.zone && eligible(u) },
		eligible,
		func(u *directory.Upstream) bool { return u != excluded && f.admits(now, v, u) },
		func(u *directory.Upstream) bool { return f.admits(now, v, u) },
	}
}

// admits reports whether u may get one more flow from this balancer now. Cold
// upstreams get flows from their owner only, limited by a token bucket.
func (f *Forwarder) admits(now time.Time, v *directory.View, u *directory.Upstream) bool {
	limits := v.Limits(u.Service)
	if !u.Cold(now) || limits == nil || limits.WarmupPerSecond <= 0 {
		return true
	}
	if !f.owners.Owns(u) {
		return false
	}
	h := f.healthOf(u)
	if h.filledAt.IsZero() {
		h.filledAt = now
		h.tokens = 1
	}
	rate := limits.WarmupPerSecond * warmupShare
	h.tokens = min(h.tokens+rate*now.Sub(h.filledAt).Seconds(), warmupBurst)
	h.filledAt = now
	return h.tokens >= 1
}

// best returns the least loaded accepted upstream, or nil, and the number of accepted
// upstreams. Ties go to the upstream with the highest rendezvous score for the flow.
func (f *Forwarder) best(hosts []*directory.Upstream, k key, accepts func(*directory.Upstream) bool) (*directory.Upstream, int) {
	var best *directory.Upstream
	var least float64
	var highest uint64
	accepted := 0
	hash := k.hash()
	for _, u := range hosts {
		if !accepts(u) {
			continue
		}
		accepted++
		load, score := f.loadPerSlot(u), rendezvous.Score(hash, uint64(u.Ticket()))
		if best == nil || load < least || load == least && score > highest {
			best, least, highest = u, load, score
		}
	}
	return best, accepted
}

// loadPerSlot returns an upstream's load divided by its slots.
func (f *Forwarder) loadPerSlot(u *directory.Upstream) float64 {
	l := f.healthOf(u).load
	return float64(l.Flows+workingWeight*l.ActiveRequests) / float64(max(u.Slots, 1))
}

// selectService returns the service of a new flow. It chooses among the route's targets
// by weight, and always chooses the same target for the same flow.
func selectService(r *directory.Route, k key) string {
	total := 0
	for i := range r.Targets {
		total += r.Targets[i].Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	at := int(rendezvous.Mix(k.hash()) % uint64(total))
	for i := range r.Targets {
		at -= r.Targets[i].Weight
		if at < 0 {
			return r.Targets[i].Service
		}
	}
	return r.Targets[0].Service
}
