package member

import (
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/config"
)

// Times of membership.
const (
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval = 500 * time.Millisecond
	// DeadAfter is how long a member may be unheard before it is taken for
	// dead.
	DeadAfter = 3 * time.Second
)

// A Tracker keeps a member view from the platform's lagging list and from
// heartbeats. It is not safe for concurrent use.
type Tracker struct {
	self    Member
	members map[netip.AddrPort]*tracked
	// seeded tells that the platform's list has been read.
	seeded bool
}

// tracked is what is known of one peer.
type tracked struct {
	member Member
	// heard is the time of the last heartbeat, or of the first listing.
	heard time.Time
}

// NewTracker returns a tracker for the process that self describes.
func NewTracker(self Member) *Tracker {
	return &Tracker{
		self:    self,
		members: make(map[netip.AddrPort]*tracked),
	}
}

// Hear takes a heartbeat of the peer at a relay address and reports whether
// the peer is listed.
func (t *Tracker) Hear(now time.Time, from netip.AddrPort, incarnation uint64, leaving bool) bool {
	p := t.members[from]
	if p == nil {
		return false
	}
	p.heard = now
	p.member.Incarnation = incarnation
	p.member.State = Alive
	if leaving {
		p.member.State = Leaving
	}
	return true
}

// Leave makes this process a leaving member.
func (t *Tracker) Leave() {
	t.self.State = Leaving
}

// Leaving reports whether this process leaves.
func (t *Tracker) Leaving() bool {
	return t.self.State == Leaving
}

// Peers returns the relay addresses of all listed peers.
func (t *Tracker) Peers() []netip.AddrPort {
	peers := make([]netip.AddrPort, 0, len(t.members))
	for a := range t.members {
		peers = append(peers, a)
	}
	return peers
}

// Settled reports whether every listed peer has been heard or had the time to
// be heard: before that, a peer that is not part of the view may well be alive.
func (t *Tracker) Settled(now time.Time) bool {
	if !t.seeded {
		return false
	}
	for _, p := range t.members {
		if p.member.Incarnation == 0 && now.Sub(p.heard) < DeadAfter {
			return false
		}
	}
	return true
}

// Seed takes the platform's list.
func (t *Tracker) Seed(now time.Time, vms []config.VM) {
	t.seeded = true
	listed := make(map[netip.AddrPort]bool, len(vms))
	for i := range vms {
		m := FromVM(&vms[i])
		listed[m.Relay] = true
		if m.Name == t.self.Name || t.members[m.Relay] != nil {
			continue
		}
		t.members[m.Relay] = &tracked{
			member: m,
			heard:  now,
		}
	}
	for a, p := range t.members {
		if !listed[a] && now.Sub(p.heard) >= DeadAfter {
			delete(t.members, a)
		}
	}
}

// Table returns the view at now. A peer without a heartbeat yet is not part of
// it.
func (t *Tracker) Table(now time.Time) *Table {
	members := make([]Member, 0, len(t.members)+1)
	members = append(members, t.self)
	for _, p := range t.members {
		m := p.member
		if m.Incarnation == 0 {
			continue
		}
		if now.Sub(p.heard) >= DeadAfter {
			m.State = Dead
		}
		members = append(members, m)
	}
	return NewTable(members)
}
