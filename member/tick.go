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
	t.updateStates(now)
	var out []Message
	for _, r := range t.replies {
		m := t.message(now, r.to)
		m.Heartbeat.Echo = r.echo
		out = append(out, m)
	}
	t.replies = t.replies[:0]
	switch {
	case !now.Before(t.nextHeartbeat):
		t.nextHeartbeat = now.Add(HeartbeatInterval)
		t.nextGossip = now.Add(GossipInterval)
		out = append(out, t.heartbeats(now)...)
	case !now.Before(t.nextGossip) && (len(t.pending) > 0 || t.announcements > 0):
		t.nextGossip = now.Add(GossipInterval)
		out = append(out, t.gossip(now)...)
	}
	return out
}

// updateStates suspects members that fell silent and believes old suspicions.
func (t *Tracker) updateStates(now time.Time) {
	if t.self.Joining && now.Sub(t.start) >= JoinDelay {
		t.self.Joining = false
		t.announceSelf()
	}
	t.updateObservers(now)
	for _, id := range t.currentIndex().timed {
		p := t.members[id]
		r := p.record
		switch {
		case r.State == Dead:
		case r.Suspected && now.Sub(p.suspectedAt) >= SuspicionTimeout:
			r.State = Dead
			r.Suspected = false
			t.updateRecord(now, p, &r)
		case !r.Suspected && !p.waitingSince.IsZero() && now.Sub(p.waitingSince) >= SuspectAfter:
			r.Suspected = true
			t.updateRecord(now, p, &r)
		}
	}
	t.removeDead(now)
}

// removeDead drops dead members that the platform does not list any more.
func (t *Tracker) removeDead(now time.Time) {
	var old []uint64
	for _, id := range t.currentIndex().suspectedOrDead {
		if p := t.members[id]; p.record.State == Dead && now.Sub(p.diedAt) >= ForgetAfter {
			old = append(old, id)
		}
	}
	for _, id := range old {
		t.remove(id)
	}
}

// updateObservers starts and ends this process's duty as an observer, and finds its own
// observers.
func (t *Tracker) updateObservers(now time.Time) {
	if !t.ringChanged {
		return
	}
	t.ringChanged = false
	t.invalidate()
	rings := t.rings()
	t.observers = t.observersOf(rings, &t.self)
	t.gateway = t.isGateway(rings[t.self.Zone], t.self.Incarnation)
	for _, id := range t.incarnations {
		p := t.members[id]
		observed := p.record.State != Dead && slices.Contains(t.observersOf(rings, &p.record), t.self.Relay)
		switch {
		case !observed:
			p.waitingSince = time.Time{}
		case p.waitingSince.IsZero():
			p.waitingSince = now
		}
	}
}

// ringNode is a member's ringNode on its zone's ring.
type ringNode struct {
	score       uint64
	incarnation uint64
	relay       netip.AddrPort
}

// rings returns the living members of each zone in the order of their scores.
func (t *Tracker) rings() map[string][]ringNode {
	rings := make(map[string][]ringNode)
	add := func(r *Record) {
		rings[r.Zone] = append(rings[r.Zone], ringNode{
			score:       rendezvous.Mix(r.Incarnation),
			incarnation: r.Incarnation,
			relay:       r.Relay,
		})
	}
	add(&t.self)
	for _, id := range t.incarnations {
		if p := t.members[id]; p.record.State != Dead {
			add(&p.record)
		}
	}
	for _, ring := range rings {
		slices.SortFunc(ring, func(a, b ringNode) int { return cmp.Compare(a.score, b.score) })
	}
	return rings
}

