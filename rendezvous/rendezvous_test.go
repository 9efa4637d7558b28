package rendezvous

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRemovedCandidateMovesOnlyItsKeys checks that the removal of a candidate
// moves only the keys for which it was chosen.
func TestRemovedCandidateMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfNDistinct(rapid.Uint64(), 2, 20, rapid.ID[uint64]).Draw(t, "candidates")
		key := rapid.Uint64().Draw(t, "key")
		before := best(key, candidates)
		after := best(key, candidates[1:])
		if before != candidates[0] {
			require.Equal(t, before, after)
		}
	})
}

func best(key uint64, candidates []uint64) uint64 {
	chosen := candidates[0]
	for _, c := range candidates[1:] {
		if Score(key, c) > Score(key, chosen) {
			chosen = c
		}
	}
	return chosen
}
