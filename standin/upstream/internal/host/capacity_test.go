package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCapacityWarms(t *testing.T) {
	const slots = 3
	now := time.Unix(0, 0)
	c := newCapacity(slots, time.Millisecond)
	for done := range completionsPerSlot * slots {
		require.Equal(t, min(slots, 1+done/completionsPerSlot), c.limit)
		require.Equal(t, admitted, c.admit(now))
		c.complete()
	}
	require.False(t, c.cold())
	require.Equal(t, slots, c.limit)
}

func TestCapacityAdmit(t *testing.T) {
	now := time.Unix(0, 0)
	for _, tc := range []struct {
		name string
		// gaps are the times between each request and the one before it.
		gaps []time.Duration
		want []admission
	}{
		{
			name: "up to the limit",
			gaps: []time.Duration{0, 0},
			want: []admission{admitted, admitted},
		},
		{
			name: "twice the limit sheds",
			gaps: []time.Duration{0, 0, 0, 0},
			want: []admission{admitted, admitted, shed, shed},
		},
		{
			name: "more than twice the limit overloads",
			gaps: []time.Duration{0, 0, 0, 0, 0},
			want: []admission{admitted, admitted, shed, shed, overloaded},
		},
		{
			name: "sheds outside the window do not overload",
			gaps: []time.Duration{0, 0, 0, time.Second, time.Second},
			want: []admission{admitted, admitted, shed, shed, shed},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCapacity(2, time.Millisecond)
			c.limit = 2
			at := now
			for i, gap := range tc.gaps {
				at = at.Add(gap)
				require.Equal(t, tc.want[i], c.admit(at), "request %d", i)
			}
			overload := tc.want[len(tc.want)-1] == overloaded
			require.Equal(t, overload, c.paused(at))
			require.Equal(t, overload, c.cold())
			require.False(t, c.paused(at.Add(overloadPause)))
		})
	}
}
