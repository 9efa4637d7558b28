package directory

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// written returns an upstream that its host has written for the n-th time.
func written(id string, revision uint64, n int64, change ...func(*Upstream)) Item {
	return upstream(id, revision, append(change, func(u *Upstream) { u.Sequence = n })...)
}

func draining(u *Upstream) { u.Draining = true }

// restore applies a complete listing of an era.
func restore(t *testing.T, d *Directory, now time.Time, era, revision uint64, items ...Item) {
	t.Helper()
	_, err := d.Apply(now, &Delta{
		Era:      era,
		Revision: revision,
		Items:    items,
	})
	require.NoError(t, err)
	require.Equal(t, Position{
		Era:      era,
		Revision: revision,
	}, d.Position())
}

// change applies one change of an era.
func change(t *testing.T, d *Directory, now time.Time, era uint64, item Item) {
	t.Helper()
	_, err := d.Apply(now, &Delta{
		Era:      era,
		Base:     item.Revision - 1,
		Revision: item.Revision,
		Items:    []Item{item},
	})
	require.NoError(t, err)
}

func eligible(d *Directory, now time.Time) []string {
	var ids []string
	for _, u := range d.View(now, noneLapsed).Eligible("board") {
		ids = append(ids, u.ID)
	}
	return ids
}

// TestRestoredStore checks what is in force after a store has come back from a copy: right
// after the listing, after changes of the new era, and after RetentionPeriod.
func TestRestoredStore(t *testing.T) {
	otherAddress := func(u *Upstream) { u.Address = netip.MustParseAddrPort("10.0.0.2:80") }
	bornLater := func(u *Upstream) { u.StartedAt = start.Add(time.Minute) }
	for _, test := range []struct {
		name string
		// known are the items before the restore, at revision 20 of era 1.
		known []Item
		// copied are those of the copy, at revision 10 of era 2, and changes follow.
		copied  []Item
		changes []Item
		plan    uint64
		// hosts are eligible after the changes, and settled after RetentionPeriod.
		hosts   []string
		settled []string
	}{
		{
			name:    "a plan that the copy lacks stays in force",
			known:   []Item{planOf(9, 20)},
			copied:  []Item{planOf(5, 8)},
			changes: []Item{planOf(7, 11)},
			plan:    9,
		},
		{
			name:    "a plan written again at a lower revision, and the next one",
			known:   []Item{planOf(9, 20)},
			copied:  []Item{planOf(5, 8)},
			changes: []Item{planOf(9, 11), planOf(12, 12)},
			plan:    12,
		},
		{
			name:    "an invalid plan in the copy",
			known:   []Item{planOf(9, 20)},
			copied:  []Item{{Key: Key{Kind: KindPlan}, Revision: 8, Deleted: true}},
			changes: []Item{planOf(12, 11)},
			plan:    12,
		},
		{
			name:    "a host that is written at a lower revision than before",
			known:   []Item{written("1", 19, 4)},
			copied:  []Item{written("1", 8, 2)},
			changes: []Item{written("1", 11, 6, draining)},
		},
		{
			name:   "a draining host that is ready in the copy",
			known:  []Item{written("1", 19, 4, draining)},
			copied: []Item{written("1", 8, 2)},
			// A host that had left would have lapsed by then.
			settled: []string{"1"},
		},
		{
			name:    "a host that left is in the copy, and lapses there",
			known:   []Item{written("1", 8, 4), deleted("1", 20)},
			copied:  []Item{written("1", 8, 4)},
			changes: []Item{deleted("1", 11)},
		},
		{
			name:    "a host that left is in the copy, and is written again",
			known:   []Item{written("1", 8, 4), deleted("1", 20)},
			copied:  []Item{written("1", 8, 4)},
			changes: []Item{written("1", 11, 5)},
			hosts:   []string{"1"},
			settled: []string{"1"},
		},
		{
			name:    "a host that was born again has written in the new era",
			known:   []Item{written("1", 19, 40, draining)},
			copied:  []Item{written("1", 9, 1, bornLater)},
			hosts:   []string{"1"},
			settled: []string{"1"},
		},
		{
			name:    "a host that the copy lacks is written again",
			known:   []Item{written("1", 19, 4)},
			changes: []Item{written("1", 11, 6)},
			hosts:   []string{"1"},
			settled: []string{"1"},
		},
		{
			name:    "a value at a revision that was given out before",
			known:   []Item{{Key: Key{Kind: KindUpstream, Name: "1"}, Revision: 11, Deleted: true}},
			changes: []Item{written("1", 11, 1)},
			hosts:   []string{"1"},
			settled: []string{"1"},
		},
		{
			name:    "a zone that was put back is out in the copy",
			known:   []Item{written("1", 8, 4), zoneOut("a", 20, true)},
			copied:  []Item{written("1", 8, 4), zoneOut("a", 9, false)},
			changes: []Item{zoneOut("a", 11, true)},
			hosts:   []string{"1"},
			settled: []string{"1"},
		},
		{
			name:    "a zone out that the copy lacks, and nobody writes again",
			known:   []Item{written("1", 8, 4), zoneOut("a", 20, false)},
			copied:  []Item{written("1", 8, 4)},
			settled: []string{"1"},
		},
		{
			name:    "a zone out that the copy lacks, and that is written again",
			known:   []Item{written("1", 8, 4), zoneOut("a", 20, false)},
			copied:  []Item{written("1", 8, 4)},
			changes: []Item{zoneOut("a", 11, false)},
		},
		{
			name:    "an address that has gone to a younger host since the copy",
			known:   []Item{written("1", 8, 4), deleted("1", 18), written("2", 20, 1, bornLater)},
			copied:  []Item{written("1", 8, 4, otherAddress)},
			changes: []Item{written("2", 11, 3, bornLater), deleted("1", 12)},
			hosts:   []string{"2"},
			settled: []string{"2"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := New()
			for _, i := range test.known {
				_, err := d.Apply(start, &Delta{
					Era:      1,
					Base:     d.Position().Revision,
					Revision: i.Revision,
					Items:    []Item{i},
				})
				require.NoError(t, err)
			}
			_, err := d.Apply(start, &Delta{
				Era:      1,
				Base:     d.Position().Revision,
				Revision: 20,
			})
			require.NoError(t, err)
			restore(t, d, start, 2, 10, test.copied...)
			for _, i := range test.changes {
				change(t, d, start, 2, i)
			}
			v := d.View(start, noneLapsed)
			if test.plan > 0 {
				require.Equal(t, test.plan, v.Plan.Version)
			}
			require.Equal(t, test.hosts, eligible(d, start))
			later := start.Add(RetentionPeriod)
			d.Settle(later, later)
			require.Equal(t, test.settled, eligible(d, later))
		})
	}
}

