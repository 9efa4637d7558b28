package capacity_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
)

// boardRoute is the route of the answers below.
var boardRoute = netip.MustParseAddrPort("198.18.0.1:443")

// answer returns an answer of upstream 1, which has 4 slots.
func answer(elapsed time.Duration, working float64) capacity.Answer {
	return capacity.Answer{
		Ticket:  1,
		Service: "board",
		Route:   boardRoute,
		Time:    elapsed,
		Working: working,
		Slots:   4,
	}
}

func TestLearnerObserve(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer capacity.Answer
		want   capacity.Observation
	}{
		{
			name:   "usual",
			answer: answer(40*time.Millisecond, 1),
			want: capacity.Observation{
				Light: capacity.Cell{
					Answers: 1,
					Ratio:   1,
				},
			},
		},
		{
			name:   "half of the slots in progress is light",
			answer: answer(80*time.Millisecond, 2),
			want: capacity.Observation{
				Light: capacity.Cell{
					Answers: 1,
					Ratio:   2,
				},
			},
		},
		{
			name:   "more is loaded",
			answer: answer(80*time.Millisecond, 2.5),
			want: capacity.Observation{
				Loaded: capacity.Cell{
					Answers: 1,
					Ratio:   2,
				},
			},
		},
		{
			name:   "a queue is expected to take its time",
			answer: answer(80*time.Millisecond, 7),
			want: capacity.Observation{
				Loaded: capacity.Cell{
					Answers: 1,
					Ratio:   1,
				},
			},
		},
		{
			name:   "a wrong number of requests in progress makes nothing look fast without bound",
			answer: answer(160*time.Millisecond, 1e9),
			want: capacity.Observation{
				Loaded: capacity.Cell{
					Answers: 1,
					Ratio:   1,
				},
			},
		},
		{
			name:   "no number of requests in progress",
			answer: answer(40*time.Millisecond, math.NaN()),
			want: capacity.Observation{
				Light: capacity.Cell{
					Answers: 1,
					Ratio:   1,
				},
			},
		},
		{
			name:   "a failure is quick and counts as half of the usual time",
			answer: answer(10*time.Millisecond, 0),
			want: capacity.Observation{
				Light: capacity.Cell{
					Answers: 1,
					Ratio:   0.5,
				},
				Quick: 1,
			},
		},
		{
			name:   "a stall counts as 16 times the usual time",
			answer: answer(10*time.Second, 0),
			want: capacity.Observation{
				Light: capacity.Cell{
					Answers: 1,
					Ratio:   16,
				},
			},
		},
		{
			name:   "no time",
			answer: answer(0, 0),
		},
		{
			name:   "no slots",
			answer: capacity.Answer{Ticket: 1, Route: boardRoute, Time: time.Second},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := capacity.NewLearner()
			usual := answer(40*time.Millisecond, 0)
			// The first answers only teach the usual time.
			for range 5 {
				l.Observe(epoch, &usual)
				require.Zero(t, l.Take(1))
			}
			l.Observe(epoch, &test.answer)
			got := l.Take(1)
			require.InDelta(t, test.want.Light.Ratio, got.Light.Ratio, 1e-6)
			require.InDelta(t, test.want.Loaded.Ratio, got.Loaded.Ratio, 1e-6)
			got.Light.Ratio, got.Loaded.Ratio = test.want.Light.Ratio, test.want.Loaded.Ratio
			require.Equal(t, test.want, got)
			require.Zero(t, l.Take(1), "Take starts over")
		})
	}
}

func TestLearnerUsual(t *testing.T) {
	l := capacity.NewLearner()
	_, ok := l.Usual(boardRoute)
	require.False(t, ok)
	now := epoch
	observe := func(elapsed, length time.Duration) time.Duration {
		for end := now.Add(length); now.Before(end); now = now.Add(100 * time.Millisecond) {
			a := answer(elapsed, 0)
			l.Observe(now, &a)
		}
		usual, ok := l.Usual(boardRoute)
		require.True(t, ok)
		return usual
	}
	require.InDelta(t, 20*time.Millisecond, observe(20*time.Millisecond, 10*time.Second), float64(time.Millisecond))
	// A second of stalls moves it little, and a slower service is followed.
	require.Less(t, observe(2*time.Second, time.Second), 25*time.Millisecond)
	require.InDelta(t, 80*time.Millisecond, observe(80*time.Millisecond, time.Minute), float64(4*time.Millisecond))
	// A route without answers is forgotten.
	now = now.Add(2 * time.Minute)
	other := answer(time.Millisecond, 0)
	other.Route = netip.MustParseAddrPort("198.18.0.2:443")
	l.Observe(now, &other)
	_, ok = l.Usual(boardRoute)
	require.False(t, ok)
}

func TestLearnerAllocatesNothing(t *testing.T) {
	l := capacity.NewLearner()
	a := answer(20*time.Millisecond, 0)
	now := epoch
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		l.Observe(now, &a)
		l.Take(directory.Ticket(1))
	}))
}
