package directory

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// noneLapsed reports that no host's entry was deleted by mistake.
func noneLapsed(*Upstream) bool { return false }

func upstream(id string, revision uint64, change ...func(*Upstream)) Item {
	u := &Upstream{
		ID:      id,
		Service: "board",
		Zone:    "a",
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Slots:   2,
	}
	for _, f := range change {
		f(u)
	}
	return Item{
		Key: Key{
			Kind: KindUpstream,
			Name: id,
		},
		Revision: revision,
		Upstream: u,
	}
}

func deleted(id string, revision uint64) Item {
	return Item{
		Key: Key{
			Kind: KindUpstream,
			Name: id,
		},
		Revision: revision,
		Deleted:  true,
	}
}

func planOf(version, revision uint64, routes ...string) Item {
	p := &Plan{
		Version: version,
		Services: []Service{{
			Name:            "board",
			WarmupPerSecond: 5,
		}},
	}
	for _, r := range routes {
		p.Routes = append(p.Routes, Route{
			Address: netip.MustParseAddrPort(r),
			Targets: []Target{{
				Service: "board",
				Weight:  1,
			}},
		})
	}
	return Item{
		Key:      Key{Kind: KindPlan},
		Revision: revision,
		Plan:     p,
	}
}

func zoneOut(zone string, revision uint64, in bool) Item {
	return Item{
		Key: Key{
			Kind: KindZoneOut,
			Name: zone,
		},
		Revision: revision,
		Deleted:  in,
	}
}

// apply applies items as one delta from the directory's revision.
func apply(t require.TestingT, d *Directory, now time.Time, items ...Item) []Item {
	delta := &Delta{
		Base:     d.Position().Revision,
		Revision: d.Position().Revision,
		Items:    items,
	}
	for _, i := range items {
		delta.Revision = max(delta.Revision, i.Revision)
	}
	changed, err := d.Apply(now, delta)
	require.NoError(t, err)
	return changed
}

func TestApply(t *testing.T) {
	for _, test := range []struct {
		name     string
		deltas   []Delta
		err      error
		revision uint64
		ids      []string
	}{
		{
			name: "consecutive deltas",
			deltas: []Delta{
				{
					Revision: 2,
					Items:    []Item{upstream("1", 1), upstream("2", 2)},
				},
				{
					Base:     2,
					Revision: 3,
					Items:    []Item{deleted("1", 3)},
				},
			},
			revision: 3,
			ids:      []string{"2"},
		},
		{
			name: "an old delta changes nothing",
			deltas: []Delta{
				{
					Revision: 5,
					Items:    []Item{upstream("1", 1)},
				},
				{
					Revision: 4,
					Items:    []Item{upstream("2", 4)},
				},
			},
			revision: 5,
			ids:      []string{"1"},
		},
		{
			name: "a delta with a later base is a gap",
			deltas: []Delta{
				{
					Revision: 2,
					Items:    []Item{upstream("1", 1)},
				},
				{
					Base:     3,
					Revision: 4,
				},
			},
			err:      ErrRevisionGap,
			revision: 2,
			ids:      []string{"1"},
		},
		{
			name: "a complete delta deletes what it does not list",
			deltas: []Delta{
				{
					Revision: 2,
					Items:    []Item{upstream("1", 1), upstream("2", 2)},
				},
				{
					Revision: 9,
					Items:    []Item{upstream("2", 2)},
				},
			},
			revision: 9,
			ids:      []string{"2"},
		},
		{
			name: "items newer than a listing's revision stay",
			deltas: []Delta{
				{
					Revision: 2,
					Items:    []Item{upstream("1", 1), upstream("2", 7)},
				},
				{
					Revision: 5,
					Items:    []Item{upstream("1", 1)},
				},
			},
			revision: 5,
			ids:      []string{"1", "2"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := New()
			var err error
			for i := range test.deltas {
				_, err = d.Apply(start, &test.deltas[i])
			}
			require.ErrorIs(t, err, test.err)
			require.Equal(t, test.revision, d.Position().Revision)
			var ids []string
			for _, u := range d.View(start, noneLapsed).Eligible("board") {
				ids = append(ids, u.ID)
			}
			require.Equal(t, test.ids, ids)
		})
	}
}

