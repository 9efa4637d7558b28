package member

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/config"
)

// Intervals and timeouts of the membership protocol.
const (
	// HeartbeatInterval is the time between two heartbeats to an observer.
	HeartbeatInterval = 500 * time.Millisecond
	// GossipInterval is the time between two rounds of gossip.
	GossipInterval = 100 * time.Millisecond
	// SuspectAfter is how long an observer waits for a member's heartbeat
	// before it suspects the member.
	SuspectAfter = 1500 * time.Millisecond
	// SuspicionTimeout is how long a suspicion stays unrefuted before the
	// member is declared dead.
	SuspicionTimeout = 1500 * time.Millisecond
	// DeadAfter is the longest time from a member's last heartbeat until its
	// observers declare it dead.
	DeadAfter = SuspectAfter + HeartbeatInterval + SuspicionTimeout
	// JoinDelay is how long a process runs before others choose it as a keeper:
	// by then all of them know it.
	JoinDelay = 2 * time.Second
	// ForgetAfter is how long a dead member stays in the view. Until then
	// heartbeats are still sent to it now and then.
	ForgetAfter = 10 * time.Minute
	// newSeedPeriod is how long a listed VM that has not answered is tried at
	// each heartbeat; after that it is tried at one in oldSeedPeriod heartbeats
	// on average.
	newSeedPeriod = time.Minute
)

// Numbers of observers, gossip targets and records.
const (
	// LocalObservers is the number of a member's observers in its own zone.
	LocalObservers = 2
	// RemoteObservers is the number of a member's observers in each other zone.
	RemoteObservers = 1
	// GossipFanout is the number of peers that each round of gossip goes to.
	GossipFanout = 2
	// MaxRecords is the maximum number of records in a heartbeat, not counting
	// the sender's own.
	MaxRecords = 10
	// retransmitFactor times the bit length of the number of members is how
	// often a process gossips one changed record.
	retransmitFactor = 3
)

// A Tracker maintains one process's view of the others. It starts from the
// platform's list of VMs. Heartbeats to a constant number of observers, and
// gossip of changed records to random members, keep it current. The observers
// of a member are the members that suspect it when its heartbeats stop. A
// living member is one that is not dead; it may be leaving. A Tracker is not
// safe for concurrent use.
type Tracker struct {
	self    Record
	digest  uint64
	start   time.Time
	members map[uint64]*peerState
	// incarnations holds the keys of members in ascending order.
	incarnations []uint64
	// seeds holds the VMs of the platform's list by relay address; seeded
	// reports that a list has been set.
	seeds  map[netip.AddrPort]*seed
	seeded bool
	// pending holds, by incarnation, how many more times the record of a member
	// is gossiped.
	pending map[uint64]int
	// announcements is how many more rounds of messages announce a change of
	// this process's own record.
	announcements int
	// replies holds the heartbeats to be sent at the next tick in response to
	// peers.
	replies []reply
	// platformAnswer is when the platform last answered this process or another
	// one; zero if no answer is known.
	platformAnswer time.Time
	// probeNumber is sent in this process's probes and repeated in the answers
	// to them.
	probeNumber uint32
	// probing makes every message a probe.
	probing bool
	// acceptUnlisted accepts senders that are neither listed nor known from
	// other members.
	acceptUnlisted bool
	// gateways is the number of members of each zone that exchange messages
	// with other zones; zero if all of them do.
	gateways int
	// gateway reports that this process is one of them.
	gateway       bool
	nextHeartbeat time.Time
	nextGossip    time.Time
	// cursor is the index in incarnations of the record that was last sent in
	// rotation.
	cursor int
	rand   *rand.Rand
	// table caches the view; nil after a change.
	table *Table
	// index caches lookups; nil after a change.
	index *index
	// ringChanged reports that observers has to be recomputed; these are the
	// relay addresses that this process's heartbeats go to.
	ringChanged bool
	observers   []netip.AddrPort
	// contacts are further relay addresses that heartbeats go to.
	contacts []netip.AddrPort
	// probes are relay addresses that a probe goes to at the next tick.
	probes []netip.AddrPort
}

// peerState holds what is known about one incarnation.
type peerState struct {
	record Record
	// lastHeard is when a heartbeat last came from the process itself.
	lastHeard time.Time
	// waitingSince is when this process, as one of its observers, started to
	// wait for its next heartbeat; zero if this process does not observe it.
	waitingSince time.Time
	// suspectedAt is when this process learned of the suspicion.
	suspectedAt time.Time
	// diedAt is when it became dead in this view.
	diedAt time.Time
}

// seed is a VM of the platform's list and the time at which it was first
// listed.
type seed struct {
	member Member
	listed time.Time
}

