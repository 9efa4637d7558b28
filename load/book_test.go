package load

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// digestOf returns a digest of one of one groups, from 27 balancers.
func digestOf(origin uint64, sequence uint32, totals ...Total) *Digest {
	return &Digest{
		Origin:    origin,
		Sequence:  sequence,
		Groups:    1,
		Balancers: 27,
		Totals:    totals,
	}
}

// flowsOf returns a total of open flows.
func flowsOf(t directory.Ticket, flows int) Total {
	return Total{
		Ticket: t,
		Flows:  flows,
	}
}

// TestOrderOfDigests guards against loads of late or repeated digests, and against digests of
// one collector that hide those of the other one.
func TestOrderOfDigests(t *testing.T) {
	type arrival struct {
		ms      int
		digest  *Digest
		applied bool
	}
	few := digestOf(2, 1, flowsOf(1, 2))
	few.Balancers = 20
	other := digestOf(1, 1, flowsOf(1, 1))
	other.Group = 1
	for _, test := range []struct {
		name     string
		arrivals []arrival
		ms       int
		flows    float64
		known    bool
	}{
		{
			name: "none",
		},
		{
			name:     "first",
			arrivals: []arrival{{digest: digestOf(1, 1, flowsOf(1, 1)), applied: true}},
			flows:    1,
			known:    true,
		},
		{
			name: "one lost",
			arrivals: []arrival{
				{ms: 0, digest: digestOf(1, 1, flowsOf(1, 1)), applied: true},
				{ms: 1000, digest: digestOf(1, 3, flowsOf(1, 3)), applied: true},
			},
			ms:    3000,
			flows: 3,
			known: true,
		},
		{
			name:     "all lost for 2 s",
			arrivals: []arrival{{digest: digestOf(1, 1, flowsOf(1, 1)), applied: true}},
			ms:       2000,
			flows:    1,
			known:    true,
		},
		{
			name:     "all lost for longer",
			arrivals: []arrival{{digest: digestOf(1, 1, flowsOf(1, 1)), applied: true}},
			ms:       2001,
		},
		{
			name: "late",
			arrivals: []arrival{
				{ms: 0, digest: digestOf(1, 2, flowsOf(1, 2)), applied: true},
				{ms: 10, digest: digestOf(1, 1, flowsOf(1, 1))},
			},
			flows: 2,
			known: true,
		},
		{
			name: "repeated when the group's last one is old",
			arrivals: []arrival{
				{ms: 0, digest: digestOf(1, 1, flowsOf(1, 1)), applied: true},
				{ms: 1500, digest: digestOf(1, 1, flowsOf(1, 1))},
			},
			ms: 2001,
		},
		{
			name: "late, after one of the other collector",
			arrivals: []arrival{
				{ms: 0, digest: digestOf(1, 2, flowsOf(1, 2)), applied: true},
				{ms: 10, digest: digestOf(2, 1, flowsOf(1, 3)), applied: true},
				{ms: 20, digest: digestOf(1, 1, flowsOf(1, 1))},
			},
			flows: 3,
			known: true,
		},
		{
			name: "collectors in turn",
			arrivals: []arrival{
				{ms: 0, digest: digestOf(1, 100, flowsOf(1, 1)), applied: true},
				{ms: 250, digest: digestOf(2, 1, flowsOf(1, 2)), applied: true},
				{ms: 500, digest: digestOf(1, 101, flowsOf(1, 3)), applied: true},
				{ms: 750, digest: digestOf(2, 2, flowsOf(1, 4)), applied: true},
			},
			ms:    750,
			flows: 4,
			known: true,
		},
		{
			name: "restarted collector, with a new origin",
			arrivals: []arrival{
				{ms: 0, digest: digestOf(1, 100, flowsOf(1, 1)), applied: true},
				{ms: 250, digest: digestOf(3, 1, flowsOf(1, 2)), applied: true},
			},
			ms:    250,
			flows: 2,
			known: true,
		},
		{
			name: "the other collector hears from fewer balancers",
			arrivals: []arrival{
				{ms: 0, digest: digestOf(1, 1, flowsOf(1, 1)), applied: true},
				{ms: 250, digest: few},
			},
			ms:    250,
			flows: 1,
			known: true,
		},
		{
			name: "only the collector that hears from fewer balancers is left",
			arrivals: []arrival{
				{ms: 0, digest: digestOf(1, 1, flowsOf(1, 1)), applied: true},
				{ms: 1000, digest: few, applied: true},
			},
			ms:    1000,
			flows: 2,
			known: true,
		},
		{
			name:     "no group of that number",
			arrivals: []arrival{{digest: other}},
		},
		{
			name: "no groups, only zones",
			arrivals: []arrival{{digest: &Digest{
				Origin:   1,
				Sequence: 1,
			}}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBook()
			for _, a := range test.arrivals {
				require.Equal(t, a.applied, b.Apply(at(a.ms), a.digest), "%d ms", a.ms)
			}
			e := b.Upstream(at(test.ms), 1)
			require.Equal(t, test.known, e.Known)
			require.Equal(t, test.known, b.Fresh(at(test.ms)))
			require.Zero(t, e.Flows-test.flows)
			if !test.known {
				require.Equal(t, Estimate{}, e)
			}
		})
	}
}

