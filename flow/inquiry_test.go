package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// inquiryOf returns a detector of a zone with the given balancers that has just started an
// inquiry.
func inquiryOf(t *testing.T, now time.Time, silence time.Duration, balancers ...uint64) (*Detector, Inquiry) {
	t.Helper()
	d := NewDetector(1)
	merged, found := d.AddReport(now, 1, Report{
		Ticket:          7,
		SilentFlows:     3,
		Retransmissions: 3,
		Silence:         500 * time.Millisecond,
		Proven:          true,
	}, len(balancers))
	require.Equal(t, FoundDead, found)
	merged.Silence = silence
	q, ok := d.Inquire(now, &merged, balancers, nil)
	require.True(t, ok)
	_, ok = d.Inquire(now, &merged, balancers, nil)
	require.False(t, ok, "one inquiry at a time")
	return d, q
}

// TestInquiry checks which answers confirm a death.
func TestInquiry(t *testing.T) {
	zone := []uint64{1, 2, 3, 4, 5}
	for _, test := range []struct {
		name    string
		silence time.Duration
		answers []uint64
		// outcomes are those after each answer.
		outcomes []Outcome
		// overdue is whether the inquiry is confirmed at answerTimeout.
		overdue bool
	}{
		{
			name:     "all balancers answer",
			silence:  500 * time.Millisecond,
			answers:  zone,
			outcomes: []Outcome{Undecided, Undecided, Undecided, Undecided, Confirmed},
		},
		{
			name:     "two don't answer in time",
			silence:  500 * time.Millisecond,
			answers:  zone[:3],
			outcomes: []Outcome{Undecided, Undecided, Undecided},
			overdue:  true,
		},
		{
			name:     "most don't answer",
			silence:  500 * time.Millisecond,
			answers:  zone[:2],
			outcomes: []Outcome{Undecided, Undecided},
		},
		{
			name:     "an answer counts once",
			silence:  500 * time.Millisecond,
			answers:  []uint64{1, 1, 1, 9},
			outcomes: []Outcome{Undecided, Undecided, Undecided, Undecided},
		},
		{
			name:     "refused connections need half of the balancers",
			answers:  zone[:3],
			outcomes: []Outcome{Undecided, Undecided, Confirmed},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			d, q := inquiryOf(t, now, test.silence, zone...)
			for i, from := range test.answers {
				o, _ := d.AddAnswer(now, from, Answer{
					Ticket:    q.Ticket,
					ID:        q.ID,
					Unreached: true,
				})
				require.Equal(t, test.outcomes[i], o, i)
			}
			require.Empty(t, d.Overdue(now.Add(answerTimeout-1)))
			require.Equal(t, test.overdue, len(d.Overdue(now.Add(answerTimeout))) == 1)
			require.False(t, d.Waiting())
		})
	}
}

// TestOldAnswersAreIgnored checks that answers to an earlier inquiry, and those that come
// after a pause, change nothing.
func TestOldAnswersAreIgnored(t *testing.T) {
	now := time.Now()
	d, q := inquiryOf(t, now, time.Second, 1)
	answer := Answer{
		Ticket: q.Ticket,
		ID:     q.ID - 1,
	}
	outcome, _ := d.AddAnswer(now, 1, answer)
	require.Equal(t, Undecided, outcome)
	d.HandleBacklog(now, maxBacklog-1)
	require.True(t, d.Waiting())
	d.HandleBacklog(now, maxBacklog)
	answer.ID = q.ID
	outcome, _ = d.AddAnswer(now, 1, answer)
	require.Equal(t, Undecided, outcome)
	_, found := d.AddReport(now.Add(resumeGracePeriod-1), 1, Report{
		SilentFlows:     9,
		Retransmissions: 9,
		Silence:         time.Second,
	}, 1)
	require.Equal(t, FoundNothing, found, "reports may have waited, too")
}

// TestStandBy checks when the second watcher of an upstream inquires.
func TestStandBy(t *testing.T) {
	for _, test := range []struct {
		name string
		// observe tells the detector what the first watcher does.
		observe func(d *Detector, now time.Time)
		// due is when the second one inquires; zero if it does not.
		due time.Duration
	}{
		{
			name:    "the first watcher does nothing",
			observe: func(*Detector, time.Time) {},
			due:     standbyDelay,
		},
		{
			name:    "the first watcher inquires and fails",
			observe: func(d *Detector, now time.Time) { d.ObserveInquiry(now, 7) },
			due:     takeoverDelay,
		},
		{
			name: "the first watcher's inquiry is confirmed",
			observe: func(d *Detector, now time.Time) {
				d.ObserveInquiry(now, 7)
				d.ObserveConfirmation(now, 7)
			},
		},
		{
			name: "the first watcher's inquiry is refuted",
			observe: func(d *Detector, now time.Time) {
				d.ObserveInquiry(now, 7)
				d.Refute(now, Refutation{Ticket: 7})
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			d := NewDetector(1)
			r := Report{
				Ticket:          7,
				SilentFlows:     3,
				Retransmissions: 3,
				Silence:         time.Second,
			}
			merged, found := d.AddReport(now, 1, r, 3)
			require.Equal(t, FoundDead, found)
			d.StandBy(now, &merged)
			test.observe(d, now)
			if test.due == 0 {
				require.Empty(t, d.Due(now.Add(time.Second)))
				return
			}
			require.Empty(t, d.Due(now.Add(test.due-1)))
			require.Len(t, d.Due(now.Add(test.due)), 1)
			require.Empty(t, d.Due(now.Add(time.Second)))
		})
	}
}

// TestBacklogIsNoEvidence checks that a balancer that runs behind does not take its own
// backlog for the silence of an upstream.
func TestBacklogIsNoEvidence(t *testing.T) {
	f := newFixture(t, 1)
	first, second := f.client(boardAddress).establish(), f.client(boardAddress).establish()
	goSilent := func() {
		first.request()
		second.request()
		for range 3 {
			f.advance(200 * time.Millisecond)
			first.retransmit()
			second.retransmit()
			f.answerElsewhere()
		}
	}
	for _, waited := range []time.Duration{maxBacklog, time.Second} {
		f.forwarder.HandleBacklog(f.now, waited)
		goSilent()
		require.Empty(t, f.forwarder.Reports())
		require.Empty(t, f.forwarder.Resets())
	}
	f.advance(resumeGracePeriod)
	f.forwarder.HandleBacklog(f.now, maxBacklog-1)
	goSilent()
	require.NotEmpty(t, f.forwarder.Reports())
	require.NotEmpty(t, f.forwarder.Resets())
}
