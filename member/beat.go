package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/rendezvous"
)

// Tick returns the messages that are due at now.
func (t *Tracker) Tick(now time.Time) []Message {
	t.judge(now)
	var out []Message
	for _, r := range t.replies {
		m := t.message(now, r.to)
		m.Heartbeat.Echo = r.echo
		out = append(out, m)
	}
	t.replies = t.replies[:0]
	switch {
	case !now.Before(t.nextBeat):
		t.nextBeat = now.Add(HeartbeatInterval)
		t.nextSpread = now.Add(GossipInterval)
		out = append(out, t.beat(now)...)
	case !now.Before(t.nextSpread) && (len(t.news) > 0 || t.announcements > 0):
		t.nextSpread = now.Add(GossipInterval)
		out = append(out, t.spread(now)...)
	}
	return out
}

// judge suspects members that fell silent and believes old suspicions.
func (t *Tracker) judge(now time.Time) {
	if t.self.Joining && now.Sub(t.start) >= JoinDelay {
		t.self.Joining = false
		t.say()
	}
	t.expect(now)
	for _, id := range t.lookup().judged {
		p := t.members[id]
		r := p.record
		switch {
		case r.State == Dead:
		case r.Suspected && now.Sub(p.suspected) >= SuspicionTimeout:
			r.State = Dead
			r.Suspected = false
			t.believe(now, p, &r)
		case !r.Suspected && !p.expected.IsZero() && now.Sub(p.expected) >= SuspectAfter:
			r.Suspected = true
			t.believe(now, p, &r)
		}
	}
	t.forget(now)
}

// forget drops dead members that the platform does not list any more.
func (t *Tracker) forget(now time.Time) {
	var old []uint64
	for _, id := range t.lookup().doubted {
		if p := t.members[id]; p.record.State == Dead && now.Sub(p.died) >= ForgetAfter {
			old = append(old, id)
		}
	}
	for _, id := range old {
		t.remove(id)
	}
}

// expect starts and ends this process's duty as an observer, and finds its own
// observers.
func (t *Tracker) expect(now time.Time) {
	if !t.ringChanged {
		return
	}
	t.ringChanged = false
	t.touch()
	rings := t.rings()
	t.observers = t.observersOf(rings, &t.self)
	t.gateway = t.isGateway(rings[t.self.Zone], t.self.Incarnation)
	for _, id := range t.order {
		p := t.members[id]
		watched := p.record.State != Dead && slices.Contains(t.observersOf(rings, &p.record), t.self.Relay)
		switch {
		case !watched:
			p.expected = time.Time{}
		case p.expected.IsZero():
			p.expected = now
		}
	}
}

// place is a member's place on its zone's ring.
type place struct {
	score       uint64
	incarnation uint64
	relay       netip.AddrPort
}

// rings returns the living members of each zone in the order of their scores.
func (t *Tracker) rings() map[string][]place {
	rings := make(map[string][]place)
	add := func(r *Record) {
		rings[r.Zone] = append(rings[r.Zone], place{
			score:       rendezvous.Mix(r.Incarnation),
			incarnation: r.Incarnation,
			relay:       r.Relay,
		})
	}
	add(&t.self)
	for _, id := range t.order {
		if p := t.members[id]; p.record.State != Dead {
			add(&p.record)
		}
	}
	for _, ring := range rings {
		slices.SortFunc(ring, func(a, b place) int { return cmp.Compare(a.score, b.score) })
	}
	return rings
}

// observersOf returns the addresses that a member's heartbeats go to: the next
// ones on the ring of its zone and on that of each other zone.
func (t *Tracker) observersOf(rings map[string][]place, r *Record) []netip.AddrPort {
	var observers []netip.AddrPort
	gateway := t.isGateway(rings[r.Zone], r.Incarnation)
	for zone, ring := range rings {
		n := RemoteObservers
		switch {
		case zone == r.Zone:
			n = LocalObservers
		case !gateway:
			continue
		}
		from, _ := slices.BinarySearchFunc(ring, rendezvous.Mix(r.Incarnation), func(p place, s uint64) int {
			return cmp.Compare(p.score, s)
		})
		for i := 0; i < len(ring) && n > 0; i++ {
			p := ring[(from+i)%len(ring)]
			if p.incarnation == r.Incarnation {
				continue
			}
			observers = append(observers, p.relay)
			n--
		}
	}
	return observers
}

// isGateway reports whether a member exchanges messages with other zones.
func (t *Tracker) isGateway(ring []place, incarnation uint64) bool {
	if t.gateways == 0 {
		return true
	}
	return slices.ContainsFunc(ring[:min(t.gateways, len(ring))], func(p place) bool { return p.incarnation == incarnation })
}

// mayTell reports whether this process sends unasked messages to a zone.
func (t *Tracker) mayTell(zone string) bool {
	return zone == t.self.Zone || t.gateways == 0 || t.gateway
}