// TestUpstreamsOfDigest guards against hosts whose load is unknown or outdated, as they are
// left out of the last digest.
func TestUpstreamsOfDigest(t *testing.T) {
	b := NewBook()
	require.True(t, b.Apply(start, digestOf(1, 1, flowsOf(1, 1), flowsOf(2, 2))))
	require.True(t, b.Apply(at(500), digestOf(1, 2, Total{
		Ticket:   2,
		Flows:    3,
		Working:  1.5,
		Capacity: 4,
		Answers:  20,
	})))
	require.Equal(t, Estimate{
		Flows:    3,
		Working:  1.5,
		Capacity: 4,
		Answers:  20,
		Age:      100 * time.Millisecond,
		Known:    true,
	}, b.Upstream(at(600), 2))
	require.Equal(t, Estimate{
		Age:   100 * time.Millisecond,
		Known: true,
	}, b.Upstream(at(600), 1))
}

// TestPartsOfDigest guards against busy hosts that look idle, as the part of a digest that
// lists them is lost or replaced by the next one.
func TestPartsOfDigest(t *testing.T) {
	part := func(origin uint64, sequence uint32, totals ...Total) *Digest {
		d := digestOf(origin, sequence, totals...)
		d.Partial = true
		return d
	}
	for _, test := range []struct {
		name    string
		digests []*Digest
		flows   []float64
	}{
		{
			name:    "both parts",
			digests: []*Digest{part(1, 1, flowsOf(1, 1)), part(1, 1, flowsOf(2, 1))},
			flows:   []float64{1, 1},
		},
		{
			name:    "repeated with other content",
			digests: []*Digest{part(1, 1, flowsOf(1, 1), flowsOf(2, 1)), part(1, 1, flowsOf(1, 5))},
			flows:   []float64{1, 1},
		},
		{
			name: "one part lost",
			digests: []*Digest{
				part(1, 1, flowsOf(1, 1)),
				part(1, 1, flowsOf(2, 1)),
				part(1, 2, flowsOf(2, 2)),
			},
			flows: []float64{1, 2},
		},
		{
			name: "one part lost twice",
			digests: []*Digest{
				part(1, 1, flowsOf(1, 1)),
				part(1, 1, flowsOf(2, 1)),
				part(1, 2, flowsOf(2, 2)),
				part(1, 3, flowsOf(2, 3)),
			},
			flows: []float64{0, 3},
		},
		{
			name: "parts of both collectors in turn",
			digests: []*Digest{
				part(1, 1, flowsOf(1, 1)),
				part(2, 1, flowsOf(1, 2)),
				part(1, 1, flowsOf(2, 1)),
				part(2, 1, flowsOf(2, 2)),
			},
			flows: []float64{2, 2},
		},
		{
			name: "whole one after parts",
			digests: []*Digest{
				part(1, 1, flowsOf(1, 1)),
				part(1, 1, flowsOf(2, 1)),
				digestOf(1, 2, flowsOf(2, 2)),
			},
			flows: []float64{0, 2},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBook()
			for _, d := range test.digests {
				b.Apply(start, d)
			}
			for i, flows := range test.flows {
				require.Zero(t, b.Upstream(start, directory.Ticket(i+1)).Flows-flows, "host %d", i+1)
			}
		})
	}
}

