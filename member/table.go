// Package member tracks the membership of the balancers by heartbeats and
// gossip, detects failed ones, and chooses the keeper of each upstream from the
// resulting view.
package member

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"
	"strings"
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/rendezvous"
)

// A State is the state of a member in this process's view.
type State uint8

// States of a member.
const (
	// Alive members receive relayed packets and keep upstreams.
	Alive State = iota
	// Leaving members finish the work in progress and are chosen for no new
	// work.
	Leaving
	// Dead members receive no relayed packets and keep no upstreams.
	Dead
)

// String returns s's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

// A Member describes one balancer in the view.
type Member struct {
	// Name is unique among members and is never reused.
	Name string
	Zone string
	// Incarnation is chosen at random by the process when it starts; zero if it
	// is not known yet.
	Incarnation uint64
	Relay       netip.AddrPort
	Control     netip.AddrPort
	Admin       netip.AddrPort
	State       State
	// Suspected reports that an observer no longer receives the member's
	// heartbeats and that the member has not refuted this yet.
	Suspected bool
	// Joining reports that the member started less than JoinDelay ago. It then
	// keeps upstreams only if its zone has no other alive member.
	Joining bool
	// Version is the configuration version that the member last reported.
	Version config.Version
	// LastHeard is when this process last received a heartbeat from the member
	// itself; zero if it never did.
	LastHeard time.Time
}

// A Table is a set of members, indexed for lookup. It is not safe for
// concurrent use.
type Table struct {
	// members is sorted by name.
	members      []Member
	incarnations map[uint64]int
	relays       map[netip.AddrPort]int
	// keepers caches the index of each upstream's keeper in members, or -1.
	keepers map[uint32]int
}

// NewTable returns a table that contains members.
func NewTable(members []Member) *Table {
	t := &Table{}
	t.Replace(members)
	return t
}

// ByIncarnation returns the member with the given incarnation; dead members are
// not found.
func (t *Table) ByIncarnation(incarnation uint64) (Member, bool) {
	i, ok := t.incarnations[incarnation]
	if !ok {
		return Member{}, false
	}
	return t.members[i], true
}

// ByRelay returns the member with relay address a; dead members are not found.
func (t *Table) ByRelay(a netip.AddrPort) (Member, bool) {
	i, ok := t.relays[a]
	if !ok {
		return Member{}, false
	}
	return t.members[i], true
}

// First reports whether no other alive member of any zone precedes a member in the
// rendezvous order of a key.
func (t *Table) First(key uint64, name string) bool {
	own := rendezvous.Score(key, nameHash(name))
	for i := range t.members {
		m := &t.members[i]
		if m.State == Alive && m.Name != name && rendezvous.Score(key, nameHash(m.Name)) > own {
			return false
		}
	}
	return true
}

// Keeper returns the member that keeps an upstream: the one with the highest
// rendezvous score among the alive members of the upstream's zone, or among all
// alive members if the zone has none. Leaving members are not chosen, and
// joining ones only if there are no others.
func (t *Table) Keeper(upstream uint32, zone string) (Member, bool) {
	i, ok := t.keepers[upstream]
	if !ok {
		i = t.chooseKeeper(upstream, zone)
		t.keepers[upstream] = i
	}
	if i < 0 {
		return Member{}, false
	}
	return t.members[i], true
}

// Members returns the members sorted by name. The caller must not modify them.
func (t *Table) Members() []Member {
	return t.members
}

// Rank returns the zero-based position of a member in the rendezvous order of a
// key among the alive members of its zone; ok is false if it is not one of
// them.
func (t *Table) Rank(key uint64, name, zone string) (rank int, ok bool) {
	own := rendezvous.Score(key, nameHash(name))
	for i := range t.members {
		m := &t.members[i]
		if m.State != Alive || m.Zone != zone {
			continue
		}
		if m.Name == name {
			ok = true
			continue
		}
		if rendezvous.Score(key, nameHash(m.Name)) > own {
			rank++
		}
	}
	return rank, ok
}

// Ranked returns the first n alive members of a zone in the rendezvous order
// of a key.
func (t *Table) Ranked(key uint64, zone string, n int) []Member {
	var ranked []Member
	for i := range t.members {
		if m := &t.members[i]; m.State == Alive && m.Zone == zone {
			ranked = append(ranked, *m)
		}
	}
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Compare(rendezvous.Score(key, nameHash(b.Name)), rendezvous.Score(key, nameHash(a.Name)))
	})
	return ranked[:min(n, len(ranked))]
}

// Gateways returns the first n members of a zone that become gateways, in that order: the living ones
// by their positions on the zone's hash ring.
func (t *Table) Gateways(zone string, n int) []Member {
	var gateways []Member
	for i := range t.members {
		if m := &t.members[i]; m.State != Dead && m.Zone == zone {
			gateways = append(gateways, *m)
		}
	}
	slices.SortFunc(gateways, func(a, b Member) int { return cmp.Compare(ringScore(a.Incarnation), ringScore(b.Incarnation)) })
	return gateways[:min(n, len(gateways))]
}

// Replace sets the members of t.
func (t *Table) Replace(members []Member) {
	t.members = slices.Clone(members)
	slices.SortFunc(t.members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	t.incarnations = make(map[uint64]int, len(members))
	t.relays = make(map[netip.AddrPort]int, len(members))
	t.keepers = make(map[uint32]int)
	for i, m := range t.members {
		if m.State == Dead {
			continue
		}
		if m.Incarnation != 0 {
			t.incarnations[m.Incarnation] = i
		}
		t.relays[m.Relay] = i
	}
}

func (t *Table) chooseKeeper(upstream uint32, zone string) int {
	accepts := []func(m *Member) bool{
		func(m *Member) bool { return m.Zone == zone && !m.Joining },
		func(m *Member) bool { return m.Zone == zone },
		func(m *Member) bool { return !m.Joining },
		func(*Member) bool { return true },
	}
	for _, accept := range accepts {
		if i := t.best(upstream, accept); i >= 0 {
			return i
		}
	}
	return -1
}

// best returns the index of the alive member with the highest score among
// those that accept allows, or -1 if there is none.
func (t *Table) best(upstream uint32, accept func(*Member) bool) int {
	best := -1
	var bestScore uint64
	for i := range t.members {
		m := &t.members[i]
		if m.State != Alive || !accept(m) {
			continue
		}
		if s := rendezvous.Score(uint64(upstream), nameHash(m.Name)); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// FromVM returns the member that corresponds to a VM of the platform's list.
func FromVM(v *config.VM) Member {
	m := Member{
		Name:    v.Name,
		Zone:    v.Zone,
		Relay:   v.Relay,
		Control: v.Control,
		Admin:   v.Admin,
	}
	if v.State == config.VMLeaving {
		m.State = Leaving
	}
	return m
}

// ringScore returns the position of a member on its zone's hash ring.
func ringScore(incarnation uint64) uint64 {
	return rendezvous.Mix(incarnation)
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
