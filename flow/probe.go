package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

const (
	// probeInterval is the shortest time between two probes of an upstream by one
	// balancer.
	probeInterval = 500 * time.Millisecond
	// lateRequestAfter is how long a request may be unanswered, with no progress on
	// any flow of its upstream, before that is probed: most take less.
	lateRequestAfter = 300 * time.Millisecond
	// requestProbeInterval is the shortest time between two probes for requests: when
	// all upstreams are slow, few are probed.
	requestProbeInterval = 100 * time.Millisecond
)

// pendingAnswer is a packet to an upstream of the own zone that should be answered
// by a time.
type pendingAnswer struct {
	flow     *flowState
	sentAt   time.Time
	deadline time.Time
}

// awaitAnswer waits for the answer to a first packet, or to a request.
func (f *Forwarder) awaitAnswer(now time.Time, s *flowState) {
	if s.upstream.Zone != f.zone || now.Before(f.ignoreUntil) {
		return
	}
	p := pendingAnswer{
		flow:   s,
		sentAt: now,
	}
	if s.opening {
		p.deadline = now.Add(lateOpeningAfter)
		f.pendingOpenings = append(f.pendingOpenings, p)
		return
	}
	p.deadline = now.Add(lateRequestAfter)
	f.pendingRequests = append(f.pendingRequests, p)
}

// UpstreamsToProbe returns the upstreams to probe since the last call: they left a packet
// unanswered. One whose address refuses connections has crashed.
func (f *Forwarder) UpstreamsToProbe() []*directory.Upstream {
	d := f.toProbe
	f.toProbe = nil
	return d
}

// NextTimer returns when Advance has something to do; zero for never.
func (f *Forwarder) NextTimer() time.Time {
	var next time.Time
	for _, waiting := range [][]pendingAnswer{f.pendingOpenings, f.pendingRequests} {
		if len(waiting) > 0 && (next.IsZero() || waiting[0].deadline.Before(next)) {
			next = waiting[0].deadline
		}
	}
	return next
}

// checkPending looks at the packets that should have been answered by now.
func (f *Forwarder) checkPending(now time.Time) {
	for len(f.pendingOpenings) > 0 && !now.Before(f.pendingOpenings[0].deadline) {
		f.requestProbe(now, &f.pendingOpenings[0])
		f.pendingOpenings = f.pendingOpenings[1:]
	}
	for len(f.pendingRequests) > 0 && !now.Before(f.pendingRequests[0].deadline) {
		f.checkRequest(now, &f.pendingRequests[0])
		f.pendingRequests = f.pendingRequests[1:]
	}
}

// checkRequest reports a request that is late, and has its upstream probed.
func (f *Forwarder) checkRequest(now time.Time, e *pendingAnswer) {
	if e.flow.closed || !e.flow.unansweredSince.Equal(e.sentAt) {
		return
	}
	if e.flow.retransmissions == 0 {
		// The host has acknowledged it: the client repeats what is lost.
		f.reports = append(f.reports, Report{
			Ticket:       e.flow.upstream.Ticket(),
			LateRequests: 1,
		})
	}
	if now.Sub(f.requestProbedAt) >= requestProbeInterval && f.requestProbe(now, e) {
		f.requestProbedAt = now
	}
}

// requestProbe has the upstream of a packet probed, unless it has shown progress since
// or has just been probed, and reports that.
func (f *Forwarder) requestProbe(now time.Time, e *pendingAnswer) bool {
	h := f.healthOf(e.flow.upstream)
	unanswered := !e.flow.opening || h.openings > 0
	if e.flow.closed || !unanswered || h.lastProgress.After(e.sentAt) || now.Sub(h.probedAt) < probeInterval {
		return false
	}
	h.probedAt = now
	f.toProbe = append(f.toProbe, e.flow.upstream)
	return true
}
