package upstream_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/upstream"
	"filbertworks.example/filbertworks/verdict"
)

// capacity returns the requests per second that a warm host answers.
func (s *simulation) capacity() float64 {
	return float64(s.host.slots) / s.work.Seconds()
}

func TestLimiterColdStart(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(r, "slots")
		work := time.Duration(rapid.IntRange(5, 200).Draw(r, "work")) * time.Millisecond
		s := newSimulation(rapid.Uint64().Draw(r, "seed"), slots, work)
		s.host.warming = rapid.IntRange(1, 40).Draw(r, "warming")
		s.run(time.Duration(rapid.IntRange(1, 30).Draw(r, "time"))*time.Second, rapid.Float64Range(0.1, 5).Draw(r, "load")*s.capacity())
		require.Zero(r, s.host.overloads)
		require.LessOrEqual(r, s.maxPending, slots)
	})
}

func TestLimiterReachesAllSlots(t *testing.T) {
	// The limit must reach all slots in the time that 8 answers for each
	// increase take, at the concurrency before that increase, and the same time
	// again for refused requests.
	for _, slots := range []int{2, 4, 16} {
		s := newSimulation(7, slots, 20*time.Millisecond)
		var due time.Duration
		for n := 1; n < slots; n++ {
			due += 2 * upstream.AnswersPerIncrease * s.work / time.Duration(n)
		}
		s.run(due, 10*s.capacity())
		require.EqualValues(t, slots, s.limiter.Limit(), "slots %d", slots)
	}
}

func TestLimiterSilentRestart(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(r, "slots")
		work := time.Duration(rapid.IntRange(5, 100).Draw(r, "work")) * time.Millisecond
		load := rapid.Float64Range(0.05, 5).Draw(r, "load")
		s := newSimulation(rapid.Uint64().Draw(r, "seed"), slots, work)
		for range rapid.IntRange(1, 3).Draw(r, "restarts") {
			s.run(time.Duration(rapid.IntRange(500, 15000).Draw(r, "time"))*time.Millisecond, load*s.capacity())
			s.host.restart()
		}
		s.run(10*time.Second, load*s.capacity())
		require.Zero(r, s.host.overloads)
		require.LessOrEqual(r, s.maxPending, slots)
	})
}

func TestLimiterCapacityLossUnderLoad(t *testing.T) {
	// A host that turns cold with more than twice its new limit in flight is
	// overloaded without any new request; it must crash at most once.
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(2, 16).Draw(r, "slots")
		s := newSimulation(rapid.Uint64().Draw(r, "seed"), slots, 20*time.Millisecond)
		load := rapid.Float64Range(0.1, 3).Draw(r, "load")
		s.run(10*time.Second, load*s.capacity())
		s.host.goCold()
		s.run(20*time.Second, load*s.capacity())
		require.LessOrEqual(r, s.host.overloads, 1)
	})
}

func TestLimiterOverload(t *testing.T) {
	s := newSimulation(3, 4, 20*time.Millisecond)
	s.run(5*time.Second, s.capacity())
	s.done = 0
	s.run(60*time.Second, 3*s.capacity())
	require.GreaterOrEqual(t, float64(s.done), 0.5*60*s.capacity())
}

func TestLimiterHold(t *testing.T) {
	u := &config.Upstream{
		Slots:       4,
		Connections: 8,
	}
	now := time.Unix(0, 0)
	l := upstream.NewLimiter(u, upstream.WithHold(2*time.Second, 5*time.Second))
	require.Equal(t, verdict.ReasonCold, l.AdmitRequest(now))
	for range 2 {
		require.Equal(t, verdict.ReasonNone, l.AdmitWatch(now))
	}
	require.Equal(t, verdict.ReasonConnections, l.AdmitWatch(now))
	for range 5 {
		require.Equal(t, verdict.ReasonNone, l.ReadmitWatch(now))
	}
	require.Equal(t, verdict.ReasonCold, l.AdmitRequest(now.Add(2*time.Second-1)))
	require.Equal(t, verdict.ReasonNone, l.AdmitRequest(now.Add(2*time.Second)))
	require.Equal(t, verdict.ReasonBusy, l.AdmitRequest(now.Add(2*time.Second)))
	require.Equal(t, verdict.ReasonConnections, l.AdmitWatch(now.Add(5*time.Second-1)))
	require.Equal(t, verdict.ReasonNone, l.AdmitWatch(now.Add(5*time.Second)))
	require.Equal(t, verdict.ReasonConnections, l.AdmitWatch(now.Add(5*time.Second)))
}