// TestOldErasNeverReturn checks that nothing of an earlier era is applied, whatever its
// revision, and that a new era needs a complete listing.
func TestOldErasNeverReturn(t *testing.T) {
	d := New()
	restore(t, d, start, 2, 10, written("1", 8, 4))
	_, err := d.Apply(start, &Delta{
		Era:      3,
		Base:     10,
		Revision: 11,
	})
	require.ErrorIs(t, err, ErrRevisionGap)
	for _, delta := range []Delta{
		{
			Era:      1,
			Revision: 40,
			Items:    []Item{written("9", 40, 1)},
		},
		{
			Era:      1,
			Base:     10,
			Revision: 40,
			Items:    []Item{deleted("1", 40)},
		},
	} {
		_, err := d.Apply(start, &delta)
		require.NoError(t, err)
		require.Equal(t, []string{"1"}, eligible(d, start))
	}
	require.Equal(t, Position{
		Era:      2,
		Revision: 10,
	}, d.Position())
}

// TestUnknownEra checks that peers that tell no era are followed until the store is
// restored, since old builds tell none.
func TestUnknownEra(t *testing.T) {
	d := New()
	apply(t, d, start, written("1", 5, 1))
	restore(t, d, start, 1, 5, written("1", 5, 1))
	apply(t, d, start, written("2", 6, 1))
	require.Equal(t, []string{"1", "2"}, eligible(d, start))
	restore(t, d, start, 2, 5, written("1", 5, 1))
	apply(t, d, start, written("3", 9, 1))
	require.Equal(t, []string{"1"}, eligible(d, start))
}

// TestPeersAgreeAfterRestores checks that a balancer that enters an era by a peer's delta
// takes over what the peer retains, and that a starting one does even if it has read the
// copy first.
func TestPeersAgreeAfterRestores(t *testing.T) {
	copied := []Item{planOf(5, 3), written("1", 8, 2)}
	source, behind, started := New(), New(), New()
	restore(t, source, start, 1, 20, planOf(9, 20), written("1", 19, 4, draining))
	restore(t, behind, start, 1, 8, copied...)
	restore(t, source, start, 2, 10, copied...)
	restore(t, started, start, 2, 10, copied...)
	for _, d := range []*Directory{behind, started} {
		delta := source.Since(d.Position())
		_, err := d.Apply(start, delta)
		require.NoError(t, err)
		d.Merge(start, delta)
		require.Equal(t, source.Position(), d.Position())
		require.Equal(t, uint64(9), d.View(start, noneLapsed).Plan.Version)
		require.Empty(t, eligible(d, start))
		d.Settle(start.Add(RetentionPeriod), start.Add(RetentionPeriod))
		require.Equal(t, []string{"1"}, eligible(d, start), "the host is alive, as its entry has not lapsed")
	}
	lagging := New()
	restore(t, lagging, start, 1, 30, planOf(11, 30))
	delta := lagging.Since(source.Position())
	_, err := source.Apply(start, delta)
	require.NoError(t, err)
	source.Merge(start, lagging.Since(Position{}))
	require.Equal(t, uint64(11), source.View(start, noneLapsed).Plan.Version, "a confirmed plan counts from any era")
}

// TestRetentionLeavesAHost guards against a service that refuses everybody after a restore,
// because zones out and hosts retained from before it leave no eligible host, although the
// store lists some.
func TestRetentionLeavesAHost(t *testing.T) {
	for _, test := range []struct {
		name     string
		known    []Item
		copied   []Item
		fallback int
	}{
		{
			name:     "a zone out",
			known:    []Item{written("1", 8, 4), zoneOut("a", 20, false)},
			copied:   []Item{written("1", 8, 4)},
			fallback: 1,
		},
		{
			name:     "a host that had left",
			known:    []Item{written("1", 19, 4, draining)},
			copied:   []Item{written("1", 8, 2)},
			fallback: 1,
		},
		{
			name:   "a zone out in the copy, too",
			known:  []Item{written("1", 19, 4, draining)},
			copied: []Item{written("1", 8, 2), zoneOut("a", 9, false)},
		},
		{
			name:   "another host is eligible",
			known:  []Item{written("1", 19, 4, draining), written("2", 7, 1)},
			copied: []Item{written("1", 8, 2), written("2", 7, 1)},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := New()
			restore(t, d, start, 1, 20, test.known...)
			require.Empty(t, d.View(start, noneLapsed).Fallback("board"))
			restore(t, d, start, 2, 10, test.copied...)
			v := d.View(start, noneLapsed)
			require.Len(t, v.Fallback("board"), test.fallback)
		})
	}
}
