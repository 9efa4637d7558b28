package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRehashedOpeningsResetNoLiveFlow guards against resets of a living host's flows when the
// platform moves flows to other balancers: the first packets of a few flows had come here, and
// what followed went elsewhere, so the host seemed to answer none of them.
func TestRehashedOpeningsResetNoLiveFlow(t *testing.T) {
	for _, test := range []struct {
		name string
		// rehashes are the times from one rehash to the next.
		rehashes []time.Duration
	}{
		{
			name:     "one rehash",
			rehashes: []time.Duration{0},
		},
		{
			name:     "a balancer leaves the rotation and returns",
			rehashes: []time.Duration{0, openingRetryAfter},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			idle := f.client(boardAddress).establish()
			for _, d := range test.rehashes {
				f.advance(d)
				for range 3 * deadOpenings {
					f.client(boardAddress).open()
					f.advance(time.Millisecond)
				}
			}
			f.advance(deadOpeningAge)
			f.answerElsewhere()
			f.client(boardAddress).open()
			require.Empty(t, f.forwarder.Resets())
			require.Equal(t, Forward, idle.request().Action)
		})
	}
}