// beat returns the heartbeats to the observers and to a few others.
func (t *Tracker) beat(now time.Time) []Message {
	targets := slices.Clone(t.observers)
	targets = append(targets, t.others(now)...)
	slices.SortFunc(targets, netip.AddrPort.Compare)
	targets = slices.Compact(targets)
	return t.messages(now, targets)
}

// others returns a random process, dead ones included so that a network
// partition heals, and a few listed VMs that have not been heard.
func (t *Tracker) others(now time.Time) []netip.AddrPort {
	var others []netip.AddrPort
	if len(t.order) > 0 {
		if r := &t.members[t.order[t.rand.IntN(len(t.order))]].record; t.mayTell(r.Zone) {
			others = append(others, r.Relay)
		}
	}
	return append(others, t.unheard(now)...)
}

// unheard returns a few listed VMs of which no living process is known: new
// ones always, old ones now and then.
func (t *Tracker) unheard(now time.Time) []netip.AddrPort {
	if len(t.seeds) == 0 {
		return nil
	}
	old := t.rand.IntN(oldSeedPeriod) == 0
	living := t.lookup().living
	unheard := make([]netip.AddrPort, 0, seedPeers)
	for a, s := range t.seeds {
		if !living[a] && (old || now.Sub(s.listed) < seedFresh) {
			unheard = append(unheard, a)
		}
	}
	slices.SortFunc(unheard, netip.AddrPort.Compare)
	t.rand.Shuffle(len(unheard), func(i, j int) { unheard[i], unheard[j] = unheard[j], unheard[i] })
	return unheard[:min(len(unheard), seedPeers)]
}

// spread returns messages with news to random living members.
func (t *Tracker) spread(now time.Time) []Message {
	var targets []netip.AddrPort
	for range GossipFanout * 4 {
		if len(t.order) == 0 || len(targets) == GossipFanout {
			break
		}
		r := &t.members[t.order[t.rand.IntN(len(t.order))]].record
		if r.State != Dead && t.mayTell(r.Zone) && !slices.Contains(targets, r.Relay) {
			targets = append(targets, r.Relay)
		}
	}
	return t.messages(now, targets)
}

func (t *Tracker) messages(now time.Time, targets []netip.AddrPort) []Message {
	out := make([]Message, 0, len(targets))
	for _, a := range targets {
		m := t.message(now, a)
		if t.doubt || !t.lookup().living[a] {
			m.Heartbeat.Probe = t.probe
		}
		out = append(out, m)
	}
	if len(out) > 0 && t.announcements > 0 {
		t.announcements--
	}
	return out
}

// message returns a heartbeat to a peer: what is believed of the peer itself
// comes first, then news, then a part of the view in turn.
func (t *Tracker) message(now time.Time, to netip.AddrPort) Message {
	h := Heartbeat{
		Sender:      t.self,
		Digest:      t.digest,
		PlatformAge: uint32(min(t.PlatformAge(now), maxAge) / time.Millisecond),
	}
	if t.platform.IsZero() {
		h.PlatformAge = uint32(maxAge / time.Millisecond)
	}
	h.Records = t.selection(to)
	return Message{
		To:        to,
		Heartbeat: h,
	}
}

// maxAge is the greatest age that a heartbeat tells.
const maxAge = 1000 * time.Hour

func (t *Tracker) selection(to netip.AddrPort) []Record {
	records := make([]Record, 0, MaxRecords)
	chosen := make(map[uint64]bool, MaxRecords)
	choose := func(id uint64) {
		if len(records) < MaxRecords && !chosen[id] {
			chosen[id] = true
			records = append(records, t.members[id].record)
		}
	}
	for _, id := range t.lookup().doubted {
		if t.members[id].record.Relay == to {
			choose(id)
		}
	}
	for _, id := range t.freshest() {
		if len(records) == MaxRecords {
			break
		}
		choose(id)
		if t.news[id]--; t.news[id] <= 0 {
			delete(t.news, id)
		}
	}
	for range min(len(t.order), windowRecords) {
		t.window = (t.window + 1) % len(t.order)
		choose(t.order[t.window])
	}
	return records
}

// Sizes of what heartbeats add beside news.
const (
	// seedPeers is the number of unheard VMs that a heartbeat goes to.
	seedPeers = 8
	// oldSeedPeriod is the number of heartbeats between two to old ones.
	oldSeedPeriod = 8
)

// windowRecords is the number of records that a heartbeat adds beside news.
const windowRecords = 2

// freshest returns the news, the least often told first.
func (t *Tracker) freshest() []uint64 {
	ids := make([]uint64, 0, len(t.news))
	for id := range t.news {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(t.news[b], t.news[a]), cmp.Compare(a, b))
	})
	return ids
}
