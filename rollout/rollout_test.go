package rollout

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/member"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func snapshot(t require.TestingT, v config.Version, zones int) *config.Snapshot {
	d := &config.Document{Keys: []config.Key{{
		ID:     1,
		Secret: make([]byte, config.MinSecretSize),
	}}}
	for i := range zones {
		d.Zones = append(d.Zones, config.Zone{
			Name:   fmt.Sprintf("zone-%d", i),
			Region: "region",
			State:  config.ZoneIn,
		})
	}
	s, err := config.NewSnapshot(v, d)
	require.NoError(t, err)
	return s
}

func patch(base config.Version, zone int, state config.ZoneState) config.Patch {
	return config.Patch{
		Base: base,
		Operations: []config.Operation{{PutZone: &config.Zone{
			Name:   fmt.Sprintf("zone-%d", zone),
			Region: "region",
			State:  state,
		}}},
	}
}

// TestHistoryLeadsToTheVersionInForce checks that a peer's answer always leads
// to the peer's document, complete and never to an older version, whichever
// versions the process has skipped.
func TestHistoryLeadsToTheVersionInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ahead, behind := &History{}, &History{}
		s := snapshot(t, 1, 3)
		ahead.Add(s, nil)
		behind.Add(s, nil)
		current := s
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			p := patch(s.Version, rapid.IntRange(0, 2).Draw(t, "zone"), rapid.SampledFrom([]config.ZoneState{config.ZoneIn, config.ZoneOut}).Draw(t, "state"))
			next, err := s.Apply(&p)
			require.NoError(t, err)
			s = next
			patches := []config.Patch{p}
			if rapid.IntRange(0, 9).Draw(t, "whole") == 0 {
				patches = nil
			}
			ahead.Add(s, patches)
			if rapid.Bool().Draw(t, "pull") {
				version, digest := behind.Current()
				got := ahead.Since(version, digest)
				require.NoError(t, got.Check())
				require.Less(t, current.Version, got.Version)
				current, err = got.ApplyTo(current)
				require.NoError(t, err)
				require.Equal(t, s.Version, current.Version)
				require.Equal(t, s.Document.Digest(), current.Document.Digest())
				behind.Add(current, got.Patches)
			}
		}
		version, digest := ahead.Current()
		require.Nil(t, ahead.Since(version, digest))
		require.Nil(t, ahead.Since(version+1, digest))
	})
}

func TestHistoryOfAnotherDocument(t *testing.T) {
	s := snapshot(t, 1, 3)
	h := &History{}
	h.Add(s, nil)
	p := patch(1, 0, config.ZoneOut)
	next, err := s.Apply(&p)
	require.NoError(t, err)
	h.Add(next, []config.Patch{p})
	require.Len(t, h.Since(1, s.Document.Digest()).Patches, 1)
	other := h.Since(1, s.Document.Digest()+1)
	require.Nil(t, other.Patches)
	require.NotNil(t, other.Document)
}

func TestPuller(t *testing.T) {
	a := netip.MustParseAddrPort("10.0.0.1:7401")
	b := netip.MustParseAddrPort("10.0.0.2:7401")
	p := &Puller{}
	_, ok := p.Next(epoch, 3)
	require.False(t, ok, "no offers")
	p.Offer(epoch, a, 3)
	_, ok = p.Next(epoch, 3)
	require.False(t, ok, "only an offer of the same version")
	p.Offer(epoch, a, 5)
	p.Offer(epoch, b, 4)
	peer, ok := p.Next(epoch, 3)
	require.True(t, ok)
	require.Equal(t, a, peer, "the highest version")
	_, ok = p.Next(epoch, 3)
	require.False(t, ok, "one call at a time")
	p.Done(epoch, a, false)
	_, ok = p.Next(epoch, 3)
	require.False(t, ok, "the delay after a failed call")
	peer, ok = p.Next(epoch.Add(PullRetryDelay), 3)
	require.True(t, ok)
	require.Equal(t, b, peer, "another peer after a failed call")
	peer, ok = p.Next(epoch.Add(PullRetryDelay+PullTimeout), 3)
	require.False(t, ok, "the offers have expired: %v", peer)
}

func TestReads(t *testing.T) {
	var members []member.Member
	for i := range 9 {
		members = append(members, member.Member{
			Name:  fmt.Sprintf("lb-%d", i),
			Zone:  fmt.Sprintf("zone-%d", i/8),
			Relay: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7400),
		})
	}
	count := func(members []member.Member, age time.Duration) int {
		table := member.NewTable(members)
		n := 0
		for _, m := range members {
			if m.Zone == "zone-0" && m.State == member.Alive && Reads(table, m.Name, m.Zone, age, true) {
				n++
			}
		}
		return n
	}
	require.Equal(t, Readers, count(members, 0))
	require.Equal(t, Readers+1, count(members, StandbyAfter))
	require.Equal(t, MaxReaders, count(members, 100*StandbyAfter))
	for i := range 8 {
		withDead := append([]member.Member(nil), members...)
		withDead[i].State = member.Dead
		require.Equal(t, Readers, count(withDead, 0), "another member replaces reader %s", withDead[i].Name)
	}
	table := member.NewTable(members)
	require.True(t, Reads(table, "lb-8", "zone-1", 0, true), "the only member of its zone")
	require.True(t, Reads(table, "lb-new", "zone-0", 0, true), "not part of the view")
	require.True(t, Reads(table, "lb-0", "zone-0", 0, false), "no configuration")
}

