package flow

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

const (
	// lookupTimeout is how long a retransmitted first packet of an unknown flow waits for
	// the balancer of the zone that knows the flow.
	lookupTimeout = 30 * time.Millisecond
	// remoteLookupTimeout is how long it waits while the balancer that knows the flow may be
	// one of another zone, some tens of milliseconds away.
	remoteLookupTimeout = 100 * time.Millisecond
	// maxLookups is the maximum number of first packets that wait.
	maxLookups = 1024
)

// Zones tells whether flows move between the zones of balancers.
type Zones interface {
	// FlowsMove reports whether flows may move here from another zone, or back there, while
	// their clients open them.
	FlowsMove() bool
}

// WithLookups has the forwarder hold a retransmitted first packet of an unknown flow until
// another balancer has told where the flow's first packet went, for lookupTimeout at most, or for
// remoteLookupTimeout while flows move between zones.
func WithLookups(z Zones) Option {
	return func(f *Forwarder) {
		f.openings.zones = z
	}
}

// heldPacket is a first packet that waits.
type heldPacket struct {
	packet Packet
	// deadline is that of the entry in waiting.
	deadline time.Time
}

type lookupDeadline struct {
	key      key
	deadline time.Time
}

// A Release is a first packet that was held, and the decision on it.
type Release struct {
	Flow     ID
	Packet   Packet
	Decision Decision
}

// Lookups returns the flows to ask other balancers for since the last call.
func (f *Forwarder) Lookups() []ID {
	l := f.openings.lookups
	f.openings.lookups = nil
	return l
}

// Released returns the held packets that were decided on since the last call.
func (f *Forwarder) Released() []Release {
	r := f.openings.released
	f.openings.released = nil
	return r
}

// openElsewhere decides on a copy of a first packet that this balancer has not seen: another
// one has, unless the first packet was lost on its way.
func (f *Forwarder) openElsewhere(now time.Time, v *directory.View, p *Packet, k key) Decision {
	if d, ok := f.openAmbiguous(now, v, p, k); ok {
		return d
	}
	if f.openings.zones == nil || p.Delayed || len(f.openings.held) >= maxLookups {
		return f.openUnseen(now, v, p, k)
	}
	timeout := lookupTimeout
	if f.openings.zones.FlowsMove() {
		timeout = remoteLookupTimeout
	}
	h := &heldPacket{
		packet:   *p,
		deadline: now.Add(timeout),
	}
	f.openings.held[k] = h
	f.openings.await(k, h.deadline)
	f.openings.lookups = append(f.openings.lookups, p.flow())
	return Decision{
		Action: Hold,
		Reason: ReasonLookup,
	}
}

// holdWithCopy keeps a first packet, or a copy of it, in place of the copy that waits for the
// answer to a lookup. It returns false if none waits. The copy of another flow of the same
// addresses and ports waits no longer.
func (f *Forwarder) holdWithCopy(p *Packet, k key) bool {
	h := f.openings.held[k]
	if h == nil || p.Delayed {
		return false
	}
	if h.packet.Sequence != p.Sequence {
		f.dropHeldCopy(k, h)
		return false
	}
	h.packet = *p
	return true
}

// dropOvertaken drops the first packet that waits here for a lookup or for admission if p, a later
// packet of its flow, has come: the client has had an answer by another way, or has given up.
func (f *Forwarder) dropOvertaken(p *Packet, k key) {
	if h := f.openings.held[k]; h != nil && p.Sequence-h.packet.Sequence <= maxFlowLength {
		f.dropHeldCopy(k, h)
	}
	if f.sharing == nil {
		return
	}
	if w := f.sharing.waiting[k]; w != nil && p.Sequence-w.packet.Sequence <= maxFlowLength {
		f.withdraw(k, w.packet.Sequence, ReasonOvertaken)
	}
}

// dropHeldCopy drops a copy that waits for the answer to a lookup.
func (f *Forwarder) dropHeldCopy(k key, h *heldPacket) {
	delete(f.openings.held, k)
	f.release(h, Decision{Reason: ReasonOvertaken})
}

// checkLookups places the flows of first packets that have waited for lookupTimeout.
func (f *Forwarder) checkLookups(now time.Time, v *directory.View) {
	for len(f.openings.waiting) > 0 && !now.Before(f.openings.waiting[0].deadline) {
		w := f.openings.waiting[0]
		f.openings.waiting = f.openings.waiting[1:]
		h := f.openings.held[w.key]
		if h == nil || !h.deadline.Equal(w.deadline) {
			continue
		}
		delete(f.openings.held, w.key)
		d, ok := f.openAmbiguous(now, v, &h.packet, w.key)
		if !ok {
			d = f.openUnseen(now, v, &h.packet, w.key)
		}
		f.release(h, d)
	}
}

// dropHeld drops the first packets that wait: their clients may have opened the flows by other
// balancers.
func (f *Forwarder) dropHeld() {
	for _, h := range f.openings.held {
		f.release(h, Decision{Reason: ReasonDelayed})
	}
	clear(f.openings.held)
	f.openings.waiting = nil
	f.forgetLoad()
}

func (f *Forwarder) release(h *heldPacket, d Decision) {
	f.openings.released = append(f.openings.released, Release{
		Flow:     h.packet.flow(),
		Packet:   h.packet,
		Decision: d,
	})
}

// await adds a deadline to those of the copies that wait.
func (o *openings) await(k key, deadline time.Time) {
	i := len(o.waiting)
	for i > 0 && o.waiting[i-1].deadline.After(deadline) {
		i--
	}
	o.waiting = slices.Insert(o.waiting, i, lookupDeadline{
		key:      k,
		deadline: deadline,
	})
}

// heldOf returns the copy of a flow's first packet that waits, or nil.
func (o *openings) heldOf(k key, sequence uint32) *heldPacket {
	h := o.held[k]
	if h == nil || h.packet.Sequence != sequence {
		return nil
	}
	return h
}
