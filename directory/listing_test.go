package directory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestListingsHideNoDeletions guards against a host that stays eligible for good: the peer that
// a balancer got its changes from had listed all entries, and did not know of the host, which
// had been deleted by then.
func TestListingsHideNoDeletions(t *testing.T) {
	for _, test := range []struct {
		name string
		// listings are the revisions of the peer's complete listings.
		listings []uint64
		era      uint64
	}{
		{
			name:     "a peer that started",
			listings: []uint64{100},
			era:      1,
		},
		{
			name:     "a peer that started after a restore",
			listings: []uint64{100},
			era:      2,
		},
		{
			name:     "a peer that listed all entries again",
			listings: []uint64{80, 100},
			era:      1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			peer, d := New(), New()
			restore(t, d, start, test.era, 93, planOf(1, 5), written("1", 92, 4))
			for _, r := range test.listings {
				restore(t, peer, start, test.era, r, planOf(1, 5))
			}
			delta := peer.Since(d.Position())
			_, err := d.Apply(start, delta)
			require.NoError(t, err)
			d.Merge(start, delta)
			require.Equal(t, peer.Position(), d.Position())
			require.Empty(t, eligible(d, start))
		})
	}
}
