package admission_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/admission"
)

// TestSharesFollowUtilization guards the thresholds that callers need: the most urgent
// priority finds room up to 0.9 of the limit, and the least urgent one makes it.
func TestSharesFollowUtilization(t *testing.T) {
	cases := []struct {
		name       string
		working    float64
		limit      float64
		priorities []int
		want       map[int]float64
	}{
		{
			name:       "idle hosts",
			working:    0,
			limit:      100,
			priorities: []int{0, 1},
			want:       map[int]float64{0: 1, 1: 1},
		},
		{
			name:       "half of the limit",
			working:    50,
			limit:      100,
			priorities: []int{1, 2},
			want:       map[int]float64{1: 1, 2: 1},
		},
		{
			name:       "between half and 0.9",
			working:    70,
			limit:      100,
			priorities: []int{1, 2},
			want:       map[int]float64{1: 1, 2: 0.55},
		},
		{
			name:       "0.9 of the limit",
			working:    90,
			limit:      100,
			priorities: []int{2, 1},
			want:       map[int]float64{1: 1, 2: 0.1},
		},
		{
			name:       "above the limit",
			working:    105,
			limit:      100,
			priorities: []int{1, 2},
			want:       map[int]float64{1: 0.55, 2: 0.1},
		},
		{
			name:       "far above the limit",
			working:    1000,
			limit:      100,
			priorities: []int{1, 2},
			want:       map[int]float64{1: 0.1, 2: 0.1},
		},
		{
			name:       "three priorities, with gaps and repeated",
			working:    87.5,
			limit:      100,
			priorities: []int{9, 0, 4, 4, 9},
			want:       map[int]float64{0: 1, 4: 1 - 0.9*17.5/35, 9: 1 - 0.9*37.5/40},
		},
		{
			name:       "a single priority is the most urgent",
			working:    90,
			limit:      100,
			priorities: []int{5, 5},
			want:       map[int]float64{5: 1},
		},
		{
			name:       "a missing priority",
			working:    200,
			limit:      100,
			priorities: []int{1},
			want:       map[int]float64{1: 0.1, 2: 1},
		},
		{
			name:       "no priorities",
			working:    200,
			limit:      100,
			priorities: nil,
			want:       map[int]float64{0: 1},
		},
		{
			name:       "limit not known",
			working:    200,
			limit:      0,
			priorities: []int{1, 2},
			want:       map[int]float64{1: 1, 2: 1},
		},
		{
			name:       "work not known",
			working:    math.NaN(),
			limit:      100,
			priorities: []int{1, 2},
			want:       map[int]float64{1: 1, 2: 1},
		},
		{
			name:       "work without bound",
			working:    math.Inf(1),
			limit:      100,
			priorities: []int{1, 2},
			want:       map[int]float64{1: 0.1, 2: 0.1},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := admission.SharesFor(c.working, c.limit, c.priorities)
			for p, want := range c.want {
				require.InDelta(t, want, s.Of(p), 1e-9, "priority %d", p)
			}
		})
	}
}

// TestSharesAreContinuous guards against shares that jump where a ramp starts or ends, and
// against a less urgent priority with a larger share.
func TestSharesAreContinuous(t *testing.T) {
	priorities := []int{0, 1, 2, 3}
	before := admission.Shares{}
	for w := 0.0; w < 150; w += 0.1 {
		s := admission.SharesFor(w, 100, priorities)
		for _, p := range priorities {
			require.InDelta(t, before.Of(p), s.Of(p), 0.005, "priority %d at %f", p, w)
			require.LessOrEqual(t, s.Of(p), before.Of(p)+1e-9)
			require.GreaterOrEqual(t, s.Of(p), 0.1-1e-9)
			require.LessOrEqual(t, s.Of(p), s.Of(max(p-1, 0))+1e-9)
		}
		before = s
	}
}
