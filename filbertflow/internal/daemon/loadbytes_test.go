package daemon

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
)

// loadWork draws the samples of a zone whose hosts have 2 slots and requests of 60 ms, with 5 open
// flows at full use. It is the load for which wire's TestLoadTraffic counts bytes.
type loadWork struct {
	random    *rand.Rand
	balancers int
	// utilization is the share of the slots in use.
	utilization float64
}

// samples returns what one balancer sees of the hosts in a period.
func (w *loadWork) samples(hosts []directory.Upstream, period time.Duration) []load.Sample {
	const slots, work, flows = 2, 0.06, 5
	var samples []load.Sample
	for _, s := range samplesOf(hosts, 0) {
		requests := w.poisson(w.utilization * slots / work * period.Seconds() / float64(w.balancers))
		s.Flows = w.poisson(w.utilization * flows / float64(w.balancers))
		s.Working = float64(requests) * work / period.Seconds()
		for range requests {
			cell := &s.Answers.Light
			if w.random.Float64() < w.utilization {
				cell = &s.Answers.Loaded
			}
			cell.Answers++
			cell.Ratio = 0.5 + w.random.Float64()
		}
		if requests > 0 || s.Flows > 0 {
			samples = append(samples, s)
		}
	}
	return samples
}

// poisson returns a number with a mean.
func (w *loadWork) poisson(mean float64) int {
	n := 0
	for t := w.random.ExpFloat64(); t < mean; t += w.random.ExpFloat64() {
		n++
	}
	return n
}

// TestLoadBytes guards against an exchange that takes more of a small link than the limit of 2 kB/s
// for a balancer, on average over a day of which a quarter is busy, with 80 balancers and 150 hosts
// in 3 zones. Unlike wire's TestLoadTraffic, the daemon's own intervals and rules when a zone is
// busy count.
func TestLoadBytes(t *testing.T) {
	const (
		balancers = 27
		limit     = 2000
		length    = 5 * time.Second
	)
	hosts := make(map[string][]directory.Upstream)
	random := rand.New(rand.NewPCG(1, 1))
	for _, zone := range []string{"a", "b", "c"} {
		hosts[zone] = hostsOf(zone, 50)
		for i := range hosts[zone] {
			h := &hosts[zone][i]
			h.ID, h.Slots = hexID(random.Uint32()), 2
			h.Service = []string{"board", "plans", "files"}[i%3]
		}
	}
	// The balancers of the other zones only make their zones' totals.
	x := newExchange(t, slices.Concat(hosts["a"], hosts["b"], hosts["c"]),
		append(slices.Repeat([]string{"a"}, balancers), "b", "b", "c", "c")...)
	sent := func() float64 {
		sum := uint64(0)
		for _, p := range x.peers[:balancers] {
			sum += p.daemon.counters.loadBytes.Load()
		}
		return float64(sum) / balancers
	}
	// rate returns the bytes a second that a balancer sends at a utilization.
	rate := func(utilization float64) float64 {
		for _, p := range x.peers {
			w := loadWork{
				random:      random,
				balancers:   balancers,
				utilization: utilization,
			}
			if p.zone != "a" {
				w.balancers = 2
			}
			p.next = func(period time.Duration) []load.Sample { return w.samples(hosts[p.zone], period) }
		}
		x.run(startUp)
		before := sent()
		x.run(length)
		return (sent() - before) / length.Seconds()
	}
	quiet, busy := rate(0.4), rate(1)
	average := 0.75*quiet + 0.25*busy
	t.Logf("bytes a second: quiet %.0f, busy %.0f, average %.0f", quiet, busy, average)
	require.LessOrEqual(t, average, float64(limit))
}
