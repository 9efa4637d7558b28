package flow

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

// pendingDeath is a shared belief that waits for refutations.
type pendingDeath struct {
	ticket   directory.Ticket
	deadline time.Time
}

// MarkAlive takes the refutation of a balancer that has heard of an upstream since
// its death was announced. Repeats that came later stay evidence of silence.
func (f *Forwarder) MarkAlive(now time.Time, r Refutation) {
	f.pendingDeaths = slices.DeleteFunc(f.pendingDeaths, func(d pendingDeath) bool { return d.ticket == r.Ticket })
	h := f.health[r.Ticket]
	if h == nil {
		return
	}
	at := now.Add(-r.Age)
	if h.state == Dead || h.silentFlows == 0 || !h.lastRetransmission.After(at) {
		h.clearEvidence()
		return
	}
	h.lastProgressElsewhere = at
	if h.silentSince.Before(at) {
		h.silentSince = at
	}
	if h.state == Answering {
		h.avoidUntil = time.Time{}
	}
}

// MarkBusy takes the belief of other balancers that an upstream is behind with its
// work: new flows avoid it for a while.
func (f *Forwarder) MarkBusy(now time.Time, t directory.Ticket) {
	h := f.health[t]
	if h == nil {
		h = &health{}
		f.health[t] = h
	}
	h.busyUntil = now.Add(busyDuration)
}

// MarkDead takes the belief of other balancers that an upstream has been silent
// for a time. Where this balancer has seen progress meanwhile, it refutes that;
// otherwise new flows avoid the upstream, and its open flows are reset unless
// another balancer refutes it in time.
func (f *Forwarder) MarkDead(now time.Time, t directory.Ticket, silence time.Duration) (r Refutation, refuted bool) {
	h := f.health[t]
	if h == nil {
		h = &health{}
		f.health[t] = h
	}
	if age := now.Sub(h.lastProgress); !h.lastProgress.IsZero() && age < silence {
		return Refutation{
			Ticket: t,
			Age:    age,
		}, true
	}
	h.backOff(now)
	f.pendingDeaths = append(f.pendingDeaths, pendingDeath{
		ticket:   t,
		deadline: now.Add(RefutationTimeout),
	})
	return Refutation{}, false
}

// Reports returns what is new on silent upstreams since the last call.
func (f *Forwarder) Reports() []Report {
	r := f.reports
	f.reports = nil
	return r
}

// HandleResume takes that the process has not run for a while until now. What was
// unanswered meanwhile counts against no upstream, nor does what waited to be
// read: its clients may have left.
func (f *Forwarder) HandleResume(now time.Time) {
	f.ignoreUntil = now.Add(resumeGracePeriod)
	f.pendingDeaths = nil
	f.pendingOpenings, f.pendingRequests = nil, nil
	for _, h := range f.health {
		h.clearEvidence()
	}
}

// resumeGracePeriod is how long after a pause packets are no evidence: a client gives a
// first packet up after 1.4 s, and what waited is read within that.
const resumeGracePeriod = 1500 * time.Millisecond

// applyDeaths resets the flows of upstreams whose death nobody refuted.
func (f *Forwarder) applyDeaths(now time.Time, v *directory.View) {
	for len(f.pendingDeaths) > 0 && !now.Before(f.pendingDeaths[0].deadline) {
		t, due := f.pendingDeaths[0].ticket, f.pendingDeaths[0].deadline
		f.pendingDeaths = f.pendingDeaths[1:]
		h := f.health[t]
		if h == nil || h.state == Dead || h.lastProgress.After(due.Add(-RefutationTimeout)) {
			continue
		}
		h.state = Dead
		if u := v.ByTicket(t); u != nil {
			f.recordStateChange(u, h, 0)
			f.stateChanges[len(f.stateChanges)-1].Shared = true
		}
		f.abandon(t)
	}
}

// report tells other balancers what was seen of an upstream's silence.
func (f *Forwarder) report(now time.Time, t directory.Ticket, h *health) {
	r := Report{
		Ticket:          t,
		SilentFlows:     h.silentFlows,
		Retransmissions: h.retransmissions,
	}
	if !h.silentSince.IsZero() {
		r.Silence = now.Sub(h.silentSince)
	}
	f.reports = append(f.reports, r)
}
