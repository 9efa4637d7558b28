package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lapseTolerated is a view's lapsed function during an outage, and right after a restore.
func lapseTolerated(u *Upstream) bool { return u.Lapsed }

// TestLeftHostsNeverCountAsLapsed checks that a host of which a directory knows, by itself or
// by a peer, that it announced to leave does not count as lapsed once its entry is deleted:
// lapsed hosts get flows while the store may have lost their entries by mistake.
func TestLeftHostsNeverCountAsLapsed(t *testing.T) {
	for _, test := range []struct {
		name string
		// known is the host before the restore, and peer the directory that the others
		// learn of the new era from.
		known Item
		peer  func(t *testing.T) *Directory
	}{
		{
			name:  "only the peer has seen it drain, in the new era",
			known: written("1", 20, 4),
			peer: func(t *testing.T) *Directory {
				t.Helper()
				p := New()
				restore(t, p, start, 2, 10, written("1", 8, 4))
				change(t, p, start, 2, written("1", 11, 5, draining))
				change(t, p, start, 2, deleted("1", 12))
				return p
			},
		},
		{
			name:  "the peer has not seen it drain, as it started from the copy",
			known: written("1", 20, 5, draining),
			peer: func(t *testing.T) *Directory {
				t.Helper()
				p := New()
				restore(t, p, start, 2, 10, written("1", 8, 4))
				change(t, p, start, 2, deleted("1", 11))
				return p
			},
		},
	} {
		for _, entry := range []string{"the peer's delta", "the store's listing"} {
			t.Run(test.name+", "+entry, func(t *testing.T) {
				d, p := New(), test.peer(t)
				restore(t, d, start, 1, 20, test.known)
				if entry == "the store's listing" {
					restore(t, d, start, 2, 10, written("1", 8, 4))
				}
				delta := p.Since(d.Position())
				_, err := d.Apply(start, delta)
				require.NoError(t, err)
				d.Merge(start, delta)
				require.Empty(t, d.View(start, lapseTolerated).Eligible("board"))
			})
		}
	}
}

// TestLongDepartedHostsDepartThen checks that a directory that enters an era late takes over
// when a host departed, as its peer knows it: it may not count as just lapsed.
func TestLongDepartedHostsDepartThen(t *testing.T) {
	d, p := New(), New()
	restore(t, d, start, 1, 20, written("1", 20, 4))
	restore(t, p, start, 3, 10, written("1", 8, 4))
	change(t, p, start, 3, deleted("1", 11))
	now := start.Add(DepartedRetention / 2)
	delta := p.Since(d.Position())
	_, err := d.Apply(now, delta)
	require.NoError(t, err)
	d.Merge(now, delta)
	u := d.View(now, noneLapsed).ByTicket((&Upstream{ID: "1"}).Ticket())
	require.NotNil(t, u)
	require.Equal(t, start, u.DepartedAt, "departed %v ago at the peer", now.Sub(start))
}

// TestDrainedHostStaysOutWithinAnEra checks the same without a restore: a directory that has
// seen a host drain ignores that a peer, which missed that in a listing, takes it for lapsed.
func TestDrainedHostStaysOutWithinAnEra(t *testing.T) {
	d, p := New(), New()
	restore(t, d, start, 1, 20, written("1", 20, 5, draining))
	restore(t, p, start, 1, 19, written("1", 19, 4))
	restore(t, p, start.Add(time.Second), 1, 30)
	_, err := d.Apply(start, p.Since(d.Position()))
	require.NoError(t, err)
	require.Empty(t, d.View(start, lapseTolerated).Eligible("board"))
}
