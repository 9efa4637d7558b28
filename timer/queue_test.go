package timer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A recorder is a Handler that records the keys that expire.
type recorder struct {
	keys []uint64
}

func (r *recorder) Expire(_ time.Time, key uint64) {
	r.keys = append(r.keys, key)
}

func TestQueueOrder(t *testing.T) {
	start := time.Unix(0, 0)
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		r := &recorder{}
		delays := rapid.SliceOf(rapid.Int64Range(0, 100)).Draw(t, "delays")
		for i, d := range delays {
			q.Subscribe(start.Add(time.Duration(d)), r, uint64(i))
		}
		limit := rapid.Int64Range(0, 100).Draw(t, "limit")
		due := 0
		for _, d := range delays {
			if d <= limit {
				due++
			}
		}
		require.Equal(t, due, q.Advance(start.Add(time.Duration(limit))))
		require.Len(t, r.keys, due)
		require.Equal(t, len(delays)-due, q.Len())
		for i := 1; i < due; i++ {
			before, after := r.keys[i-1], r.keys[i]
			require.LessOrEqual(t, delays[before], delays[after])
			if delays[before] == delays[after] {
				require.Less(t, before, after)
			}
		}
	})
}
