package flow

import (
	"encoding/binary"
	"maps"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/directory"
)

const (
	// AmbiguityLifetime is how long an ambiguous flow is remembered after the last news of it.
	// A host repeats its answer to a first packet for less than 10 s, and the flow may be idle
	// after that: until then the client's next packet may carry the ticket of either host.
	AmbiguityLifetime = 10*time.Second + defaultIdleTimeout
	// initialRetransmitInterval is the time until a client first retransmits a packet. The
	// interval doubles with each retransmission.
	initialRetransmitInterval = 200 * time.Millisecond
	// maxFlowLength is the number of content bytes after which a packet is not taken for
	// one of an ambiguous flow: another flow may use the same addresses and ports by then.
	maxFlowLength = 1 << 24
)

// An ID identifies a flow. Its addresses and ports may be those of an earlier flow.
type ID struct {
	Client  netip.AddrPort
	Service netip.AddrPort
	// Sequence is the sequence number of the flow's first packet.
	Sequence uint32
}

// key returns the key of the flow.
func (id *ID) key() key {
	return newKey(id.Client, id.Service)
}

// An Opening is what a balancer knows of the upstream of a flow.
type Opening struct {
	Flow   ID
	Ticket directory.Ticket
	// Open reports whether the flow has opened at the upstream. Until then, its first
	// packet was sent there, and maybe to other upstreams.
	Open bool
}

// openings holds what a forwarder knows of flows that other balancers have seen opening.
type openings struct {
	// zones is nil unless other balancers are asked for the flows of retransmitted first
	// packets.
	zones Zones
	// held holds the first packets that wait for an answer to a lookup, and waiting their
	// deadlines in order. An entry of waiting may be over already.
	held    map[key]*heldPacket
	waiting []lookupDeadline
	// ambiguous holds the flows whose first packet may have reached several upstreams.
	ambiguous map[key]*ambiguousFlow
	// lookups, released and changed are the outputs since they were last taken.
	lookups  []ID
	released []Release
	changed  []Opening
}

// An ambiguousFlow is a flow whose first packet may have reached several upstreams. All of
// them answer it again and again, and the client's packets carry the ticket of the one that
// it last heard of, which is not always the one at which the flow has opened.
type ambiguousFlow struct {
	// sequence is that of the flow's first packet.
	sequence uint32
	// ticket is the upstream at which the flow has opened, or, unless open is set, the
	// last one that the first packet was sent to.
	ticket directory.Ticket
	open   bool
	usedAt time.Time
}

func newAmbiguousFlow(now time.Time, o Opening) *ambiguousFlow {
	return &ambiguousFlow{
		sequence: o.Flow.Sequence,
		ticket:   o.Ticket,
		open:     o.Open,
		usedAt:   now,
	}
}

func newOpenings() openings {
	return openings{
		held:      make(map[key]*heldPacket),
		ambiguous: make(map[key]*ambiguousFlow),
	}
}

// AmbiguousFlows returns what this balancer has found out since the last call about flows whose
// first packet may have reached several upstreams. The other balancers that may get their packets
// must learn of it by AddAmbiguous.
func (f *Forwarder) AmbiguousFlows() []Opening {
	c := f.openings.changed
	f.openings.changed = nil
	return c
}

// Opening answers a lookup of another balancer. It returns false if the flow is unknown here.
// A first packet that waits for admission here is dropped, since the other balancer has a copy.
func (f *Forwarder) Opening(id ID) (Opening, bool) {
	k := id.key()
	f.withdraw(k, id.Sequence, ReasonDelayed)
	if a := f.openings.ambiguous[k]; a != nil && a.sequence == id.Sequence {
		return a.opening(id), true
	}
	s := f.flows.find(k)
	if s == nil || s.closed || !s.openedBy(&Packet{Sequence: id.Sequence}) {
		return Opening{}, false
	}
	return Opening{
		Flow:   id,
		Ticket: s.upstream.Ticket(),
		Open:   !s.opening,
	}, true
}

// AddOpening applies another balancer's answer to a lookup: the held packet goes to the
// upstream that has got the first one, or where a further copy goes after that. An answer that
// comes after the packet was placed elsewhere still tells where the flow has opened.
func (f *Forwarder) AddOpening(now time.Time, v *directory.View, o Opening) {
	k := o.Flow.key()
	u := v.ByTicket(o.Ticket)
	if u == nil {
		return
	}
	if h := f.openings.heldOf(k, o.Flow.Sequence); h != nil {
		delete(f.openings.held, k)
		f.release(h, f.openAt(now, v, &h.packet, k, u, o.Open))
		return
	}
	s := f.flows.find(k)
	if o.Open && s != nil && s.opening && s.firstSequence == o.Flow.Sequence && s.upstream.Ticket() != o.Ticket {
		f.recordOpen(now, o)
	}
}

