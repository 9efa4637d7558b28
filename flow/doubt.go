package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

const (
	// probeInterval is the shortest time between two probes of an upstream by one
	// balancer.
	probeInterval = 500 * time.Millisecond
	// requestDoubt is how long a request may be unanswered, with no progress on
	// any flow of its upstream, before that is probed: most take less.
	requestDoubt = 300 * time.Millisecond
	// requestSpacing is the shortest time between two probes for requests: when
	// all upstreams are slow, few are probed.
	requestSpacing = 100 * time.Millisecond
)

// expectation is a packet to an upstream of the own zone that should be answered
// by a time.
type expectation struct {
	state *state
	at    time.Time
	due   time.Time
}

// expect waits for the answer to a first packet, or to a request.
func (f *Forwarder) expect(now time.Time, s *state) {
	if s.upstream.Zone != f.zone || now.Before(f.distrust) {
		return
	}
	e := expectation{
		state: s,
		at:    now,
	}
	if s.opening {
		e.due = now.Add(refuseAfter)
		f.openings = append(f.openings, e)
		return
	}
	e.due = now.Add(requestDoubt)
	f.requests = append(f.requests, e)
}

// UpstreamsToProbe returns the upstreams to probe since the last call: they left a packet
// unanswered. One whose address refuses connections has crashed.
func (f *Forwarder) UpstreamsToProbe() []*directory.Upstream {
	d := f.doubts
	f.doubts = nil
	return d
}

// NextTimer returns when Advance has something to do; zero for never.
func (f *Forwarder) NextTimer() time.Time {
	var next time.Time
	for _, waiting := range [][]expectation{f.openings, f.requests} {
		if len(waiting) > 0 && (next.IsZero() || waiting[0].due.Before(next)) {
			next = waiting[0].due
		}
	}
	return next
}

// doubt looks at the packets that should have been answered by now.
func (f *Forwarder) doubt(now time.Time) {
	for len(f.openings) > 0 && !now.Before(f.openings[0].due) {
		f.doubtOne(now, &f.openings[0])
		f.openings = f.openings[1:]
	}
	for len(f.requests) > 0 && !now.Before(f.requests[0].due) {
		f.doubtRequest(now, &f.requests[0])
		f.requests = f.requests[1:]
	}
}

// doubtRequest reports a request that is late, and has its upstream probed.
func (f *Forwarder) doubtRequest(now time.Time, e *expectation) {
	if e.state.closed || !e.state.sent.Equal(e.at) {
		return
	}
	if e.state.copies == 0 {
		// The host has acknowledged it: the client repeats what is lost.
		f.reports = append(f.reports, Report{
			Ticket:       e.state.upstream.Ticket(),
			LateRequests: 1,
		})
	}
	if now.Sub(f.spaced) >= requestSpacing && f.doubtOne(now, e) {
		f.spaced = now
	}
}

// doubtOne has the upstream of a packet probed, unless it has shown progress since
// or has just been probed, and reports that.
func (f *Forwarder) doubtOne(now time.Time, e *expectation) bool {
	h := f.healthOf(e.state.upstream)
	unanswered := !e.state.opening || h.openings > 0
	if e.state.closed || !unanswered || h.progressed.After(e.at) || now.Sub(h.probed) < probeInterval {
		return false
	}
	h.probed = now
	f.doubts = append(f.doubts, e.state.upstream)
	return true
}
