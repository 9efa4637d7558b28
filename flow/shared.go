package flow

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

// verdict is a shared belief that waits for objections.
type verdict struct {
	ticket directory.Ticket
	due    time.Time
}

// Acquit takes the objection of a balancer that has heard of an upstream since
// a verdict.
func (f *Forwarder) Acquit(t directory.Ticket) {
	f.verdicts = slices.DeleteFunc(f.verdicts, func(v verdict) bool { return v.ticket == t })
	if h := f.health[t]; h != nil {
		h.restart()
	}
}

// Convict takes the belief of other balancers that an upstream has been silent
// for a time. It reports whether this balancer objects, since it has seen
// progress meanwhile; otherwise new flows avoid the upstream, and its open flows
// are reset unless another balancer objects in time.
func (f *Forwarder) Convict(now time.Time, t directory.Ticket, silence time.Duration) (objection bool) {
	h := f.health[t]
	if h == nil {
		h = &health{}
		f.health[t] = h
	}
	if !h.progressed.IsZero() && now.Sub(h.progressed) < silence {
		return true
	}
	h.extend(now)
	f.verdicts = append(f.verdicts, verdict{
		ticket: t,
		due:    now.Add(ObjectionWait),
	})
	return false
}

// Reports returns what is new on silent upstreams since the last call.
func (f *Forwarder) Reports() []Report {
	r := f.reports
	f.reports = nil
	return r
}

// execute resets the flows of upstreams on which nobody objected.
func (f *Forwarder) execute(now time.Time, v *directory.View) {
	for len(f.verdicts) > 0 && !now.Before(f.verdicts[0].due) {
		t, due := f.verdicts[0].ticket, f.verdicts[0].due
		f.verdicts = f.verdicts[1:]
		h := f.health[t]
		if h == nil || h.state == Dead || h.progressed.After(due.Add(-ObjectionWait)) {
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
		Ticket:  t,
		Flows:   h.silent,
		Repeats: h.repeats,
	}
	if !h.since.IsZero() {
		r.Silence = now.Sub(h.since)
	}
	if h.openings > 0 && now.Sub(h.opened) >= deadOpeningAge {
		r.Openings = h.due(now)
		r.Silence = max(r.Silence, now.Sub(h.opened))
	}
	f.reports = append(f.reports, r)
}
