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
			q, ok := d.Inquire(f.now, &merged, []uint64{1, 2, 3}, nil)
			require.True(t, ok)
			a := f.forwarder.Ask(f.now, q)
			require.Equal(t, test.alive, a.Alive)
			outcome, _ := d.AddAnswer(f.now, 1, Answer{
				Ticket: q.Ticket,
				ID:     q.ID,
			})
			require.Equal(t, Undecided, outcome)
			want := Undecided
			if test.alive {
				want = Refuted
			}
			outcome, _ = d.AddAnswer(f.now, 2, a)
			require.Equal(t, want, outcome, "the third balancer may refute it, too")
		})
	}
}

// TestRefusalsAreDeferred guards against resets of the last flows of a host that shuts down: it
// refuses connections while it still answers requests.
func TestRefusalsAreDeferred(t *testing.T) {
	for _, test := range []struct {
		name string
		// answers is whether the host answers a request after it has refused connections.
		answers bool
	}{
		{
			name:    "a host that shuts down",
			answers: true,
		},
		{
			name: "a host that has crashed",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			c := f.client(boardAddress).establish()
			c.request()
			f.advance(time.Second)
			d := NewDetector(1)
			merged, found := d.AddReport(f.now, 1, Report{
				Ticket:   c.host.Ticket(),
				Refusals: 1,
			}, 1)
			require.Equal(t, FoundDead, found)
			for _, first := range []bool{true, false} {
				deferred, f := d.Defer(f.now, &merged)
				require.True(t, deferred)
				require.Equal(t, first, f)
			}
			if test.answers {
				f.advance(refusalDelay / 2)
				c.acknowledgeAnswer()
				f.advance(-refusalDelay / 2)
			}
			require.Empty(t, d.Due(f.now.Add(refusalDelay-1)))
			f.advance(refusalDelay)
			due := d.Due(f.now)
			require.Len(t, due, 1)
			q, ok := d.Inquire(f.now, &due[0], []uint64{1}, nil)
			require.True(t, ok)
			require.Equal(t, refusalDelay, q.Silence)
			require.Equal(t, test.answers, f.forwarder.Ask(f.now, q).Alive)
		})
	}
}

// TestRefusalsStandBy checks that the second watcher of an upstream also waits for the last
// answers of a host that refuses connections, and that reports of silence are not put off.
func TestRefusalsStandBy(t *testing.T) {
	now := time.Now()
	d := NewDetector(1)
	d.StandBy(now, &Report{
		Ticket:   7,
		Refusals: 2,
	})
	require.Empty(t, d.Due(now.Add(refusalDelay+standbyDelay-1)))
	require.Len(t, d.Due(now.Add(refusalDelay+standbyDelay)), 1)
	deferred, _ := d.Defer(now, &Report{
		Ticket:      7,
		SilentFlows: 3,
	})
	require.False(t, deferred)
}