// reply is a heartbeat to be sent in response to a peer; echo is the number of
// the peer's probe, or zero.
type reply struct {
	to   netip.AddrPort
	echo uint32
}

// NewTracker returns a tracker for the process that self describes; its random
// choices are drawn from r.
func NewTracker(now time.Time, self Member, r *rand.Rand) *Tracker {
	return &Tracker{
		self: Record{
			Name:        self.Name,
			Zone:        self.Zone,
			Incarnation: self.Incarnation,
			Relay:       self.Relay,
			Control:     self.Control,
			Admin:       self.Admin,
			Joining:     true,
		},
		start:       now,
		members:     make(map[uint64]*peerState),
		seeds:       make(map[netip.AddrPort]*seed),
		pending:     make(map[uint64]int),
		probeNumber: r.Uint32() | 1,
		rand:        r,
		ringChanged: true,
	}
}

// AcceptUnlisted accepts heartbeats of processes that neither the platform's
// list nor another member has named: some platforms list no VMs, and no other
// member knows a process that joins. Use it only on networks that others can't
// send into.
func (t *Tracker) AcceptUnlisted() {
	t.acceptUnlisted = true
}

// AnnounceVersion sets the configuration version in force at this process and
// the digest of its document, and gossips them.
func (t *Tracker) AnnounceVersion(v config.Version, digest uint64) {
	if v == t.self.Version {
		return
	}
	t.invalidate()
	t.self.Version = v
	t.digest = digest
	t.announcements = t.retransmissions()
}

// KnownRelay reports whether datagrams from a relay address are accepted: it
// belongs to a listed VM or to a member of the view, dead ones included.
func (t *Tracker) KnownRelay(from netip.AddrPort) bool {
	_, known := t.currentIndex().relayAlive[from]
	return known || t.seeds[from] != nil
}

// KnownHost reports whether the control address of a listed VM or of a member
// has the given IP address.
func (t *Tracker) KnownHost(ip netip.Addr) bool {
	for _, s := range t.seeds {
		if s.member.Control.Addr() == ip {
			return true
		}
	}
	for _, p := range t.members {
		if p.record.Control.Addr() == ip {
			return true
		}
	}
	return false
}

// Leave marks this process as leaving and gossips that. Further calls have no
// effect.
func (t *Tracker) Leave() {
	if t.self.State == Leaving {
		return
	}
	t.self.State = Leaving
	t.announceSelf()
}

// Leaving reports whether Leave has been called.
func (t *Tracker) Leaving() bool {
	return t.self.State == Leaving
}

// Members returns all members of the view, this process first.
func (t *Tracker) Members() []Member {
	members := make([]Member, 0, len(t.incarnations)+1)
	members = append(members, memberOf(&t.self, time.Time{}))
	for _, id := range t.incarnations {
		p := t.members[id]
		members = append(members, memberOf(&p.record, p.lastHeard))
	}
	return members
}

// PlatformAge returns how long ago the platform last answered this process or
// another one that reported it, or how long this process has been running if no
// answer is known.
func (t *Tracker) PlatformAge(now time.Time) time.Duration {
	if t.platformAnswer.IsZero() {
		return now.Sub(t.start)
	}
	return now.Sub(t.platformAnswer)
}

// PlatformAnswered records that the platform answered at a time; earlier times
// than the latest known one are ignored.
func (t *Tracker) PlatformAnswered(at time.Time) {
	if at.After(t.platformAnswer) {
		t.platformAnswer = at
	}
}

// Records returns the records of all members of the view, this process first.
func (t *Tracker) Records() []Record {
	records := make([]Record, 0, len(t.incarnations)+1)
	records = append(records, t.self)
	for _, id := range t.incarnations {
		records = append(records, t.members[id].record)
	}
	return records
}

// SetVMs replaces the list of VMs that the platform reports.
func (t *Tracker) SetVMs(now time.Time, vms []config.VM) {
	t.seeded = true
	listed := make(map[netip.AddrPort]bool, len(vms))
	for i := range vms {
		m := FromVM(&vms[i])
		listed[m.Relay] = true
		if m.Name == t.self.Name {
			continue
		}
		if s := t.seeds[m.Relay]; s != nil && s.member.Name == m.Name {
			continue
		}
		t.seeds[m.Relay] = &seed{
			member: m,
			listed: now,
		}
	}
	for a := range t.seeds {
		if !listed[a] {
			delete(t.seeds, a)
		}
	}
}

