package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/admission"
)

// TestQueueKeepsItsInvariants plays random calls: every waiting request is decided exactly
// once, and the limits hold.
func TestQueueKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := admission.Limits{
			MaxRequests: rapid.IntRange(0, 10).Draw(t, "requests"),
			MaxBytes:    rapid.IntRange(0, 1000).Draw(t, "bytes"),
		}
		q := admission.NewQueue[int](limits)
		now := epoch
		waiting := map[int]int{}
		settle := func(released []admission.Released[int]) {
			for _, r := range released {
				require.Contains(t, waiting, r.ID)
				require.NotEqual(t, admission.Wait, r.Verdict)
				delete(waiting, r.ID)
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 100).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 19).Draw(t, "call") {
			case 0, 1, 2:
				q.SetShares(now, admission.SharesFor(rapid.Float64Range(0, 200).Draw(t, "working"), 100, []int{0, 1, 2}))
			case 3, 4:
				settle(q.Release(now))
			case 5:
				id := rapid.IntRange(0, 30).Draw(t, "id")
				_, ok := waiting[id]
				require.Equal(t, ok, q.Remove(id))
				delete(waiting, id)
			case 6:
				if rapid.Bool().Draw(t, "clear") {
					q.Clear()
					clear(waiting)
				} else {
					settle(q.RejectAll())
					require.Empty(t, waiting)
				}
			default:
				r := admission.Request[int]{
					ID:       rapid.IntRange(0, 30).Draw(t, "id"),
					Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
					Caller:   address(rapid.IntRange(0, 5).Draw(t, "caller")),
					Size:     rapid.IntRange(0, 400).Draw(t, "size"),
					MaxWait:  time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond,
				}
				switch q.Offer(now, r) {
				case admission.Wait:
					waiting[r.ID] = r.Size
				default:
					delete(waiting, r.ID)
				}
			}
			require.Equal(t, len(waiting) == 0, q.NextTimer().IsZero())
		}
		settle(q.Release(now))
		require.LessOrEqual(t, len(waiting), limits.MaxRequests)
		bytes := 0
		for _, size := range waiting {
			bytes += size
		}
		require.LessOrEqual(t, bytes, limits.MaxBytes)
		settle(q.Release(now.Add(time.Hour)))
		for at := q.NextTimer(); !at.IsZero(); at = q.NextTimer() {
			settle(q.Release(at))
		}
		require.Empty(t, waiting)
	})
}
