package directory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLapsedRecordsDoNotHideDraining checks that a record of a host whose entry lapsed, kept
// from an earlier era, does not count as lapsed once the host has written again that it
// drains: lapsed hosts get flows while the store may have lost their entries by mistake.
func TestLapsedRecordsDoNotHideDraining(t *testing.T) {
	lapsed := func(t *testing.T) *Directory {
		t.Helper()
		d := New()
		restore(t, d, start, 1, 20, written("1", 8, 1))
		restore(t, d, start, 1, 21)
		require.Equal(t, []string{"1"}, lapseEligible(d), "the entry may be missing by mistake")
		return d
	}
	again := written("1", 12, 4, draining)
	for _, test := range []struct {
		name  string
		learn func(t *testing.T) *Directory
	}{
		{
			name: "by the new era's listing",
			learn: func(t *testing.T) *Directory {
				t.Helper()
				d := lapsed(t)
				restore(t, d, start, 2, 12, again)
				return d
			},
		},
		{
			name: "by a change of the new era",
			learn: func(t *testing.T) *Directory {
				t.Helper()
				d := lapsed(t)
				restore(t, d, start, 2, 11)
				change(t, d, start, 2, again)
				return d
			},
		},
		{
			name: "by the listing, and the record by a peer that retains it",
			learn: func(t *testing.T) *Directory {
				t.Helper()
				d, p := New(), lapsed(t)
				restore(t, p, start, 2, 12, again)
				restore(t, d, start, 2, 12, again)
				d.Merge(start, p.Since(d.Position()))
				return d
			},
		},
		{
			name: "by the listing, and the record by a peer of the old era",
			learn: func(t *testing.T) *Directory {
				t.Helper()
				d, p := New(), lapsed(t)
				restore(t, d, start, 2, 12, again)
				d.Merge(start, p.Since(Position{}))
				return d
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Empty(t, lapseEligible(test.learn(t)))
		})
	}
}

// lapseEligible returns the hosts that are eligible while lapsed ones are.
func lapseEligible(d *Directory) []string {
	var ids []string
	for _, u := range d.View(start, lapseTolerated).Eligible("board") {
		ids = append(ids, u.ID)
	}
	return ids
}