// Settled reports whether every listed peer either is a living member of the
// view or has been listed for DeadAfter. Before that, a process that is missing
// from the view may well be alive.
func (t *Tracker) Settled(now time.Time) bool {
	if !t.seeded {
		return false
	}
	relayAlive := t.currentIndex().relayAlive
	for a, s := range t.seeds {
		if now.Sub(s.listed) < DeadAfter && !relayAlive[a] {
			return false
		}
	}
	return true
}

// SetContacts sets relay addresses that heartbeats go to beside those of the observers, so that
// these members can tell by SilentFor whether this one still runs.
func (t *Tracker) SetContacts(relays []netip.AddrPort) {
	t.contacts = relays
}

// SilentFor returns the time since a heartbeat last came from a member itself; zero if none
// has come yet.
func (t *Tracker) SilentFor(now time.Time, incarnation uint64) time.Duration {
	p := t.members[incarnation]
	if p == nil || p.lastHeard.IsZero() {
		return 0
	}
	return now.Sub(p.lastHeard)
}

// Probe sends a probe to each of some relay addresses at the next tick. HeardSince tells whether
// their processes have answered.
func (t *Tracker) Probe(relays []netip.AddrPort) {
	t.probes = append(t.probes, relays...)
}

// HeardSince reports whether a heartbeat has come from a member itself at or after a time.
func (t *Tracker) HeardSince(at time.Time, incarnation uint64) bool {
	p := t.members[incarnation]
	return p != nil && !p.lastHeard.IsZero() && !p.lastHeard.Before(at)
}

// ObservesSilence reports whether an alive member of the own zone that this process observes has sent
// no heartbeat for a period.
func (t *Tracker) ObservesSilence(now time.Time, period time.Duration) bool {
	for _, id := range t.currentIndex().timed {
		p := t.members[id]
		if p.record.Zone == t.self.Zone && p.record.State == Alive && !p.waitingSince.IsZero() && now.Sub(p.waitingSince) >= period {
			return true
		}
	}
	return false
}

// SetGateways lets only the first n members of each zone exchange messages with
// other zones, to save traffic between zones where it is expensive. The other
// members learn about those zones from them.
func (t *Tracker) SetGateways(n int) {
	t.gateways = n
	t.ringChanged = true
}

// SetVersion sets the version that heartbeats report, and the digest of its
// history, without gossiping them: where versions are distributed in another
// way, heartbeats only show which members have an older one.
func (t *Tracker) SetVersion(v config.Version, digest uint64) {
	t.self.Version = v
	t.digest = digest
}

// SetProbing sets whether every heartbeat is a probe, which asks its receiver
// for an answer.
func (t *Tracker) SetProbing(probing bool) {
	t.probing = probing
}

// Table returns the view as a table. The same table is returned until the view
// changes.
func (t *Tracker) Table() *Table {
	if t.table == nil {
		t.table = NewTable(t.Members())
	}
	return t.table
}

// HandleResume handles that this process was suspended from since until now:
// members are not suspected for heartbeats that it missed meanwhile.
func (t *Tracker) HandleResume(now, since time.Time) {
	pause := now.Sub(since)
	for _, p := range t.members {
		if !p.waitingSince.IsZero() {
			p.waitingSince = now
		}
		if p.record.Suspected {
			p.suspectedAt = p.suspectedAt.Add(pause)
		}
	}
	// Answers to earlier probes may be as old as the suspension.
	t.probeNumber += 2
	t.nextHeartbeat = now
}

// announceSelf gives this process's record a new sequence number and gossips
// it.
func (t *Tracker) announceSelf() {
	t.self.Sequence++
	t.announcements = t.retransmissions()
	t.invalidate()
}

func memberOf(r *Record, heard time.Time) Member {
	return Member{
		Name:        r.Name,
		Zone:        r.Zone,
		Incarnation: r.Incarnation,
		Relay:       r.Relay,
		Control:     r.Control,
		Admin:       r.Admin,
		State:       r.State,
		Suspected:   r.Suspected,
		Joining:     r.Joining,
		Version:     r.Version,
		LastHeard:   heard,
	}
}

// retransmissions returns how often one changed record is gossiped.
func (t *Tracker) retransmissions() int {
	return retransmitFactor * bits.Len(uint(len(t.members)+1))
}

func (t *Tracker) insert(id uint64, p *peerState) {
	t.members[id] = p
	i, _ := slices.BinarySearch(t.incarnations, id)
	t.incarnations = slices.Insert(t.incarnations, i, id)
	t.ringChanged = true
	t.invalidate()
}

func (t *Tracker) remove(id uint64) {
	delete(t.members, id)
	delete(t.pending, id)
	if i, ok := slices.BinarySearch(t.incarnations, id); ok {
		t.incarnations = slices.Delete(t.incarnations, i, i+1)
	}
	t.ringChanged = true
	t.invalidate()
}
