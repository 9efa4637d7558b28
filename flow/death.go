package flow

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

// death is a shared belief that waits for refutations.
type death struct {
	ticket directory.Ticket
	due    time.Time
}

// MarkAlive takes the refutation of a balancer that has heard of an upstream since
// its death was announced. Repeats that came later stay evidence of silence.
func (f *Forwarder) MarkAlive(now time.Time, r Refutation) {
	f.deaths = slices.DeleteFunc(f.deaths, func(d death) bool { return d.ticket == r.Ticket })
	h := f.health[r.Ticket]
	if h == nil {
		return
	}
	at := now.Add(-r.Age)
	if h.state == Dead || h.silent == 0 || !h.repeated.After(at) {
		h.restart()
		return
	}
	h.elsewhere = at
	if h.since.Before(at) {
		h.since = at
	}
	if h.state == Answering {
		h.avoid = time.Time{}
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
	h.busy = now.Add(busyTime)
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
	if age := now.Sub(h.progressed); !h.progressed.IsZero() && age < silence {
		return Refutation{
			Ticket: t,
			Age:    age,
		}, true
	}
	h.extend(now)
	f.deaths = append(f.deaths, death{
		ticket: t,
		due:    now.Add(RefutationTimeout),
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
	f.distrust = now.Add(resumeTime)
	f.deaths = nil
	f.openings, f.requests = nil, nil
	for _, h := range f.health {
		h.restart()
	}
}

// resumeTime is how long after a pause packets are no evidence: a client gives a
// first packet up after 1.4 s, and what waited is read within that.
const resumeTime = 1500 * time.Millisecond

// applyDeaths resets the flows of upstreams whose death nobody refuted.
func (f *Forwarder) applyDeaths(now time.Time, v *directory.View) {
	for len(f.deaths) > 0 && !now.Before(f.deaths[0].due) {
		t, due := f.deaths[0].ticket, f.deaths[0].due
		f.deaths = f.deaths[1:]
		h := f.health[t]
		if h == nil || h.state == Dead || h.progressed.After(due.Add(-RefutationTimeout)) {
			continue
		}
		h.state = Dead
		if u := v.ByTicket(t); u != nil {
			f.believe(u, h, 0)
			f.beliefs[len(f.beliefs)-1].Shared = true
		}
		f.abandon(t)
	}
}

// report tells other balancers what was seen of an upstream's silence.
func (f *Forwarder) report(now time.Time, t directory.Ticket, h *health) {
	r := Report{
		Ticket:          t,
		SilentFlows:     h.silent,
		Retransmissions: h.repeats,
	}
	if !h.since.IsZero() {
		r.Silence = now.Sub(h.since)
	}
	f.reports = append(f.reports, r)
}