// TestSubstitutesTryInTurns guards against a zone that learns of nothing since the members which read the
// platform have no path to it, while others have: all must try, and only a few at a time.
func TestSubstitutesTryInTurns(t *testing.T) {
	policy := ReaderPolicy{
		Readers:      1,
		MaxReaders:   4,
		StandbyAfter: 3 * time.Second,
		Substitutes:  3,
	}
	for _, size := range []int{1, 3, 4, 5, 7, 8, 60} {
		var members []member.Member
		for i := range size {
			members = append(members, member.Member{
				Name:  fmt.Sprintf("lb-%d", i),
				Zone:  "zone-0",
				Relay: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7400),
			})
		}
		table := member.NewTable(members)
		readers := func(age time.Duration) []string {
			var names []string
			for _, m := range members {
				if policy.Reads(table, m.Name, m.Zone, age, true) {
					names = append(names, m.Name)
				}
			}
			return names
		}
		require.Len(t, readers(0), policy.Readers)
		turnsBegin := 4 * policy.StandbyAfter
		require.Len(t, readers(turnsBegin-1), min(size, policy.MaxReaders))
		turns := (size - policy.MaxReaders + policy.Substitutes - 1) / policy.Substitutes
		for _, from := range []time.Duration{turnsBegin, turnsBegin + 10*time.Minute} {
			tried := make(map[string]bool)
			for turn := range max(turns, 1) {
				now := readers(from + time.Duration(turn)*policy.StandbyAfter)
				require.LessOrEqual(t, len(now), policy.MaxReaders+policy.Substitutes)
				for _, name := range now {
					tried[name] = true
				}
			}
			require.Len(t, tried, size, "all have tried")
		}
	}
}

// TestLeads checks that one reader of all zones leads, that another one replaces it when it
// has failed, and that a zone which sees no other one has a leader.
func TestLeads(t *testing.T) {
	const zones = 5
	var members []member.Member
	for i := range 40 {
		members = append(members, member.Member{
			Name:  fmt.Sprintf("lb-%d", i),
			Zone:  fmt.Sprintf("zone-%d", i%zones),
			Relay: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7400),
		})
	}
	policy := ReaderPolicy{
		Readers:    1,
		MaxReaders: 1,
	}
	leader := func(members []member.Member) int {
		table, found := member.NewTable(members), -1
		for i, m := range members {
			if m.State == member.Alive && Leads(table, m.Name) {
				require.Negative(t, found, "one leader")
				require.True(t, policy.Reads(table, m.Name, m.Zone, 0, true), "the leader reads")
				found = i
			}
		}
		require.GreaterOrEqual(t, found, 0)
		return found
	}
	first := leader(members)
	members[first].State = member.Dead
	second := leader(members)
	require.NotEqual(t, first, second)
	members[first].State = member.Alive
	for i := range members {
		if members[i].Zone == members[first].Zone {
			continue
		}
		members[i].State = member.Dead
	}
	require.Equal(t, first, leader(members))
	for i := range members {
		members[i].State = member.Dead
		if members[i].Zone == members[second].Zone {
			members[i].State = member.Alive
		}
	}
	require.Equal(t, members[second].Zone, members[leader(members)].Zone, "a zone that is cut off")
	require.True(t, Leads(member.NewTable(nil), "lb-new"), "a view without members")
}

// TestReplaces checks which candidates read the platform because others before them are silent: as
// many as there are readers, and none behind the candidates.
func TestReplaces(t *testing.T) {
	policy := ReaderPolicy{
		Readers:    1,
		MaxReaders: 3,
	}
	var members []member.Member
	for i := range 8 {
		members = append(members, member.Member{
			Name:  fmt.Sprintf("lb-%d", i),
			Zone:  fmt.Sprintf("zone-%d", i/6),
			Relay: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7400),
		})
	}
	table := member.NewTable(members)
	candidates := policy.Candidates(table, "zone-0")
	require.Len(t, candidates, policy.MaxReaders)
	for _, test := range []struct {
		name string
		// silent are the ranks of the silent candidates, and reads those that read.
		silent []int
		reads  []int
	}{
		{
			name:  "all run",
			reads: []int{0},
		},
		{
			name:   "the reader is silent",
			silent: []int{0},
			reads:  []int{0, 1},
		},
		{
			name:   "the second one is silent",
			silent: []int{1},
			reads:  []int{0},
		},
		{
			name:   "all others are silent",
			silent: []int{0, 1, 2},
			reads:  []int{0, 1, 2},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			silent := func(m *member.Member) bool {
				return slices.ContainsFunc(test.silent, func(rank int) bool { return candidates[rank].Name == m.Name })
			}
			for _, m := range members[:6] {
				rank := slices.IndexFunc(candidates, func(c member.Member) bool { return c.Name == m.Name })
				require.Equal(t, slices.Contains(test.reads, rank), policy.Replaces(table, m.Name, m.Zone, silent), m.Name)
			}
		})
	}
}
