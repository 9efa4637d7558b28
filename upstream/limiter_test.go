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

// capacity returns the requests a second that a warm host of t answers.
func (t *trial) capacity() float64 {
	return float64(t.host.slots) / t.work.Seconds()
}

func TestGateColdStart(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(r, "slots")
		work := time.Duration(rapid.IntRange(5, 200).Draw(r, "work")) * time.Millisecond
		b := newTrial(rapid.Uint64().Draw(r, "seed"), slots, work)
		b.host.warming = rapid.IntRange(1, 40).Draw(r, "warming")
		b.run(time.Duration(rapid.IntRange(1, 30).Draw(r, "time"))*time.Second, rapid.Float64Range(0.1, 5).Draw(r, "load")*b.capacity())
		require.Zero(r, b.host.overloads)
		require.LessOrEqual(r, b.maxFlights, slots)
	})
}

func TestGateReachesFullShare(t *testing.T) {
	// Full share is due within 8 answers for each slot but one, at the least
	// concurrency that was reached, and as much again for requests refused.
	for _, slots := range []int{2, 4, 16} {
		b := newTrial(7, slots, 20*time.Millisecond)
		var due time.Duration
		for n := 1; n < slots; n++ {
			due += 2 * upstream.AnswersPerIncrease * b.work / time.Duration(n)
		}
		b.run(due, 10*b.capacity())
		require.EqualValues(t, slots, b.gate.Limit(), "slots %d", slots)
	}
}

func TestGateSilentRestart(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(r, "slots")
		work := time.Duration(rapid.IntRange(5, 100).Draw(r, "work")) * time.Millisecond
		load := rapid.Float64Range(0.05, 5).Draw(r, "load")
		b := newTrial(rapid.Uint64().Draw(r, "seed"), slots, work)
		for range rapid.IntRange(1, 3).Draw(r, "restarts") {
			b.run(time.Duration(rapid.IntRange(500, 15000).Draw(r, "time"))*time.Millisecond, load*b.capacity())
			b.host.restart()
		}
		b.run(10*time.Second, load*b.capacity())
		require.Zero(r, b.host.overloads)
		require.LessOrEqual(r, b.maxFlights, slots)
	})
}

func TestGateColdAgainInUse(t *testing.T) {
	// A host that turns cold while it holds more than twice what it then bears
	// is over its limit by itself; it falls at most once.
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(2, 16).Draw(r, "slots")
		b := newTrial(rapid.Uint64().Draw(r, "seed"), slots, 20*time.Millisecond)
		load := rapid.Float64Range(0.1, 3).Draw(r, "load")
		b.run(10*time.Second, load*b.capacity())
		b.host.cool()
		b.run(20*time.Second, load*b.capacity())
		require.LessOrEqual(r, b.host.overloads, 1)
	})
}

func TestGateOverload(t *testing.T) {
	b := newTrial(3, 4, 20*time.Millisecond)
	b.run(5*time.Second, b.capacity())
	b.done = 0
	b.run(60*time.Second, 3*b.capacity())
	require.GreaterOrEqual(t, float64(b.done), 0.5*60*b.capacity())
}

func TestGateHold(t *testing.T) {
	u := &config.Upstream{
		Slots:       4,
		Connections: 8,
	}
	now := time.Unix(0, 0)
	g := upstream.NewLimiter(u, upstream.WithHold(2*time.Second, 5*time.Second))
	require.Equal(t, verdict.ReasonCold, g.AdmitRequest(now))
	for range 2 {
		require.Equal(t, verdict.ReasonNone, g.AdmitWatch(now))
	}
	require.Equal(t, verdict.ReasonConnections, g.AdmitWatch(now))
	for range 5 {
		require.Equal(t, verdict.ReasonNone, g.ReadmitWatch(now))
	}
	require.Equal(t, verdict.ReasonCold, g.AdmitRequest(now.Add(2*time.Second-1)))
	require.Equal(t, verdict.ReasonNone, g.AdmitRequest(now.Add(2*time.Second)))
	require.Equal(t, verdict.ReasonBusy, g.AdmitRequest(now.Add(2*time.Second)))
	require.Equal(t, verdict.ReasonConnections, g.AdmitWatch(now.Add(5*time.Second-1)))
	require.Equal(t, verdict.ReasonNone, g.AdmitWatch(now.Add(5*time.Second)))
	require.Equal(t, verdict.ReasonConnections, g.AdmitWatch(now.Add(5*time.Second)))
}

