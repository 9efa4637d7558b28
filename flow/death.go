package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// askedDeath is an inquiry that this balancer has answered without progress.
type askedDeath struct {
	id      uint32
	askedAt time.Time
}

// confirmedDeath is an upstream whose flows are to be reset.
type confirmedDeath struct {
	ticket directory.Ticket
	scope  Scope
}

// Ask answers an inquiry. Unless this balancer has seen that the upstream lives, new flows avoid
// it. Its packets that arrived before the inquiry must have been handled: one of them may show
// progress.
func (f *Forwarder) Ask(now time.Time, q Inquiry) Answer {
	h := f.healthOfTicket(q.Ticket)
	a := Answer{
		Ticket: q.Ticket,
		ID:     q.ID,
	}
	life := h.lastLife()
	if age := now.Sub(life); !life.IsZero() && age < q.Silence {
		a.Alive, a.Age = true, age
		return a
	}
	if q.Remote {
		return a
	}
	a.Silent = h.open.flows > 0 && now.Sub(h.open.retransmittedAt) < maxRetransmitInterval
	a.Unreached = h.unreachedAt.After(life) && now.Sub(h.unreachedAt) < unreachedLifetime
	h.backOff(now)
	h.askedAt = now
	f.asked[q.Ticket] = askedDeath{
		id:      q.ID,
		askedAt: now,
	}
	return a
}

// Confirm applies the end of an inquiry that nobody has refuted: the open flows in its scope
// are reset at the next call of Advance. It is ignored if it comes late, since the upstream may
// have recovered, or if the upstream has shown here since the inquiry that it lives.
func (f *Forwarder) Confirm(now time.Time, c Confirmation) {
	a, ok := f.asked[c.Ticket]
	if !ok || a.id != c.ID {
		return
	}
	delete(f.asked, c.Ticket)
	if c.Scope != ScopeNew && now.Sub(a.askedAt) < maxInquiryAge && !f.healthOfTicket(c.Ticket).lastLife().After(a.askedAt) {
		f.confirmedDeaths = append(f.confirmedDeaths, confirmedDeath{
			ticket: c.Ticket,
			scope:  c.Scope,
		})
	}
}

// RecordProbe records a connection to an upstream that was started at a time, and whether it was
// accepted. It was not if it was refused, or if there was no answer within ProbeTimeout.
func (f *Forwarder) RecordProbe(startedAt time.Time, t directory.Ticket, accepted bool) {
	h := f.healthOfTicket(t)
	if accepted {
		h.reachedAt = latest(h.reachedAt, startedAt)
		return
	}
	h.unreachedAt = latest(h.unreachedAt, startedAt)
}

// MarkAlive applies a refutation: another balancer has seen progress of the upstream
// since the inquiry on it.
func (f *Forwarder) MarkAlive(now time.Time, r Refutation) {
	delete(f.asked, r.Ticket)
	h := f.health[r.Ticket]
	if h == nil {
		return
	}
	h.markAlive(now.Add(-r.Age))
}

// MarkBusy records that other balancers found an upstream overloaded. New flows avoid
// it for busyDuration.
func (f *Forwarder) MarkBusy(now time.Time, t directory.Ticket) {
	h := f.healthOfTicket(t)
	h.busyUntil = now.Add(busyDuration)
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
	clear(f.asked)
	f.confirmedDeaths = nil
	f.verifications.pending, f.verifications.unsent, f.verifications.doubtful = nil, nil, nil
	f.pendingOpenings, f.lateOpenings, f.pendingRequests = nil, nil, nil
	f.dropHeld()
	for _, h := range f.health {
		h.clearEvidence()
		h.askedAt, h.lateFlows = time.Time{}, 0
	}
}

// HandleBacklog tells the forwarder that a packet which is handled now may have waited
// for the given time. A balancer that runs behind takes its own backlog for the silence of
// upstreams: clients have sent the retransmissions that it reads before it forwarded their
// first packets.
func (f *Forwarder) HandleBacklog(now time.Time, waited time.Duration) {
	switch {
	case waited < maxBacklog:
	case now.Before(f.ignoreUntil):
		f.ignoreUntil = now.Add(resumeGracePeriod)
	default:
		f.HandleResume(now)
	}
}

// maxBacklog is how long a packet may wait before the balancer counts as running behind:
// half of the time until a client retransmits.
const maxBacklog = 100 * time.Millisecond

// resumeGracePeriod is how long after a pause packets are ignored as evidence of
// silence. A client gives up a first packet after 1.4 s, and the packets that queued
// up are read within that time.
const resumeGracePeriod = 1500 * time.Millisecond

// applyDeaths resets the flows of upstreams whose death was confirmed.
func (f *Forwarder) applyDeaths(now time.Time, v *directory.View) {
	for _, d := range f.confirmedDeaths {
		t := d.ticket
		if d.scope == ScopeWaiting {
			f.abandon(now, t, flowRetransmissions)
			continue
		}
		h := f.healthOfTicket(t)
		h.expireDeath(now)
		if h.state == Dead {
			continue
		}
		h.markDead(now)
		if u := v.ByTicket(t); u != nil {
			f.recordStateChange(u, h, 0)
			f.stateChanges[len(f.stateChanges)-1].Shared = true
		}
		f.abandon(now, t, 0)
	}
	f.confirmedDeaths = nil
}

// report adds a report for other balancers on an upstream's silence, as a flow of it has
// been retransmitted.
func (f *Forwarder) report(now time.Time, s *flowState, h *health) {
	r := Report{
		Ticket:                 s.upstream.Ticket(),
		SilentFlows:            h.open.flows,
		Retransmissions:        h.open.retransmissions,
		Silence:                h.open.duration(now),
		SilentOpenings:         h.opening.flows,
		OpeningRetransmissions: h.opening.retransmissions,
		OpeningSilence:         h.opening.duration(now),
		Proven:                 f.pathWorkedAfter(latest(h.open.retransmittedSince, h.opening.retransmittedSince)),
	}
	if !s.opening && h.lastProgress.Before(s.unansweredSince) && f.pathWorkedAfter(s.unansweredSince) {
		r.FlowRetransmissions = s.retransmissions
	}
	f.reports = append(f.reports, r)
}