// AddAmbiguous records what another balancer knows of a flow whose first packet may have
// reached several upstreams. If that one does not know where the flow has opened and this one does,
// the others learn of it by AmbiguousFlows.
func (f *Forwarder) AddAmbiguous(now time.Time, o Opening) {
	k := o.Flow.key()
	f.withdraw(k, o.Flow.Sequence, ReasonDelayed)
	if a := f.openings.ambiguous[k]; a != nil && a.sequence == o.Flow.Sequence && a.open {
		return
	}
	if s := f.flows.find(k); !o.Open && s != nil && !s.opening && !s.closed && s.openedBy(&Packet{Sequence: o.Flow.Sequence}) {
		o.Ticket = s.upstream.Ticket()
		f.recordOpen(now, o)
		return
	}
	f.openings.ambiguous[k] = newAmbiguousFlow(now, o)
}

// recordOpen records where an ambiguous flow has opened, for this balancer and the others.
func (f *Forwarder) recordOpen(now time.Time, o Opening) {
	o.Open = true
	f.openings.ambiguous[o.Flow.key()] = newAmbiguousFlow(now, o)
	f.openings.changed = append(f.openings.changed, o)
}

// openAmbiguous decides on a copy of the first packet of an ambiguous flow. It returns false if
// the flow is not known as one.
func (f *Forwarder) openAmbiguous(now time.Time, v *directory.View, p *Packet, k key) (Decision, bool) {
	a := f.openings.find(now, p, k)
	if a == nil {
		return Decision{}, false
	}
	u := v.ByTicket(a.ticket)
	if u == nil {
		return Decision{}, false
	}
	return f.openAt(now, v, p, k, u, a.open), true
}

// openAt decides on a copy of a first packet that another balancer has sent to u. The
// argument open reports whether the flow has opened there.
func (f *Forwarder) openAt(now time.Time, v *directory.View, p *Packet, k key, u *directory.Upstream, open bool) Decision {
	f.addFlow(now, k, u, p)
	s := f.flows.find(k)
	s.firstSentAt = now.Add(-copyAge(p.Copy))
	if open {
		return f.forwardCopy(s)
	}
	return f.openCopy(now, v, p, k, s)
}

// copyAge returns how long after a first packet its n-th copy is sent.
func copyAge(n int) time.Duration {
	return (1<<min(n, moveAfterCopies) - 1) * initialRetransmitInterval
}

// openUnseen places a flow whose first packet may have been placed by a balancer that is
// gone, or that runs behind.
func (f *Forwarder) openUnseen(now time.Time, v *directory.View, p *Packet, k key) Decision {
	d := f.place(now, v, p, k, nil)
	if d.Action == Forward {
		f.addFlow(now, k, d.Upstream, p)
		f.markAmbiguous(now, p, k, d.Ticket)
	}
	return d
}

// markAmbiguous records that a flow's first packet was sent to the upstream with a ticket, and
// may have been sent to others.
func (f *Forwarder) markAmbiguous(now time.Time, p *Packet, k key, t directory.Ticket) {
	o := Opening{
		Flow:   p.flow(),
		Ticket: t,
	}
	f.openings.ambiguous[k] = newAmbiguousFlow(now, o)
	f.openings.changed = append(f.openings.changed, o)
}

// openedAt returns the upstream at which an ambiguous flow has opened, or nil. The client's next
// packet after the first one and its copies answers that upstream, and carries its ticket.
func (f *Forwarder) openedAt(now time.Time, v *directory.View, p *Packet, k key) *directory.Upstream {
	a := f.openings.find(now, p, k)
	if a == nil {
		return nil
	}
	if !a.open && p.Flags.Has(FlagAcknowledge) && p.Ticket != 0 && v.ByTicket(p.Ticket) != nil {
		a.ticket, a.open = p.Ticket, true
		id := p.flow()
		id.Sequence = a.sequence
		f.openings.changed = append(f.openings.changed, a.opening(id))
	}
	if !a.open {
		return nil
	}
	return v.ByTicket(a.ticket)
}

// find returns the ambiguous flow that a packet belongs to, or nil.
func (o *openings) find(now time.Time, p *Packet, k key) *ambiguousFlow {
	a := o.ambiguous[k]
	if a == nil {
		return nil
	}
	offset := p.Sequence - a.sequence
	if p.Flags.Has(FlagOpen) && offset != 0 || offset > maxFlowLength {
		return nil
	}
	a.usedAt = now
	return a
}

// expire forgets ambiguous flows that have been idle for AmbiguityLifetime.
func (o *openings) expire(now time.Time) {
	maps.DeleteFunc(o.ambiguous, func(_ key, a *ambiguousFlow) bool { return now.Sub(a.usedAt) >= AmbiguityLifetime })
}

// opening returns what is known of the flow.
func (a *ambiguousFlow) opening(id ID) Opening {
	return Opening{
		Flow:   id,
		Ticket: a.ticket,
		Open:   a.open,
	}
}

// newKey returns the key of the flow between two addresses.
func newKey(from, to netip.AddrPort) key {
	var k key
	client, service := from.Addr().As4(), to.Addr().As4()
	copy(k[0:], client[:])
	copy(k[4:], service[:])
	binary.BigEndian.PutUint16(k[8:], from.Port())
	binary.BigEndian.PutUint16(k[10:], to.Port())
	return k
}
