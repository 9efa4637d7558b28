package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// TestOldEntryReplacesNoLiveHost guards against resets of a living host's flows because of an
// entry that names its address: the host's own entry had lapsed while the store was away, or
// was missing in a restored store, and that of a former host was there.
func TestOldEntryReplacesNoLiveHost(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		name string
		// started and otherStarted are when the flow's host and the other one started.
		started      time.Time
		otherStarted time.Time
		// answers is whether the flow's host answers a flow after its entry is gone.
		answers bool
		want    Reason
	}{
		{
			name:         "the other host is older",
			started:      start.Add(time.Second),
			otherStarted: start,
			want:         ReasonTicket,
		},
		{
			name:         "the host answers after its entry is gone",
			started:      start,
			otherStarted: start.Add(time.Second),
			answers:      true,
			want:         ReasonTicket,
		},
		{
			name:         "the other host is younger",
			started:      start,
			otherStarted: start.Add(time.Second),
			want:         ReasonReplaced,
		},
		{
			name:    "it is not known which is younger",
			started: start,
			want:    ReasonReplaced,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.host("a0", "a", "board", func(u *directory.Upstream) { u.StartedAt = test.started })
			c, other := f.client(boardAddress).establish(), f.client(boardAddress).establish()
			f.remove("a0")
			f.host("a9", "a", "plans", func(u *directory.Upstream) {
				u.Address = c.host.Address
				u.StartedAt = test.otherStarted
			})
			f.advance(time.Second)
			if test.answers {
				other.answered()
			}
			f.advance(time.Second)
			c.request()
			f.advance(200 * time.Millisecond)
			require.Equal(t, test.want, c.retransmit().Reason)
		})
	}
}
