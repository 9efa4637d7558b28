package flow

import (
	"time"

	"filbertworks.example/filbertworks/admission"
	"filbertworks.example/filbertworks/directory"
)

// waitingPacket is a first packet that waits for admission.
type waitingPacket struct {
	packet   Packet
	service  *serviceLoad
	priority int
	since    time.Time
}

// admit offers the first packet of a new flow to the admission queue of its service. It
// returns false if the flow may be placed now.
func (f *Forwarder) admit(now time.Time, v *directory.View, p *Packet, k key) (Decision, bool) {
	r := v.Route(p.Service)
	if f.sharing == nil || r == nil || r.LatencyGoal == 0 || p.Delayed {
		return Decision{}, false
	}
	l := f.loadOf(now, v, selectService(r, k))
	if l == nil {
		return Decision{}, false
	}
	c := l.class(r.Priority)
	c.arrived++
	if usual, ok := f.sharing.learner.Usual(r.Address); ok {
		c.work += usual.Seconds()
	}
	if !f.sharing.options.Admit {
		return Decision{}, false
	}
	switch l.queue.Offer(now, admission.Request[key]{
		ID:       k,
		Priority: r.Priority,
		Caller:   p.Client.Addr(),
		Size:     p.Length + firstPacketSize,
		MaxWait:  f.maxWait(r),
	}) {
	case admission.Wait:
		f.sharing.waiting[k] = &waitingPacket{
			packet:   *p,
			service:  l,
			priority: r.Priority,
			since:    now,
		}
		return l.held(now, r.Priority), true
	case admission.Reject:
		return Decision{
			Action:  Reject,
			Reason:  ReasonNoRoom,
			Service: l.name,
			Room:    l.roomFor(now, r.Priority),
		}, true
	default:
		return Decision{}, false
	}
}

// firstPacketSize is what a first packet without content counts against the bound on the bytes
// that wait.
const firstPacketSize = 64

// maxWait returns how long a first packet of a route may wait: half of what the latency goal
// leaves beside the usual answer time, since a client that is refused needs the rest for its
// next attempt.
func (f *Forwarder) maxWait(r *directory.Route) time.Duration {
	if len(f.sharing.waiting) >= maxWaiting {
		return 0
	}
	usual, ok := f.sharing.learner.Usual(r.Address)
	if !ok {
		usual = defaultAnswerTime
	}
	return min(max((r.LatencyGoal-usual)/2, 0), maxAdmissionWait)
}

// holdCopy keeps a copy of a first packet that waits in place of that one. It returns false if
// there is none. The first packet of an earlier flow of the same addresses and ports waits no longer.
func (f *Forwarder) holdCopy(now time.Time, p *Packet, k key) (Decision, bool) {
	if f.sharing == nil {
		return Decision{}, false
	}
	w := f.sharing.waiting[k]
	if w == nil {
		return Decision{}, false
	}
	if w.packet.Sequence != p.Sequence {
		f.withdraw(k, w.packet.Sequence, ReasonOvertaken)
		return Decision{}, false
	}
	w.packet = *p
	return w.service.held(now, w.priority), true
}

// waitingOf returns the waiting first packet of a flow, or nil.
func (s *sharing) waitingOf(k key, sequence uint32) *waitingPacket {
	if s == nil {
		return nil
	}
	w := s.waiting[k]
	if w == nil || w.packet.Sequence != sequence {
		return nil
	}
	return w
}

// withdraw drops a waiting first packet, since another balancer decides on a copy of it, or its
// client has gone on.
func (f *Forwarder) withdraw(k key, sequence uint32, reason Reason) {
	w := f.sharing.waitingOf(k, sequence)
	if w == nil {
		return
	}
	w.service.queue.Remove(k)
	delete(f.sharing.waiting, k)
	f.release(&heldPacket{packet: w.packet}, Decision{Reason: reason})
}

// checkWaiting places or rejects the first packets whose wait is over.
func (f *Forwarder) checkWaiting(now time.Time, v *directory.View) {
	if f.sharing == nil || len(f.sharing.waiting) == 0 || now.Sub(f.sharing.checkedAt) < waitResolution {
		return
	}
	f.sharing.checkedAt = now
	for _, l := range f.sharing.services {
		l.refresh(now, v, f)
		for _, d := range l.queue.Release(now) {
			f.endWait(now, v, d)
		}
	}
}

// endWait carries out the admission queue's decision on a waiting first packet.
func (f *Forwarder) endWait(now time.Time, v *directory.View, r admission.Released[key]) {
	w := f.sharing.waiting[r.ID]
	if w == nil {
		return
	}
	delete(f.sharing.waiting, r.ID)
	d := Decision{
		Action:  Reject,
		Reason:  ReasonNoRoom,
		Service: w.service.name,
	}
	switch {
	case w.packet.Copy == 0 && now.Sub(w.since) >= initialRetransmitInterval:
		// The client has sent a copy. It did not come here, so that another balancer may have
		// placed it.
		d = Decision{Reason: ReasonDelayed}
	case r.Verdict == admission.Admit:
		if d = f.place(now, v, &w.packet, r.ID, nil); d.Action == Forward {
			f.addFlow(now, r.ID, d.Upstream, &w.packet)
		}
	}
	d.Waited = now.Sub(w.since)
	if !d.Room.Known {
		d.Room = w.service.roomFor(now, w.priority)
	}
	f.release(&heldPacket{packet: w.packet}, d)
}

// nextAdmission returns when the next waiting first packet is due; zero if none waits.
func (s *sharing) nextAdmission() time.Time {
	var next time.Time
	if s == nil || len(s.waiting) == 0 {
		return next
	}
	for _, l := range s.services {
		if t := l.queue.NextTimer(); !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if !next.IsZero() && next.Before(s.checkedAt.Add(waitResolution)) {
		next = s.checkedAt.Add(waitResolution)
	}
	return next
}

// waitResolution is the least time between two checks of the first packets that wait, each of which
// looks at all of them.
const waitResolution = time.Millisecond
