package ring

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRingRefusesWhenFull(t *testing.T) {
	r := New[int](2)
	require.True(t, r.Offer(1))
	require.True(t, r.Offer(2))
	require.False(t, r.Offer(3))
	require.EqualValues(t, 1, r.Refused())
	require.Equal(t, 2, r.Len())
	require.Equal(t, 1, <-r.C())
	require.True(t, r.Offer(4))
}
