package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Tick updates the members' states and returns the messages to be sent at now.
func (t *Tracker) Tick(now time.Time) []Message {
	t.updateStates(now)
	var out []Message
	for _, r := range t.replies {
		m := t.message(now, r.to)
		m.Heartbeat.Echo = r.echo
		out = append(out, m)
	}
	t.replies = t.replies[:0]
	for _, a := range t.probes {
		m := t.message(now, a)
		m.Heartbeat.Probe = t.probeNumber
		out = append(out, m)
	}
	t.probes = t.probes[:0]
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

// updateStates ends this process's join period when it is over, suspects
// members whose heartbeats are overdue and declares members dead whose
// suspicion has timed out.
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

// removeDead removes members that have been dead for ForgetAfter.
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

// updateObservers recomputes which members observe this process and which
// members it observes, after members were added, died or were removed or the
// number of gateways changed.
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

// ringNode is the position of a member on its zone's hash ring.
type ringNode struct {
	score       uint64
	incarnation uint64
	relay       netip.AddrPort
}

// rings returns the living members of each zone, this process included, sorted
// by score.
func (t *Tracker) rings() map[string][]ringNode {
	rings := make(map[string][]ringNode)
	add := func(r *Record) {
		rings[r.Zone] = append(rings[r.Zone], ringNode{
			score:       ringScore(r.Incarnation),
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

// observersOf returns the relay addresses that a member sends its heartbeats
// to: its successors on the ring of its own zone and, if it is a gateway, on
// the ring of each other zone.
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
		from, _ := slices.BinarySearchFunc(ring, ringScore(r.Incarnation), func(p ringNode, s uint64) int {
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

// isGateway reports whether a member of the zone with the given ring exchanges
// messages with other zones.
func (t *Tracker) isGateway(ring []ringNode, incarnation uint64) bool {
	if t.gateways == 0 {
		return true
	}
	return slices.ContainsFunc(ring[:min(t.gateways, len(ring))], func(p ringNode) bool { return p.incarnation == incarnation })
}

// mayContactZone reports whether this process sends unsolicited messages to a
// zone.
func (t *Tracker) mayContactZone(zone string) bool {
	return zone == t.self.Zone || t.gateways == 0 || t.gateway
}

// heartbeats returns the heartbeats to the observers and to a few other
// processes.
func (t *Tracker) heartbeats(now time.Time) []Message {
	targets := slices.Concat(t.observers, t.contacts)
	targets = append(targets, t.extraTargets(now)...)
	slices.SortFunc(targets, netip.AddrPort.Compare)
	targets = slices.Compact(targets)
	return t.messages(now, targets)
}

// extraTargets returns the address of a random process, dead ones included so
// that the views on both sides of a network partition merge again, and a few
// listed VMs without a known living process.
func (t *Tracker) extraTargets(now time.Time) []netip.AddrPort {
	var extraTargets []netip.AddrPort
	if len(t.incarnations) > 0 {
		if r := &t.members[t.incarnations[t.rand.IntN(len(t.incarnations))]].record; t.mayContactZone(r.Zone) {
			extraTargets = append(extraTargets, r.Relay)
		}
	}
	return append(extraTargets, t.unheardSeeds(now)...)
}

// unheardSeeds returns the addresses of a few listed VMs without a known living
// process: new ones always, old ones in one heartbeat out of oldSeedPeriod on
// average.
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

// gossip returns messages with changed records to random living members.
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

// message returns a heartbeat to a peer.
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

// maxPlatformAge is the largest platform age that a heartbeat reports; this
// value means that no answer of the platform is known.
const maxPlatformAge = 1000 * time.Hour

// selectRecords returns the records of a heartbeat to a peer: first a suspicion
// or death of the peer itself, so that it can refute that, then gossip, then a
// part of the view in rotation for anti-entropy.
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

// Limits on heartbeats to listed VMs without a known living process.
const (
	// maxSeedTargets is the maximum number of such VMs that each round of
	// heartbeats goes to.
	maxSeedTargets = 8
	// oldSeedPeriod is the average number of heartbeats after which one is sent
	// to VMs listed for longer than newSeedPeriod.
	oldSeedPeriod = 8
)

// antiEntropyRecords is the number of records, taken from the view in rotation,
// that a heartbeat carries in addition to gossip.
const antiEntropyRecords = 2

// pendingByPriority returns the incarnations of the records to be gossiped,
// those with the most remaining transmissions first.
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
