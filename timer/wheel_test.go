package timer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/timer"
)

type links []timer.Link

func (l links) Link(id uint32) *timer.Link { return &l[id] }

// TestWheel compares a wheel with a plain map: no item is due early, and none
// more than one tick late.
func TestWheel(t *testing.T) {
	const tick = 10 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		w := timer.NewWheel(make(links, 20), tick, 8)
		model := make(map[uint32]time.Duration)
		var now time.Duration
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			id := rapid.Uint32Range(0, 19).Draw(t, "id")
			after := time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				w.Set(id, now+after)
				model[id] = now + after
			case 2:
				w.Clear(id)
				delete(model, id)
			default:
				now += after
				w.Advance(now, func(id uint32) {
					at, ok := model[id]
					require.True(t, ok, "item %d expired but is not set", id)
					require.LessOrEqual(t, at, now)
					delete(model, id)
				})
				for id, at := range model {
					require.Greater(t, at+2*tick, now, "item %d is late", id)
				}
			}
			require.Equal(t, len(model), w.Len())
		}
	})
}
