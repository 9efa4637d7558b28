package flow

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

// pendingDeath is an announced death of an upstream. It takes effect at its deadline
// unless a balancer refutes it first.
type pendingDeath struct {
	ticket   directory.Ticket
	deadline time.Time
}

// MarkAlive applies a refutation: another balancer has seen progress of the upstream
// since its death was announced. Retransmissions that came after that progress remain
// evidence of silence.
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

// MarkBusy records that other balancers found an upstream overloaded. New flows avoid
// it for busyDuration.
func (f *Forwarder) MarkBusy(now time.Time, t directory.Ticket) {
	h := f.health[t]
	if h == nil {
		h = &health{}
		f.health[t] = h
	}
	h.busyUntil = now.Add(busyDuration)
}

// MarkDead applies an announcement that an upstream is dead, as it has been silent for
// the given time. If this balancer has seen progress within that time, it returns a
// refutation. Otherwise new flows avoid the upstream, and its open flows are reset
// unless another balancer refutes the death within RefutationTimeout.
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

// Reports returns the reports on silent upstreams and late requests since the last
// call.
func (f *Forwarder) Reports() []Report {
	r := f.reports
	f.reports = nil
	return r
}

// HandleResume tells the forwarder that the process did not run for a while until now.
// Packets left unanswered during the pause are no evidence against any upstream, and
// neither are the packets that queued up: their clients may have left.
func (f *Forwarder) HandleResume(now time.Time) {
	f.ignoreUntil = now.Add(resumeGracePeriod)
	f.pendingDeaths = nil
	f.pendingOpenings, f.pendingRequests = nil, nil
	for _, h := range f.health {
		h.clearEvidence()
	}
}

// resumeGracePeriod is how long after a pause packets are ignored as evidence of
// silence. A client gives up a first packet after 1.4 s, and the packets that queued
// up are read within that time.
const resumeGracePeriod = 1500 * time.Millisecond

// applyDeaths resets the flows of upstreams whose death was not refuted in time.
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

// report adds a report for other balancers on an upstream's silence.
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
