package rollout

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/member"
)

// treeMembers returns members of some zones.
func treeMembers(zones, perZone int) []member.Member {
	var members []member.Member
	for i := range zones * perZone {
		members = append(members, member.Member{
			Name:        fmt.Sprintf("lb-%d", i),
			Zone:        fmt.Sprintf("zone-%d", i%zones),
			Incarnation: uint64(i*7919 + 1),
			Relay:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % zones), byte(i >> 8), byte(i)}), 7400),
		})
	}
	return members
}

// spread lets the first member send a change that it has read, and all that get it pass it on. It returns
// the number of messages that each member has got, and the most that one has sent.
func spread(members []member.Member, leads bool, lost func(to int) bool) (got []int, most int) {
	byRelay := make(map[netip.AddrPort]int)
	for i := range members {
		byRelay[members[i].Relay] = i
	}
	got = make([]int, len(members))
	senders := []int{0}
	for len(senders) > 0 {
		i := senders[0]
		senders = senders[1:]
		targets := RelayTargets(members, &members[i], members[0].Incarnation, leads && i == 0)
		most = max(most, len(targets))
		for _, a := range targets {
			to := byRelay[a]
			if lost(to) {
				continue
			}
			got[to]++
			if got[to] == 1 {
				senders = append(senders, to)
			}
		}
	}
	return got, most
}

// TestRelayTree checks that the changes that a leading reader sends reach all members, that
// those of another reader reach its zone, and that nobody sends many messages.
func TestRelayTree(t *testing.T) {
	none := func(int) bool { return false }
	for _, test := range []struct {
		zones   int
		perZone int
	}{
		{
			zones:   1,
			perZone: 1,
		},
		{
			zones:   3,
			perZone: 2,
		},
		{
			zones:   3,
			perZone: 30,
		},
		{
			zones:   5,
			perZone: 60,
		},
	} {
		t.Run(fmt.Sprintf("%d of %d zones", test.perZone, test.zones), func(t *testing.T) {
			members := treeMembers(test.zones, test.perZone)
			got, most := spread(members, true, none)
			for i := 1; i < len(members); i++ {
				require.Positive(t, got[i], "%s", members[i].Name)
				require.LessOrEqual(t, got[i], 1+entryPoints)
			}
			require.LessOrEqual(t, most, max(fanOut+entryPoints*(test.zones-1), 2*fanOut-1))
			got, most = spread(members, false, none)
			for i := 1; i < len(members); i++ {
				want := 0
				if members[i].Zone == members[0].Zone {
					want = 1
				}
				require.Equal(t, want, got[i])
			}
			require.LessOrEqual(t, most, fanOut)
		})
	}
}

// TestRelayTreeWithoutEntryPoint checks that the loss of the message to one entry point of
// each zone costs no member the change.
func TestRelayTreeWithoutEntryPoint(t *testing.T) {
	members := treeMembers(5, 60)
	first := make(map[string]uint64)
	for _, zone := range otherZones(members, members[0].Zone) {
		first[zone] = relayOrder(members, zone, members[0].Incarnation)[0].Incarnation
	}
	lost := false
	got, _ := spread(members, true, func(to int) bool {
		m := &members[to]
		if m.Zone == members[0].Zone || first[m.Zone] != m.Incarnation {
			return false
		}
		// The first message is the reader's.
		delete(first, m.Zone)
		lost = true
		return true
	})
	require.True(t, lost)
	for i := 1; i < len(members); i++ {
		require.Positive(t, got[i], "%s", members[i].Name)
	}
}

// TestRelayTreeLeavesOutDead checks that dead members get nothing.
func TestRelayTreeLeavesOutDead(t *testing.T) {
	members := treeMembers(2, 20)
	for i := 2; i < len(members); i += 3 {
		members[i].State = member.Dead
	}
	got, _ := spread(members, true, func(int) bool { return false })
	for i := 1; i < len(members); i++ {
		require.Equal(t, members[i].State != member.Dead, got[i] > 0)
	}
}
