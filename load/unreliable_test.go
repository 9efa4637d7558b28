package load

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSumsOfUnreliableReports guards against sums that lose or repeat the load of some of 27
// balancers, or bring back a former load, when datagrams are lost, late, repeated or
// reordered.
func TestSumsOfUnreliableReports(t *testing.T) {
	const (
		balancers = 27
		fallsAt   = 5000 // ms; each balancer's work falls to half
		endsAt    = 10000
	)
	for _, test := range []struct {
		name string
		// lost, late, repeated and reordered are shares of the reports; late ones come a
		// second later, reordered ones up to 400 ms.
		lost, late, repeated, reordered float64
		// least is the least share of the work that any digest has, and mean that of all
		// digests, where the work has been the same for a second. A balancer of which two
		// reports in a row are lost is missing for half a period; four of 27 missing at once, which
		// 0.85 allows for, is expected in less than one of a million digests at a loss of 5 %.
		least, mean float64
	}{
		{
			name:  "reliable",
			least: 1,
			mean:  1,
		},
		{
			name:  "lost",
			lost:  0.05,
			least: 0.85,
			mean:  0.995,
		},
		{
			name:  "late",
			late:  0.05,
			least: 0.85,
			mean:  0.995,
		},
		{
			name:     "repeated",
			repeated: 0.5,
			least:    1,
		},
		{
			name:      "reordered",
			reordered: 0.5,
			least:     0.9,
		},
		{
			name:      "all at once",
			lost:      0.02,
			late:      0.02,
			repeated:  0.2,
			reordered: 0.2,
			least:     0.9,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			sum, digests := 0., 0.
			for seed := range uint64(20) {
				random := rand.New(rand.NewPCG(seed, 1))
				hosts := hostsOf(3)
				arrivals := make(map[int][]*Report)
				for b := range balancers {
					offset := random.IntN(250)
					for n := range endsAt / 250 {
						ms := n*250 + offset
						flows, working := 4, 0.5
						if ms >= fallsAt {
							flows, working = 2, 0.25
						}
						r := reportOf(uint64(b+1), uint32(n+1), hosts, flows, working)
						if random.Float64() < test.lost {
							continue
						}
						delay := random.IntN(5)
						switch {
						case random.Float64() < test.late:
							delay = 1000
						case random.Float64() < test.reordered:
							delay = random.IntN(400)
						}
						arrivals[ms+delay] = append(arrivals[ms+delay], r)
						if random.Float64() < test.repeated {
							again := ms + delay + random.IntN(1000)
							arrivals[again] = append(arrivals[again], r)
						}
					}
				}
				c := NewCollector(1)
				for ms := range endsAt {
					for _, r := range arrivals[ms] {
						c.AddReport(at(ms), r)
					}
					if ms%250 != 0 || ms < 1000 {
						continue
					}
					d, ok := c.Digest(at(ms), 0, 1, hosts, balancers)
					require.True(t, ok)
					require.Len(t, d.Totals, len(hosts))
					flows, working := 4.*balancers, 0.5*balancers
					if ms >= fallsAt+1000 {
						flows, working = flows/2, working/2
					}
					for _, total := range d.Totals {
						require.LessOrEqual(t, float64(total.Flows), flows, "seed %d, %d ms", seed, ms)
						require.LessOrEqual(t, total.Working, working, "seed %d, %d ms", seed, ms)
						if ms >= fallsAt && ms < fallsAt+1000 {
							continue
						}
						sum += total.Working / working
						digests++
						require.GreaterOrEqual(t, float64(total.Flows), test.least*flows, "seed %d, %d ms", seed, ms)
						require.GreaterOrEqual(t, total.Working, test.least*working, "seed %d, %d ms", seed, ms)
					}
				}
			}
			require.GreaterOrEqual(t, sum/digests, test.mean)
		})
	}
}

// TestSplitZone guards against a half of a split zone that has no digests, or one that says
// nothing of how little it knows.
func TestSplitZone(t *testing.T) {
	for _, test := range []struct {
		name string
		// reporting is the number of balancers on the collector's side, and members that
		// of the zone as the collector knows it.
		reporting int
		members   int
		ok        bool
	}{
		{
			name:      "larger half, split not yet known",
			reporting: 14,
			members:   27,
			ok:        true,
		},
		{
			name:      "smaller half, split not yet known",
			reporting: 13,
			members:   27,
		},
		{
			name:      "larger half",
			reporting: 14,
			members:   14,
			ok:        true,
		},
		{
			name:      "smaller half",
			reporting: 13,
			members:   13,
			ok:        true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, hosts := NewCollector(1), hostsOf(2)
			for n := range 8 {
				for i := range 27 {
					if n < 4 || i < test.reporting {
						c.AddReport(at(250*n), reportOf(uint64(i+1), uint32(n+1), hosts, 2, 0.25))
					}
				}
			}
			d, ok := c.Digest(at(1750), 0, 1, hosts, test.members)
			require.Equal(t, test.ok, ok)
			if ok {
				require.Equal(t, test.reporting, d.Balancers)
				require.Equal(t, 2*test.reporting, d.Totals[0].Flows)
				require.InDelta(t, 0.25*float64(test.reporting), d.Totals[0].Working, 1e-6)
			}
		})
	}
}

// TestOrderOfSendersChangesNoSum guards against seeded runs that can't be repeated since sums
// of fractions depend on the order of their terms.
func TestOrderOfSendersChangesNoSum(t *testing.T) {
	hosts := hostsOf(20)
	digest := func(order []int) Digest {
		c := NewCollector(1)
		for _, i := range order {
			c.AddReport(start, reportOf(uint64(i+1), 1, hosts, i, 1/float64(i+3)))
		}
		d, ok := c.Digest(at(250), 0, 1, hosts, 27)
		require.True(t, ok)
		return d
	}
	order := rand.New(rand.NewPCG(1, 1)).Perm(27)
	sorted := slices.Sorted(slices.Values(order))
	require.Equal(t, digest(sorted), digest(order))
}