// observersOf returns the addresses that a member's heartbeats go to: the next
// ones on the ring of its zone and on that of each other zone.
func (t *Tracker) observersOf(rings map[string][]ringNode, r *Record) []netip.AddrPort {
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
		from, _ := slices.BinarySearchFunc(ring, rendezvous.Mix(r.Incarnation), func(p ringNode, s uint64) int {
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
func (t *Tracker) isGateway(ring []ringNode, incarnation uint64) bool {
	if t.gateways == 0 {
		return true
	}
	return slices.ContainsFunc(ring[:min(t.gateways, len(ring))], func(p ringNode) bool { return p.incarnation == incarnation })
}

// mayContactZone reports whether this process sends unasked messages to a zone.
func (t *Tracker) mayContactZone(zone string) bool {
	return zone == t.self.Zone || t.gateways == 0 || t.gateway
}

// heartbeats returns the heartbeats to the observers and to a few others.
func (t *Tracker) heartbeats(now time.Time) []Message {
	targets := slices.Clone(t.observers)
	targets = append(targets, t.extraTargets(now)...)
	slices.SortFunc(targets, netip.AddrPort.Compare)
	targets = slices.Compact(targets)
	return t.messages(now, targets)
}

// extraTargets returns a random process, dead ones included so that a network
// partition heals, and a few listed VMs that have not been heard.
func (t *Tracker) extraTargets(now time.Time) []netip.AddrPort {
	var extraTargets []netip.AddrPort
	if len(t.incarnations) > 0 {
		if r := &t.members[t.incarnations[t.rand.IntN(len(t.incarnations))]].record; t.mayContactZone(r.Zone) {
			extraTargets = append(extraTargets, r.Relay)
		}
	}
	return append(extraTargets, t.unheardSeeds(now)...)
}

// unheardSeeds returns a few listed VMs of which no living process is known: new
// ones always, old ones now and then.
func (t *Tracker) unheardSeeds(now time.Time) []netip.AddrPort {
	if len(t.seeds) == 0 {
		return nil
	}
	old := t.rand.IntN(oldSeedPeriod) == 0
	relayAlive := t.currentIndex().relayAlive
	unheardSeeds := make([]netip.AddrPort, 0, maxSeedTargets)
	for a, s := range t.seeds {
		if !relayAlive[a] && (old || now.Sub(s.listed) < newSeedPeriod) {
			unheardSeeds = append(unheardSeeds, a)
		}
	}
	slices.SortFunc(unheardSeeds, netip.AddrPort.Compare)
	t.rand.Shuffle(len(unheardSeeds), func(i, j int) { unheardSeeds[i], unheardSeeds[j] = unheardSeeds[j], unheardSeeds[i] })
	return unheardSeeds[:min(len(unheardSeeds), maxSeedTargets)]
}

// gossip returns messages with news to random living members.
func (t *Tracker) gossip(now time.Time) []Message {
	var targets []netip.AddrPort
	for range GossipFanout * 4 {
		if len(t.incarnations) == 0 || len(targets) == GossipFanout {
			break
		}
		r := &t.members[t.incarnations[t.rand.IntN(len(t.incarnations))]].record
		if r.State != Dead && t.mayContactZone(r.Zone) && !slices.Contains(targets, r.Relay) {
			targets = append(targets, r.Relay)
		}
	}
	return t.messages(now, targets)
}

func (t *Tracker) messages(now time.Time, targets []netip.AddrPort) []Message {
	out := make([]Message, 0, len(targets))
	for _, a := range targets {
		m := t.message(now, a)
		if t.probing || !t.currentIndex().relayAlive[a] {
			m.Heartbeat.Probe = t.probeNumber
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
		PlatformAge: uint32(min(t.PlatformAge(now), maxPlatformAge) / time.Millisecond),
	}
	if t.platformAnswer.IsZero() {
		h.PlatformAge = uint32(maxPlatformAge / time.Millisecond)
	}
	h.Records = t.selectRecords(to)
	return Message{
		To:        to,
		Heartbeat: h,
	}
}

// maxPlatformAge is the greatest age that a heartbeat tells.
const maxPlatformAge = 1000 * time.Hour

func (t *Tracker) selectRecords(to netip.AddrPort) []Record {
	records := make([]Record, 0, MaxRecords)
	chosen := make(map[uint64]bool, MaxRecords)
	choose := func(id uint64) {
		if len(records) < MaxRecords && !chosen[id] {
			chosen[id] = true
			records = append(records, t.members[id].record)
		}
	}
	for _, id := range t.currentIndex().suspectedOrDead {
		if t.members[id].record.Relay == to {
			choose(id)
		}
	}
	for _, id := range t.pendingByPriority() {
		if len(records) == MaxRecords {
			break
		}
		choose(id)
		if t.pending[id]--; t.pending[id] <= 0 {
			delete(t.pending, id)
		}
	}
	for range min(len(t.incarnations), antiEntropyRecords) {
		t.cursor = (t.cursor + 1) % len(t.incarnations)
		choose(t.incarnations[t.cursor])
	}
	return records
}

// Sizes of what heartbeats add beside news.
const (
	// maxSeedTargets is the number of unheard VMs that a heartbeat goes to.
	maxSeedTargets = 8
	// oldSeedPeriod is the number of heartbeats between two to old ones.
	oldSeedPeriod = 8
)

// antiEntropyRecords is the number of records that a heartbeat adds beside news.
const antiEntropyRecords = 2

// pendingByPriority returns the news, the least often told first.
func (t *Tracker) pendingByPriority() []uint64 {
	ids := make([]uint64, 0, len(t.pending))
	for id := range t.pending {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(t.pending[b], t.pending[a]), cmp.Compare(a, b))
	})
	return ids
}