// TestGateSigns tells what each sign of trouble does to a gate that has reached
// its four slots.
func TestGateSigns(t *testing.T) {
	tests := []struct {
		name  string
		sign  func(now time.Time, g *upstream.Limiter)
		limit uint32
		down  bool
	}{
		{
			name:  "none",
			sign:  func(time.Time, *upstream.Limiter) {},
			limit: 4,
		},
		{
			name:  "generation changed",
			sign:  func(now time.Time, g *upstream.Limiter) { g.ProbeAnswered(now, 2) },
			limit: 1,
		},
		{
			name:  "generation unchanged",
			sign:  func(now time.Time, g *upstream.Limiter) { g.ProbeAnswered(now, 1) },
			limit: 4,
		},
		{
			name: "shed after calm",
			sign: func(now time.Time, g *upstream.Limiter) {
				g.AdmitRequest(now)
				g.EndRequest(now, upstream.ResultShed, 0)
			},
			limit: 1,
		},
		{
			name: "watches reset",
			sign: func(now time.Time, g *upstream.Limiter) {
				for range 3 {
					g.WatchReset(now)
				}
			},
			limit: 1,
		},
		{
			name: "one watch reset",
			sign: func(now time.Time, g *upstream.Limiter) {
				g.WatchReset(now)
			},
			limit: 4,
		},
		{
			name: "slow answers",
			sign: func(now time.Time, g *upstream.Limiter) {
				answer(now, g, upstream.AnswersPerIncrease, 300*time.Millisecond)
			},
			limit: 3,
		},
		{
			name: "a caller that hardly waits",
			sign: func(now time.Time, g *upstream.Limiter) {
				for range 5 {
					g.AdmitRequest(now)
					g.EndRequest(now, upstream.ResultTimeout, time.Millisecond)
				}
			},
			limit: 4,
		},
		{
			name: "work unanswered",
			sign: func(now time.Time, g *upstream.Limiter) {
				for range upstream.DownAfter {
					g.AdmitRequest(now)
					g.EndRequest(now, upstream.ResultTimeout, time.Second)
				}
			},
			limit: 1,
			down:  true,
		},
		{
			name: "work unanswered and probes answered",
			sign: func(now time.Time, g *upstream.Limiter) {
				for range upstream.DownAfter {
					g.AdmitRequest(now)
					g.EndRequest(now, upstream.ResultTimeout, time.Second)
				}
				g.ProbeAnswered(now, 1)
			},
			limit: 1,
			down:  true,
		},
		{
			name: "probes unanswered",
			sign: func(now time.Time, g *upstream.Limiter) {
				for range upstream.DownAfter {
					g.ProbeLost(now)
				}
			},
			limit: 1,
			down:  true,
		},
		{
			name: "probes unanswered and work answered",
			sign: func(now time.Time, g *upstream.Limiter) {
				for range 2 * upstream.DownAfter {
					g.ProbeLost(now)
					answer(now, g, 1, 10*time.Millisecond)
				}
			},
			limit: 4,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			g := warm(t, now)
			test.sign(now, g)
			require.Equal(t, test.limit, g.Limit())
			require.Equal(t, test.down, g.Down())
		})
	}
}

func TestGateDownIsRetriedWithOneRequest(t *testing.T) {
	now := time.Unix(0, 0)
	g := warm(t, now)
	for range upstream.DownAfter {
		require.Equal(t, verdict.ReasonNone, g.AdmitRequest(now))
		g.EndRequest(now, upstream.ResultTimeout, time.Second)
	}
	require.Equal(t, verdict.ReasonNoUpstream, g.AdmitRequest(now))
	now = now.Add(upstream.MinDownRetry)
	require.Equal(t, verdict.ReasonNone, g.AdmitRequest(now))
	require.Equal(t, verdict.ReasonNoUpstream, g.AdmitRequest(now))
	g.EndRequest(now, upstream.ResultAnswered, time.Millisecond)
	require.False(t, g.Down())
	require.EqualValues(t, 1, g.Limit())
}

// TestGateReports tells what a gate of four slots allows by a report repeated
// while work is answered at its usual speed.
func TestGateReports(t *testing.T) {
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
			name:     "others' load without outcomes against it",
			requests: 8,
			limit:    1,
		},
		{
			name:     "others' load contradicted by answers",
			requests: 4000,
			answers:  1,
			limit:    4,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			g := warm(t, now)
			for range 4 {
				g.Reported(now, test.requests, 0)
				answer(now, g, test.answers, 10*time.Millisecond)
			}
			_, limit := g.Load(now)
			require.Equal(t, test.limit, limit)
		})
	}
}

// warm returns a gate that has reached its four slots.
func warm(t *testing.T, now time.Time) *upstream.Limiter {
	t.Helper()
	g := upstream.NewLimiter(&config.Upstream{
		Slots:       4,
		Connections: 10,
	})
	g.ProbeAnswered(now, 1)
	for g.Limit() < 4 {
		for g.AdmitRequest(now) == verdict.ReasonNone {
			continue
		}
		require.Positive(t, g.Requests())
		g.EndRequest(now, upstream.ResultAnswered, 10*time.Millisecond)
	}
	for g.Requests() > 0 {
		g.EndRequest(now, upstream.ResultAnswered, 10*time.Millisecond)
	}
	return g
}

func answer(now time.Time, g *upstream.Limiter, n int, latency time.Duration) {
	for range n {
		g.AdmitRequest(now)
		g.EndRequest(now, upstream.ResultAnswered, latency)
	}
}
