package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRefusalsOfRestartedHostAreRefuted guards against resets of a host that has started again under
// its ID: refusals from before the start confirmed its death, and no progress since then could
// refute that.
func TestRefusalsOfRestartedHostAreRefuted(t *testing.T) {
	const (
		// startedAfter is the time from the first refusal to the progress of the host
		// that has started again, and reportedAfter to the second refusal's report.
		startedAfter  = 300 * time.Millisecond
		reportedAfter = 800 * time.Millisecond
	)
	for _, test := range []struct {
		name string
		// progress is when the balancer sees progress.
		progress time.Duration
		alive    bool
	}{
		{
			name:     "progress since the first refusal",
			progress: startedAfter,
			alive:    true,
		},
		{
			name:     "progress from before the refusals",
			progress: -time.Millisecond,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			c := f.client(boardAddress).establish()
			f.advance(time.Second)
			refusal := Report{
				Ticket:   c.host.Ticket(),
				Refusals: 1,
			}
			d, refusedAt := NewDetector(1), f.now
			d.AddReport(refusedAt, 1, refusal, 3)
			f.now = refusedAt.Add(test.progress)
			c.request()
			c.acknowledgeAnswer()
			f.now = refusedAt.Add(reportedAfter)
			merged, found := d.AddReport(f.now, 2, refusal, 3)
			require.Equal(t, FoundDead, found)
			q, ok := d.Inquire(f.now, &merged, []uint64{1, 2, 3})
			require.True(t, ok)
			a := f.forwarder.Ask(f.now, q)
			require.Equal(t, test.alive, a.Alive)
			require.Equal(t, Undecided, d.AddAnswer(f.now, 1, Answer{
				Ticket: q.Ticket,
				ID:     q.ID,
			}))
			want := Undecided
			if test.alive {
				want = Refuted
			}
			require.Equal(t, want, d.AddAnswer(f.now, 2, a), "the third balancer may refute it, too")
		})
	}
}