// TestLimiterSignals checks the effect of each sign of trouble on a limiter
// that has reached its four slots.
func TestLimiterSignals(t *testing.T) {
	tests := []struct {
		name   string
		signal func(now time.Time, l *upstream.Limiter)
		limit  uint32
		down   bool
	}{
		{
			name:   "none",
			signal: func(time.Time, *upstream.Limiter) {},
			limit:  4,
		},
		{
			name:   "generation changed",
			signal: func(now time.Time, l *upstream.Limiter) { l.ProbeAnswered(now, 2) },
			limit:  1,
		},
		{
			name:   "generation unchanged",
			signal: func(now time.Time, l *upstream.Limiter) { l.ProbeAnswered(now, 1) },
			limit:  4,
		},
		{
			name: "shed after a period without sheds",
			signal: func(now time.Time, l *upstream.Limiter) {
				l.AdmitRequest(now)
				l.EndRequest(now, upstream.ResultShed, 0)
			},
			limit: 1,
		},
		{
			name: "watches reset",
			signal: func(now time.Time, l *upstream.Limiter) {
				for range 3 {
					l.WatchReset(now)
				}
			},
			limit: 1,
		},
		{
			name: "one watch reset",
			signal: func(now time.Time, l *upstream.Limiter) {
				l.WatchReset(now)
			},
			limit: 4,
		},
		{
			name: "slow answers",
			signal: func(now time.Time, l *upstream.Limiter) {
				answerRequests(now, l, upstream.AnswersPerIncrease, 300*time.Millisecond)
			},
			limit: 3,
		},
		{
			name: "timeouts shorter than an answer takes",
			signal: func(now time.Time, l *upstream.Limiter) {
				for range 5 {
					l.AdmitRequest(now)
					l.EndRequest(now, upstream.ResultTimeout, time.Millisecond)
				}
			},
			limit: 4,
		},
		{
			name: "requests unanswered",
			signal: func(now time.Time, l *upstream.Limiter) {
				for range upstream.DownAfter {
					l.AdmitRequest(now)
					l.EndRequest(now, upstream.ResultTimeout, time.Second)
				}
			},
			limit: 1,
			down:  true,
		},
		{
			name: "requests unanswered and probes answered",
			signal: func(now time.Time, l *upstream.Limiter) {
				for range upstream.DownAfter {
					l.AdmitRequest(now)
					l.EndRequest(now, upstream.ResultTimeout, time.Second)
				}
				l.ProbeAnswered(now, 1)
			},
			limit: 1,
			down:  true,
		},
		{
			name: "probes unanswered",
			signal: func(now time.Time, l *upstream.Limiter) {
				for range upstream.DownAfter {
					l.ProbeLost(now)
				}
			},
			limit: 1,
			down:  true,
		},
		{
			name: "probes unanswered and requests answered",
			signal: func(now time.Time, l *upstream.Limiter) {
				for range 2 * upstream.DownAfter {
					l.ProbeLost(now)
					answerRequests(now, l, 1, 10*time.Millisecond)
				}
			},
			limit: 4,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			l := newWarmLimiter(t, now)
			test.signal(now, l)
			require.Equal(t, test.limit, l.Limit())
			require.Equal(t, test.down, l.Down())
		})
	}
}

func TestLimiterRetriesDownUpstreamWithOneRequest(t *testing.T) {
	now := time.Unix(0, 0)
	l := newWarmLimiter(t, now)
	for range upstream.DownAfter {
		require.Equal(t, verdict.ReasonNone, l.AdmitRequest(now))
		l.EndRequest(now, upstream.ResultTimeout, time.Second)
	}
	require.Equal(t, verdict.ReasonNoUpstream, l.AdmitRequest(now))
	now = now.Add(upstream.MinDownRetry)
	require.Equal(t, verdict.ReasonNone, l.AdmitRequest(now))
	require.Equal(t, verdict.ReasonNoUpstream, l.AdmitRequest(now))
	l.EndRequest(now, upstream.ResultAnswered, time.Millisecond)
	require.False(t, l.Down())
	require.EqualValues(t, 1, l.Limit())
}

// TestLimiterReports checks how many requests a limiter of four slots admits
// when a report is repeated while requests are answered at the usual speed.
func TestLimiterReports(t *testing.T) {
	tests := []struct {
		name     string
		requests uint32
		answers  int
		limit    uint32
	}{
		{
			name:     "idle report raises nothing",
			requests: 0,
			answers:  1,
			limit:    4,
		},
		{
			name:     "reported load of others without answers",
			requests: 8,
			limit:    1,
		},
		{
			name:     "reported load of others contradicted by answers",
			requests: 4000,
			answers:  1,
			limit:    4,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			l := newWarmLimiter(t, now)
			for range 4 {
				l.Reported(now, test.requests, 0)
				answerRequests(now, l, test.answers, 10*time.Millisecond)
			}
			_, limit := l.Load(now)
			require.Equal(t, test.limit, limit)
		})
	}
}

// newWarmLimiter returns a limiter that has reached its four slots.
func newWarmLimiter(t *testing.T, now time.Time) *upstream.Limiter {
	t.Helper()
	l := upstream.NewLimiter(&config.Upstream{
		Slots:       4,
		Connections: 10,
	})
	l.ProbeAnswered(now, 1)
	for l.Limit() < 4 {
		for l.AdmitRequest(now) == verdict.ReasonNone {
			continue
		}
		require.Positive(t, l.Requests())
		l.EndRequest(now, upstream.ResultAnswered, 10*time.Millisecond)
	}
	for l.Requests() > 0 {
		l.EndRequest(now, upstream.ResultAnswered, 10*time.Millisecond)
	}
	return l
}

func answerRequests(now time.Time, l *upstream.Limiter, n int, latency time.Duration) {
	for range n {
		l.AdmitRequest(now)
		l.EndRequest(now, upstream.ResultAnswered, latency)
	}
}
