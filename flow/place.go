package flow

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/rendezvous"
)

const (
	// workingWeight is the load of a request in progress, in open flows that
	// are idle.
	workingWeight = 8
	// warmupShare is the part of a cold upstream's bound that its owner uses:
	// twice that, where two balancers take themselves for the owner, stays
	// within what cold upstreams are allowed.
	warmupShare = 0.7
	// maxBusyDivisor is the part of a zone's upstreams, one in so many, that are spared
	// for being behind with their work.
	maxBusyDivisor = 3
	// warmupBurst is the greatest number of flows that a cold upstream gets at
	// once.
	warmupBurst = 2
)

// place chooses the upstream of a new flow, other than not where another can.
func (f *Forwarder) place(now time.Time, v *directory.View, p *Packet, k key, excluded *directory.Upstream) Decision {
	r := v.Route(p.Service)
	if r == nil {
		return Decision{
			Action: Reject,
			Reason: ReasonNoRoute,
		}
	}
	service := selectService(r, k)
	hosts := v.Eligible(service)
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

// checkOpenings judges upstreams whose first packets are unanswered.
func (f *Forwarder) checkOpenings(now time.Time, hosts []*directory.Upstream) {
	for _, u := range hosts {
		h := f.healthOf(u)
		if h.checkOpenings(now) {
			f.recordStateChange(u, h, now.Sub(h.silentSince))
			f.abandon(u.Ticket())
		}
	}
}

// busyFilter returns which upstreams are busyFilter since they are behind with their work:
// none where too many are, as the others would get all new flows.
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

// preferences returns which upstreams may take a new flow, the most wanted
// first: those of the own zone, then others, then those that seem silent.
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

// admits reports whether a cold upstream may get one more flow from here now.
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

// best returns the least loaded accepted upstream, the one with the highest score
// for the flow among equals, or nil, and the number of those accepted.
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

// loadPerSlot returns an upstream's load for each of its slots.
func (f *Forwarder) loadPerSlot(u *directory.Upstream) float64 {
	l := f.healthOf(u).load
	return float64(l.Flows+workingWeight*l.ActiveRequests) / float64(max(u.Slots, 1))
}

// selectService returns the service of a new flow by the weights of its route.
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