func TestPlanVersionsNeverDecrease(t *testing.T) {
	d := New()
	apply(t, d, start, planOf(7, 1, "198.18.0.1:80", "198.18.0.2:80"))
	apply(t, d, start, planOf(5, 2, "198.18.0.3:80"))
	require.Equal(t, uint64(7), d.View(start, noneLapsed).Plan.Version)
	apply(t, d, start, Item{
		Key:      Key{Kind: KindPlan},
		Revision: 3,
		Deleted:  true,
	})
	require.Equal(t, uint64(7), d.View(start, noneLapsed).Plan.Version, "an invalid plan is ignored")
	apply(t, d, start, planOf(8, 4, "198.18.0.1:80"))
	v := d.View(start, noneLapsed)
	require.True(t, v.RouteRemoved(netip.MustParseAddrPort("198.18.0.2:80")))
	require.False(t, v.RouteRemoved(netip.MustParseAddrPort("198.18.0.9:80")), "an unknown route does not count as removed")
	apply(t, d, start, planOf(9, 5, "198.18.0.1:80", "198.18.0.2:80"))
	require.False(t, d.View(start, noneLapsed).RouteRemoved(netip.MustParseAddrPort("198.18.0.2:80")))
}

func TestDepartedHosts(t *testing.T) {
	d := New()
	apply(t, d, start, upstream("1", 1), upstream("2", 2, func(u *Upstream) { u.Draining = true }), upstream("3", 3))
	ticket := (&Upstream{ID: "1"}).Ticket()
	apply(t, d, start, deleted("1", 4), deleted("2", 5))
	v := d.View(start, noneLapsed)
	require.NotNil(t, v.ByTicket(ticket), "open flows continue")
	require.Len(t, v.Eligible("board"), 1)
	lapsed := d.View(start, func(u *Upstream) bool { return u.Lapsed })
	require.Len(t, lapsed.Eligible("board"), 2, "the draining host did not lapse")

	fresh := New()
	delta := d.Since(Position{})
	_, err := fresh.Apply(start, delta)
	require.NoError(t, err)
	require.NotNil(t, fresh.View(start, noneLapsed).ByTicket(ticket), "a new balancer learns of departed hosts from peers")

	started := New()
	apply(t, started, start, upstream("3", 3), zoneOut("z", 9, false))
	started.Merge(start, delta)
	require.NotNil(t, started.View(start, noneLapsed).ByTicket(ticket), "so does one that has read the store")

	d.Prune(start.Add(DepartedRetention))
	require.Nil(t, d.View(start, noneLapsed).ByTicket(ticket))
	require.Equal(t, uint64(0), d.Since(Position{Revision: 1}).Base, "after pruning, the delta is a complete listing")
}

func TestReturnedZonesAreCold(t *testing.T) {
	d := New()
	apply(t, d, start, planOf(1, 1), upstream("1", 2), zoneOut("a", 3, false))
	require.Empty(t, d.View(start, noneLapsed).Eligible("board"))
	apply(t, d, start, zoneOut("a", 4, true))
	back := d.View(start, noneLapsed).Eligible("board")
	require.Len(t, back, 1)
	require.True(t, back[0].Cold(start), "updates of its state may arrive after the zone's")
	require.False(t, d.View(start.Add(ReturnGracePeriod), noneLapsed).Eligible("board")[0].Cold(start.Add(ReturnGracePeriod)))
}

func TestTicketCollision(t *testing.T) {
	older := upstream("0000000100000002", 1, func(u *Upstream) { u.StartedAt = start })
	younger := upstream("0000000200000001", 2, func(u *Upstream) { u.StartedAt = start.Add(time.Second) })
	require.Equal(t, older.Upstream.Ticket(), younger.Upstream.Ticket())
	for _, order := range [][]Item{{older, younger}, {younger, older}} {
		d := New()
		for _, i := range order {
			i.Revision = d.Position().Revision + 1
			apply(t, d, start, i)
		}
		v := d.View(start, noneLapsed)
		require.Len(t, v.Eligible("board"), 1, "the younger host gets no flows")
		require.Equal(t, older.Upstream.ID, v.ByTicket(older.Upstream.Ticket()).ID)
	}
}

// TestDeltasLeadToTheSameState checks that a follower that applies a peer's deltas in
// arbitrary steps reaches the same state as the peer, which applied each change of the
// store.
func TestDeltasLeadToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := New(), New()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprintf("%x", rapid.IntRange(1, 5).Draw(t, "id"))
			next := source.Position().Revision + uint64(rapid.IntRange(1, 3).Draw(t, "revision"))
			if rapid.Bool().Draw(t, "deleted") {
				apply(t, source, start, deleted(id, next))
			} else {
				apply(t, source, start, upstream(id, next))
			}
			if rapid.Bool().Draw(t, "prune") {
				source.Prune(start.Add(DepartedRetention))
			}
			if rapid.Bool().Draw(t, "pull") {
				_, err := follower.Apply(start, source.Since(follower.Position()))
				require.NoError(t, err)
			}
		}
		_, err := follower.Apply(start, source.Since(follower.Position()))
		require.NoError(t, err)
		require.Equal(t, source.View(start, noneLapsed).Eligible("board"), follower.View(start, noneLapsed).Eligible("board"))
		require.Equal(t, source.Position().Revision, follower.Position().Revision)
	})
}
