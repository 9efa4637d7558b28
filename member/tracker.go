package member

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/config"
)

// Times of membership.
const (
	// HeartbeatInterval is the time between two heartbeats to an observer.
	HeartbeatInterval = 500 * time.Millisecond
	// GossipInterval is the time between two messages with news.
	GossipInterval = 100 * time.Millisecond
	// SuspectAfter is how long an observer waits for a member's heartbeat
	// before it suspects the member.
	SuspectAfter = 1500 * time.Millisecond
	// SuspicionTimeout is how long a suspicion stands unrefuted before the member
	// is taken for dead.
	SuspicionTimeout = 1500 * time.Millisecond
	// DeadAfter is the longest time from a member's last heartbeat until its
	// observers take it for dead.
	DeadAfter = SuspectAfter + HeartbeatInterval + SuspicionTimeout
	// JoinDelay is how long a process runs before others choose it as a keeper:
	// by then they all know it.
	JoinDelay = 2 * time.Second
	// ForgetAfter is how long a dead member is remembered and tried.
	ForgetAfter = 10 * time.Minute
	// newSeedPeriod is how long a listed VM is tried at each heartbeat; one that
	// does not answer for longer is tried now and then.
	newSeedPeriod = time.Minute
)

// Sizes of messages.
const (
	// LocalObservers is the number of a member's observers in its own zone.
	LocalObservers = 2
	// RemoteObservers is the number of its observers in each other zone.
	RemoteObservers = 1
	// GossipFanout is the number of peers that a message with news goes to.
	GossipFanout = 2
	// MaxRecords is the greatest number of records of a heartbeat.
	MaxRecords = 10
	// retransmitFactor times the logarithm of the number of members is how often a
	// process passes one piece of news on.
	retransmitFactor = 3
)

// A Tracker keeps one process's view of the others. The platform's list seeds
// it; heartbeats to a constant number of observers, and news that is passed on
// at random, correct it. It is not safe for concurrent use.
type Tracker struct {
	self    Record
	digest  uint64
	start   time.Time
	members map[uint64]*peerState
	// incarnations holds the incarnations of members, in ascending incarnations.
	incarnations []uint64
	// seeds are the listed VMs, by relay address.
	seeds  map[netip.AddrPort]*seed
	seeded bool
	// pending holds what is still to be passed on, with the remaining number of
	// times.
	pending map[uint64]int
	// version counts the remaining announcements of a new version of this
	// process's own.
	announcements int
	// replies are the peers that asked for a heartbeat.
	replies []reply
	// platformAnswer is when the platformAnswer last answered anyone; zero for never.
	platformAnswer time.Time
	// probeNumber is the number that answers to this process's probes carry.
	probeNumber uint32
	// probing makes every message a probe.
	probing bool
	// acceptUnlisted makes senders known that no list names.
	acceptUnlisted bool
	// gateways is the number of members of a zone that exchange messages with
	// other zones; zero where all do.
	gateways int
	// gateway tells that this process is one of them.
	gateway       bool
	nextHeartbeat time.Time
	nextGossip    time.Time
	cursor        int
	rand          *rand.Rand
	// table is the view made last, nil where something changed since.
	table *Table
	// index is nil where something changed since it was made.
	index       *index
	ringChanged bool
	observers   []netip.AddrPort
}

// peerState is what is known of one incarnation.
type peerState struct {
	record Record
	// lastHeard is when it was last lastHeard directly.
	lastHeard time.Time
	// waitingSince is when this process began to expect its heartbeats, as one of
	// its observers; zero where it is none.
	waitingSince time.Time
	// suspectedAt is when the suspicion was first known here.
	suspectedAt time.Time
	// diedAt is when it was taken for dead.
	diedAt time.Time
}

// seed is a VM of the platform's list.
type seed struct {
	member Member
	listed time.Time
}

// reply is a heartbeat that a peer asked for.
type reply struct {
	to   netip.AddrPort
	echo uint32
}

// NewTracker returns a tracker for the process that self describes.
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

// AcceptUnlisted makes heartbeats of processes count that neither the platform's
// list nor a member has named: some platforms list no VMs, and a process that
// joins is known to nobody. Only for networks that others can't send into.
func (t *Tracker) AcceptUnlisted() {
	t.acceptUnlisted = true
}

// AnnounceVersion tells the version in force here to the others.
func (t *Tracker) AnnounceVersion(v config.Version, digest uint64) {
	if v == t.self.Version {
		return
	}
	t.invalidate()
	t.self.Version = v
	t.digest = digest
	t.announcements = t.retransmissions()
}

// Known reports whether datagrams from a relay address are accepted.
func (t *Tracker) Known(from netip.AddrPort) bool {
	_, known := t.currentIndex().relayAlive[from]
	return known || t.seeds[from] != nil
}

// KnownHost reports whether a listed VM or a member has a control address of an
// IP address.
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

// Leave announces that this process leaves.
func (t *Tracker) Leave() {
	if t.self.State == Leaving {
		return
	}
	t.self.State = Leaving
	t.announceSelf()
}

// Leaving reports whether this process leaves.
func (t *Tracker) Leaving() bool {
	return t.self.State == Leaving
}

// Members returns all processes of the view, this one first.
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
// one that passed it on, and how long this process runs where it never did.
func (t *Tracker) PlatformAge(now time.Time) time.Duration {
	if t.platformAnswer.IsZero() {
		return now.Sub(t.start)
	}
	return now.Sub(t.platformAnswer)
}

// PlatformAnswered takes the time of an answer of the platform.
func (t *Tracker) PlatformAnswered(at time.Time) {
	if at.After(t.platformAnswer) {
		t.platformAnswer = at
	}
}

// Records returns the records of all processes, with this one's.
func (t *Tracker) Records() []Record {
	records := make([]Record, 0, len(t.incarnations)+1)
	records = append(records, t.self)
	for _, id := range t.incarnations {
		records = append(records, t.members[id].record)
	}
	return records
}

// SetVMs takes the platform's list.
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

// Settled reports whether every listed peer has been heard or had the time to
// be heard: before that, a process that is not part of the view may well be
// alive.
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

// SetGateways makes only the first n members of each zone exchange messages
// with other zones, where bytes between zones are dear. Others hear of those
// zones from them.
func (t *Tracker) SetGateways(n int) {
	t.gateways = n
	t.ringChanged = true
}

// SetVersion lets heartbeats tell a version without spreading it as news: where
// versions spread by another way, heartbeats only show who is behind.
func (t *Tracker) SetVersion(v config.Version) {
	t.self.Version = v
}

// SetProbing makes every heartbeat ask for an answer while doubt is set.
func (t *Tracker) SetProbing(probing bool) {
	t.probing = probing
}

// Table returns the view; it is the same one while nobody's state changes.
func (t *Tracker) Table() *Table {
	if t.table == nil {
		t.table = NewTable(t.Members())
	}
	return t.table
}

// HandleResume tells that this process did not run from since until now: what it did
// not hear meanwhile counts against nobody.
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
	// Answers to earlier probes may be as old as the pause.
	t.probeNumber += 2
	t.nextHeartbeat = now
}

// announceSelf gives this process's record a new sequence number and spreads it.
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

// retransmissions returns how often one piece of news is passed on.
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