// TestOwnWorkIsSubtracted guards against a balancer that counts its own work twice or not at
// all: own and others' work are what all balancers have, whether they are 2 or 27.
func TestOwnWorkIsSubtracted(t *testing.T) {
	for _, test := range []struct {
		name      string
		balancers int
		// changing reports whether the balancers' work changes from period to period.
		changing bool
	}{
		{
			name:      "2 balancers",
			balancers: 2,
		},
		{
			name:      "2 balancers with changing work",
			balancers: 2,
			changing:  true,
		},
		{
			name:      "27 balancers",
			balancers: 27,
		},
		{
			name:      "27 balancers with changing work",
			balancers: 27,
			changing:  true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				random := rand.New(rand.NewPCG(seed, 2))
				hosts := hostsOf(4)
				c, b := NewCollector(1), NewBook()
				// The collector sums reports of these values.
				flows, working := make([]int, test.balancers), make([]float64, test.balancers)
				offsets := make([]int, test.balancers)
				for i := range offsets {
					// None reports between a digest and its arrival, 10 ms later.
					offsets[i] = 11 + random.IntN(239)
					flows[i], working[i] = random.IntN(20), random.Float64()
				}
				// Balancer 0 reports and gets digests at the least favorable times: its report
				// leaves 5 ms after a digest was summed and 5 ms before the digest comes.
				offsets[0] = 5
				var d Digest
				var ok bool
				for ms := range 5000 {
					now := at(ms)
					if ms%250 == 0 {
						d, ok = c.Digest(now, 0, 1, hosts, test.balancers)
						require.True(t, ok || ms < 500)
					}
					for i := range test.balancers {
						if ms%250 != offsets[i] {
							continue
						}
						if test.changing {
							flows[i], working[i] = random.IntN(20), random.Float64()
						}
						r := reportOf(uint64(i+1), uint32(ms/250+1), hosts, flows[i], working[i])
						c.AddReport(now, r)
						if i == 0 {
							b.Reported(now, r)
						}
					}
					if ms%250 != 10 || !ok || ms < 500 {
						continue
					}
					require.True(t, b.Apply(now, &d))
					othersFlows, othersWorking := 0., 0.
					for i := 1; i < test.balancers; i++ {
						othersFlows += float64(flows[i])
						othersWorking += working[i]
					}
					for _, h := range hosts {
						e := b.Upstream(now, h.Ticket())
						require.True(t, e.Known)
						require.InDelta(t, othersFlows, e.Flows, 1e-9, "seed %d, %d ms", seed, ms)
						require.InDelta(t, othersWorking, e.Working, 1e-5, "seed %d, %d ms", seed, ms)
					}
				}
			}
		})
	}
}

// TestOwnWorkThatIsNotIncluded guards against a balancer that subtracts work which the digest
// does not include.
func TestOwnWorkThatIsNotIncluded(t *testing.T) {
	own := func(sequence uint32, flows int) *Report {
		return reportOf(1, sequence, hostsOf(1), flows, 0)
	}
	type reported struct {
		ms     int
		report *Report
	}
	for _, test := range []struct {
		name    string
		reports []reported
		flows   float64
	}{
		{
			name:  "none",
			flows: 10,
		},
		{
			name:    "sent just now",
			reports: []reported{{ms: 990, report: own(1, 4)}},
			flows:   10,
		},
		{
			name:    "sent before",
			reports: []reported{{ms: 980, report: own(1, 4)}},
			flows:   6,
		},
		{
			name:    "sent again just now",
			reports: []reported{{ms: 740, report: own(1, 4)}, {ms: 990, report: own(2, 7)}},
			flows:   6,
		},
		{
			name:    "to the collectors of two groups",
			reports: []reported{{ms: 740, report: own(1, 4)}, {ms: 740, report: reportOf(1, 1, hostsOf(2)[1:], 1, 1)}},
			flows:   6,
		},
		{
			name:    "counts no more",
			reports: []reported{{ms: 370, report: own(1, 4)}},
			flows:   10,
		},
		{
			name:    "host left out of the last one",
			reports: []reported{{ms: 500, report: own(1, 4)}, {ms: 750, report: reportOf(1, 2, nil, 0, 0)}},
			flows:   10,
		},
		{
			name:    "more than the total",
			reports: []reported{{ms: 750, report: own(1, 11)}},
			flows:   0,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBook()
			for _, r := range test.reports {
				b.Reported(at(r.ms), r.report)
			}
			require.True(t, b.Apply(at(1000), digestOf(1, 1, flowsOf(1, 10))))
			require.Zero(t, b.Upstream(at(1000), 1).Flows-test.flows)
		})
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
