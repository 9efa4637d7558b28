package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRefusedClientIsKnownWhenItReturns guards against returns that count as new requests, and
// against new requests that count as returns because of an old refusal or another caller's.
func TestRefusedClientIsKnownWhenItReturns(t *testing.T) {
	now := time.Unix(1, 0)
	cases := []struct {
		name    string
		refused []attempt
		key     uint64
		after   time.Duration
		want    []attempt
	}{
		{
			name:    "never refused",
			refused: nil,
			key:     5,
			after:   10 * time.Millisecond,
			want:    []attempt{attemptFirst},
		},
		{
			name:    "refused once",
			refused: []attempt{attemptFirst},
			key:     5,
			after:   10 * time.Millisecond,
			want:    []attempt{attemptReturned, attemptFirst},
		},
		{
			name:    "refused again",
			refused: []attempt{attemptReturned},
			key:     5,
			after:   10 * time.Millisecond,
			want:    []attempt{attemptAgain, attemptFirst},
		},
		{
			name:    "refused for good",
			refused: []attempt{attemptAgain},
			key:     5,
			after:   10 * time.Millisecond,
			want:    []attempt{attemptFirst},
		},
		{
			name:    "several clients of one address",
			refused: []attempt{attemptFirst, attemptReturned, attemptFirst},
			key:     5,
			after:   10 * time.Millisecond,
			want:    []attempt{attemptReturned, attemptReturned, attemptAgain, attemptFirst},
		},
		{
			name:    "refused long ago",
			refused: []attempt{attemptFirst},
			key:     5,
			after:   60 * time.Millisecond,
			want:    []attempt{attemptFirst},
		},
		{
			name:    "another caller at the same place",
			refused: []attempt{attemptFirst},
			key:     5 + returnsSize,
			after:   10 * time.Millisecond,
			want:    []attempt{attemptFirst},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &returns{}
			for _, a := range c.refused {
				r.add(now, 5, a)
			}
			for _, want := range c.want {
				require.Equal(t, want, r.take(now.Add(c.after), c.key))
			}
		})
	}
}
