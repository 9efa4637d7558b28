package upstream_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/upstream"
)

// TestAllColdAtOnce restarts all upstreams of a service at once, unnoticed and
// under load. No upstream may become overloaded, and the service must be back
// at 0.9 of its earlier throughput within the sum of the deadline of lost
// requests, the retry delay of a down upstream and the time to reach all slots,
// doubled for sheds.
func TestAllColdAtOnce(t *testing.T) {
	const hosts, slots, work = 14, 4, 20 * time.Millisecond
	for _, load := range []float64{0.7, 3} {
		fleet := make([]*simulation, hosts)
		run := func(d time.Duration) int {
			done := 0
			for seed, s := range fleet {
				if s == nil {
					s = newSimulation(uint64(seed), slots, work)
					fleet[seed] = s
				}
				before := s.done
				s.run(d, load*s.capacity())
				done += s.done - before
			}
			return done
		}
		run(10 * time.Second)
		before := run(5 * time.Second)
		for _, s := range fleet {
			s.host.restart()
		}
		due := fleet[0].deadline + upstream.MinDownRetry
		for n := 1; n < slots; n++ {
			due += 2 * 2 * upstream.AnswersPerIncrease * work / time.Duration(n)
		}
		run(due)
		after := run(5 * time.Second)
		require.GreaterOrEqual(t, float64(after), 0.9*float64(before), "load %v", load)
		for _, s := range fleet {
			require.Zero(t, s.host.overloads)
		}
	}
}

// TestTwoKeepers lets two keepers send to one warm upstream. While the new
// keeper holds all slots, the requests in flight must not exceed the slots;
// after that, they may exceed them by at most the number of slots.
func TestTwoKeepers(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(r, "slots")
		load := rapid.Float64Range(0.1, 3).Draw(r, "load")
		old := newSimulation(rapid.Uint64().Draw(r, "seed"), slots, 20*time.Millisecond)
		old.run(5*time.Second, load*old.capacity())
		next := newSimulation(rapid.Uint64().Draw(r, "other seed"), slots, 20*time.Millisecond)
		next.now = old.now
		next.host = old.host
		next.limiter = upstream.NewLimiter(&config.Upstream{Slots: uint32(slots)}, upstream.WithHold(old.deadline, 0))
		inFlight := 0
		run := func(d time.Duration) {
			inFlight = 0
			for range d / time.Millisecond {
				old.run(time.Millisecond, load*old.capacity())
				next.run(time.Millisecond, load*old.capacity())
				inFlight = max(inFlight, len(old.pending)+len(next.pending))
			}
		}
		run(old.deadline)
		require.LessOrEqual(r, inFlight, slots)
		run(10 * time.Second)
		require.LessOrEqual(r, inFlight, 2*slots)
		require.Zero(r, old.host.overloads)
	})
}
