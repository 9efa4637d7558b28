package directory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDeletionsBeforeAListing checks that a directory that pulls changes from one that has
// listed all entries learns of deletions before the listing: the listing does not name them.
func TestDeletionsBeforeAListing(t *testing.T) {
	for _, test := range []struct {
		name string
		// listed are the complete deltas that the peer has got, of which none names host 2.
		listed []Delta
	}{
		{
			name: "the peer has started since",
			listed: []Delta{{
				Era:      1,
				Revision: 8,
				Items:    []Item{upstream("1", 2)},
			}},
		},
		{
			name: "the peer has listed all entries again since",
			listed: []Delta{
				{
					Era:      1,
					Revision: 2,
					Items:    []Item{upstream("1", 2)},
				},
				{
					Era:      1,
					Revision: 8,
					Items:    []Item{upstream("1", 2)},
				},
			},
		},
		{
			name: "the peer has started since from a balancer that has pruned the host",
			listed: []Delta{{
				Era:      1,
				Revision: 9,
				Items:    []Item{upstream("1", 2), zoneOut("z", 9, true)},
			}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, p := New(), New()
			// Host 2 is written at revision 5 and deleted at revision 7.
			restore(t, d, start, 1, 5, upstream("1", 2), upstream("2", 5), zoneOut("a", 4, false))
			for _, l := range test.listed {
				restore(t, p, start, l.Era, l.Revision, l.Items...)
			}
			delta := p.Since(d.Position())
			_, err := d.Apply(start, delta)
			require.NoError(t, err)
			d.Merge(start, delta)
			require.Equal(t, p.Position(), d.Position())
			require.Equal(t, []string{"1"}, eligible(d, start), "the zone is back, and host 2 gone")
		})
	}
}
