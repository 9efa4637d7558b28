package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

const (
	// ProbeTimeout is how long a probe waits for the answer: many round trips between
	// zones. A probe whose first packet is lost has none.
	ProbeTimeout = 150 * time.Millisecond
	// unreachedLifetime is how long a probe without an answer counts.
	unreachedLifetime = 2 * time.Second
	// probeInterval is the minimum time between two probes of an upstream by one
	// balancer.
	probeInterval = 500 * time.Millisecond
	// lateRequestAfter is how long a request may be unanswered before it is late. Its
	// upstream is probed then unless any of its flows made progress. Most requests
	// take less.
	lateRequestAfter = 300 * time.Millisecond
	// requestProbeInterval is the minimum time between two probes for late requests of
	// any upstreams. It bounds the probes while all upstreams are slow.
	requestProbeInterval = 100 * time.Millisecond
)

// pendingAnswer is a packet to an upstream of the own zone whose answer is due at a
// deadline.
type pendingAnswer struct {
	flow     *flowState
	sentAt   time.Time
	deadline time.Time
}

// awaitAnswer sets the deadline for the answer to a flow's first packet or request.
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

// UpstreamsToProbe returns the upstreams to probe since the last call, which left a packet
// unanswered. An upstream whose address refuses connections has crashed.
func (f *Forwarder) UpstreamsToProbe() []*directory.Upstream {
	d := f.toProbe
	f.toProbe = nil
	return d
}

// NextTimer returns the next deadline of a pending answer, a held packet or a verification, at
// which Advance is to be called; zero if there is none.
func (f *Forwarder) NextTimer() time.Time {
	var next time.Time
	for _, waiting := range [][]pendingAnswer{f.pendingOpenings, f.lateOpenings, f.pendingRequests} {
		if len(waiting) > 0 && (next.IsZero() || waiting[0].deadline.Before(next)) {
			next = waiting[0].deadline
		}
	}
	if w := f.openings.waiting; len(w) > 0 && (next.IsZero() || w[0].deadline.Before(next)) {
		next = w[0].deadline
	}
	for _, at := range []time.Time{f.sharing.nextAdmission(), f.nextVerification()} {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// checkPending checks the packets whose answers were due by now.
func (f *Forwarder) checkPending(now time.Time) {
	for len(f.pendingOpenings) > 0 && !now.Before(f.pendingOpenings[0].deadline) {
		p := f.pendingOpenings[0]
		f.pendingOpenings = f.pendingOpenings[1:]
		f.checkLateOpening(now, &p)
		if p.flow.opening && !p.flow.closed {
			p.deadline = p.sentAt.Add(probeInterval)
			f.lateOpenings = append(f.lateOpenings, p)
		}
	}
	for len(f.lateOpenings) > 0 && !now.Before(f.lateOpenings[0].deadline) {
		f.checkLateOpening(now, &f.lateOpenings[0])
		f.lateOpenings = f.lateOpenings[1:]
	}
	for len(f.pendingRequests) > 0 && !now.Before(f.pendingRequests[0].deadline) {
		f.checkRequest(now, &f.pendingRequests[0])
		f.pendingRequests = f.pendingRequests[1:]
	}
}

// checkLateOpening requests a probe of an upstream that has left a first packet unanswered and
// has shown no life since. It is called again after probeInterval, as the upstream may have
// been probed just before the packet: the result is known when the client sends the second
// copy, which goes to another upstream without it.
func (f *Forwarder) checkLateOpening(now time.Time, e *pendingAnswer) {
	h := f.healthOf(e.flow.upstream)
	if e.flow.opening && !e.flow.closed && !h.livedAfter(e.sentAt) {
		f.probe(now, e.flow.upstream, h)
	}
}

// checkRequest reports a request that is still unanswered as late, and requests a
// probe of its upstream.
func (f *Forwarder) checkRequest(now time.Time, e *pendingAnswer) {
	if e.flow.closed || !e.flow.unansweredSince.Equal(e.sentAt) {
		return
	}
	if e.flow.retransmissions == 0 && !e.flow.seenAt.Before(f.verifications.movedAt) {
		// The host has acknowledged the request, since the client has not
		// retransmitted it, nor sent its acknowledgment of the answer to another balancer.
		f.reports = append(f.reports, Report{
			Ticket:       e.flow.upstream.Ticket(),
			LateRequests: 1,
		})
	}
	if now.Sub(f.requestProbedAt) >= requestProbeInterval && f.requestProbe(now, e) {
		f.requestProbedAt = now
	}
}

// requestProbe requests a probe of a request's upstream, unless the upstream has shown
// progress since the request was sent or has just been probed. It reports whether it
// did.
func (f *Forwarder) requestProbe(now time.Time, e *pendingAnswer) bool {
	h := f.healthOf(e.flow.upstream)
	if e.flow.closed || h.lastProgress.After(e.sentAt) {
		return false
	}
	return f.probe(now, e.flow.upstream, h)
}

// probe requests a probe of an upstream, unless it has just been probed, and reports whether
// it did.
func (f *Forwarder) probe(now time.Time, u *directory.Upstream, h *health) bool {
	if now.Sub(h.probedAt) < probeInterval {
		return false
	}
	h.probedAt = now
	f.toProbe = append(f.toProbe, u)
	return true
}
