package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
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
		// reports in a row are lost is missing for half a period.
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

// TestNoDigestFromFewReports guards against digests that make busy hosts look idle, since
// their collector has just started, woken up or lost the balancers.
func TestNoDigestFromFewReports(t *testing.T) {
	// Each balancer reports once, at a time within the period.
	for _, test := range []struct {
		name    string
		reports int
		period  time.Duration
		reset   bool
		after   time.Duration
		ok      bool
	}{
		{
			name: "no report",
		},
		{
			name:    "all but no period",
			reports: 27,
			period:  250 * time.Millisecond,
			after:   249 * time.Millisecond,
		},
		{
			name:    "all for a period",
			reports: 27,
			period:  250 * time.Millisecond,
			after:   250 * time.Millisecond,
			ok:      true,
		},
		{
			name:    "all but no longer period",
			reports: 27,
			period:  time.Second,
			after:   999 * time.Millisecond,
		},
		{
			name:    "all for a longer period",
			reports: 27,
			period:  time.Second,
			after:   time.Second,
			ok:      true,
		},
		{
			name:    "less than half",
			reports: 13,
			period:  250 * time.Millisecond,
			after:   250 * time.Millisecond,
		},
		{
			name:    "half",
			reports: 14,
			period:  250 * time.Millisecond,
			after:   250 * time.Millisecond,
			ok:      true,
		},
		{
			name:    "all but no period after a pause",
			reports: 27,
			period:  250 * time.Millisecond,
			reset:   true,
			after:   249 * time.Millisecond,
		},
		{
			name:   "none after a pause",
			period: 250 * time.Millisecond,
			reset:  true,
			after:  250 * time.Millisecond,
		},
		{
			name:    "half after a pause",
			reports: 14,
			period:  250 * time.Millisecond,
			reset:   true,
			after:   250 * time.Millisecond,
			ok:      true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, hosts, sequence := NewCollector(1), hostsOf(2), uint32(1)
			if test.reset {
				for i := range uint64(27) {
					c.AddReport(at(-5000), reportOf(i+1, 1, hosts, 1, 1))
				}
				c.AddZone(at(-100), ZoneTotal{
					Zone:    "b",
					Service: "board",
					At:      at(-100),
				})
				_, ok := c.Digest(at(-4500), 0, 1, hosts, 27)
				require.True(t, ok)
				c.Reset(start)
				sequence = 20
			}
			for i := range test.reports {
				r := reportOf(uint64(i+1), sequence, hosts, 1, 1)
				r.Period = test.period
				c.AddReport(start, r)
			}
			now := start.Add(test.after)
			d, ok := c.Digest(now, 0, 1, hosts, 27)
			require.Equal(t, test.ok, ok)
			require.Equal(t, test.ok, c.Own(now, "a", 0, hosts) != nil)
			if ok {
				require.Equal(t, test.reports, d.Balancers)
				require.Equal(t, test.reports, d.Totals[0].Flows)
				require.Empty(t, d.Zones)
			}
		})
	}
}

// TestSequenceOfDigests guards against digests after a pause that count as old ones.
func TestSequenceOfDigests(t *testing.T) {
	c, hosts := NewCollector(7), hostsOf(2)
	c.AddReport(start, reportOf(1, 1, hosts, 1, 1))
	first, ok := c.Digest(at(300), 0, 1, hosts, 1)
	require.True(t, ok)
	c.Reset(at(5000))
	c.AddReport(at(5000), reportOf(1, 2, hosts, 1, 1))
	second, ok := c.Digest(at(5300), 0, 1, hosts, 1)
	require.True(t, ok)
	require.Equal(t, uint64(7), second.Origin)
	require.Greater(t, second.Sequence, first.Sequence)
}

// TestHostileReport guards against one sender that fills all hosts by what it claims, and
// against values that poison the sums.
func TestHostileReport(t *testing.T) {
	for _, test := range []struct {
		name    string
		flows   int
		working float64
	}{
		{
			name:    "huge",
			flows:   math.MaxInt,
			working: math.MaxFloat64,
		},
		{
			name:    "infinite",
			flows:   math.MaxInt32,
			working: math.Inf(1),
		},
		{
			name:    "negative",
			flows:   math.MinInt,
			working: math.Inf(-1),
		},
		{
			name:    "not a number",
			working: math.NaN(),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, hosts := NewCollector(1), hostsOf(2)
			for i := range uint64(26) {
				c.AddReport(start, reportOf(i+1, 1, hosts, 2, 0.125))
			}
			c.AddReport(start, reportOf(27, 1, hosts, test.flows, test.working))
			d, ok := c.Digest(at(250), 0, 1, hosts, 27)
			require.True(t, ok)
			require.Len(t, d.Totals, 2)
			for _, total := range d.Totals {
				require.GreaterOrEqual(t, total.Working, 26*0.125)
				require.LessOrEqual(t, total.Working, 26*0.125+8*manySendersWorking)
				require.GreaterOrEqual(t, total.Flows, 26*2)
				require.LessOrEqual(t, total.Flows, 26*2+senderFlows*8+senderFlowsMean*2)
			}
		})
	}
}

// TestLoadOfFewSenders guards against limits on single senders that hide the work of a zone
// with two balancers, or of a host of which one balancer has much.
func TestLoadOfFewSenders(t *testing.T) {
	for _, test := range []struct {
		name     string
		balances int
		working  float64
		flows    int
		total    float64
	}{
		{
			name:     "one balancer, host overloaded",
			balances: 1,
			working:  16,
			flows:    60,
			total:    16,
		},
		{
			name:     "two balancers, host full",
			balances: 2,
			working:  4,
			flows:    30,
			total:    8,
		},
		{
			name:     "27 balancers, host overloaded",
			balances: 27,
			working:  1,
			flows:    30,
			total:    27,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, hosts := NewCollector(1), hostsOf(1)
			for i := range test.balances {
				c.AddReport(start, reportOf(uint64(i+1), 1, hosts, test.flows, test.working))
			}
			d, ok := c.Digest(at(250), 0, 1, hosts, test.balances)
			require.True(t, ok)
			require.InDelta(t, test.total, d.Totals[0].Working, 1e-6)
			require.Equal(t, test.balances*test.flows, d.Totals[0].Flows)
		})
	}
}

// TestBoundedSenders guards against memory that reports of ever new senders fill, and against
// balancers that find no place after such reports have ended.
func TestBoundedSenders(t *testing.T) {
	c, hosts := NewCollector(1), hostsOf(1)
	for i := range uint64(2 * maxSenders) {
		c.AddReport(start, reportOf(i+100, 1, hosts, 0, 0))
	}
	require.Len(t, c.senders, maxSenders)
	now := start.Add(senderRetention + time.Second)
	c.AddReport(now, reportOf(1, 1, hosts, 3, 0))
	d, ok := c.Digest(now, 0, 1, hosts, 1)
	require.True(t, ok)
	require.Equal(t, 1, d.Balancers)
	require.Equal(t, 3, d.Totals[0].Flows)
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

// TestCapacitiesOfDigest guards against slow hosts that are left out of digests, and against
// answers that count twice, or count for hosts of other collectors.
func TestCapacitiesOfDigest(t *testing.T) {
	e := &estimates{values: map[directory.Ticket]capacity.Estimate{
		1: {
			Capacity: 2,
			Known:    true,
			Answers:  9,
		},
		2: {
			Capacity: 8,
			Known:    true,
			Answers:  100,
		},
	}}
	c, hosts := NewCollector(1), hostsOf(4)
	c.estimator = e
	c.Digest(at(-1), 0, 1, hosts[:3], 1)
	r := reportOf(1, 1, hosts, 0, 0)
	for i := range r.Samples {
		r.Samples[i].Answers.Light = capacity.Cell{
			Answers: 1,
			Ratio:   1,
		}
	}
	r.Samples[2].Flows = 3
	r.Samples[1].Answers = capacity.Observation{}
	c.AddReport(start, r)
	c.AddReport(at(100), r)
	require.Equal(t, []addition{
		{
			sender: 1,
			ticket: 1,
		},
		{
			sender: 1,
			ticket: 3,
		},
	}, e.added)
	d, ok := c.Digest(at(250), 0, 1, hosts[:3], 1)
	require.True(t, ok)
	require.Equal(t, []Total{
		{
			Ticket:   1,
			Capacity: 2,
			Answers:  9,
		},
		{
			Ticket: 3,
			Flows:  3,
		},
	}, d.Totals)
}

// TestOwnZone guards against zone totals that offer room at hosts which take no new flows.
func TestOwnZone(t *testing.T) {
	e := &estimates{values: map[directory.Ticket]capacity.Estimate{
		2: {
			Capacity: 2,
			Known:    true,
		},
	}}
	c, hosts := NewCollector(1), hostsOf(6)
	c.estimator = e
	hosts[2].Draining = true
	hosts[3].DepartedAt = start
	hosts[4].WarmAt = at(60000)
	hosts[5].Service = "agenda"
	c.AddReport(start, reportOf(1, 1, hosts, 1, 1.5))
	_, ok := c.Digest(at(250), 0, 1, hosts, 1)
	require.True(t, ok)
	require.Equal(t, []ZoneTotal{
		{
			Zone:     "a",
			Service:  "agenda",
			Group:    3,
			Working:  1.5,
			Capacity: 8,
			Free:     SpareFactor*8 - 1.5,
			At:       at(250),
		},
		{
			Zone:     "a",
			Service:  "board",
			Group:    3,
			Working:  4.5,
			Capacity: 8 + 2 + 1.5,
			Free:     SpareFactor*(8+2) - 2*1.5,
			Slow: []SlowHost{{
				Ticket:   2,
				Capacity: 2,
			}},
			At: at(250),
		},
	}, c.Own(at(250), "a", 3, hosts))
}

// TestZonesOfDigest guards against totals of other zones that are passed on although they are
// old, and against late ones that replace newer ones.
func TestZonesOfDigest(t *testing.T) {
	c, hosts := NewCollector(1), hostsOf(1)
	total := func(zone string, ms int, working float64) ZoneTotal {
		return ZoneTotal{
			Zone:     zone,
			Service:  "board",
			Working:  working,
			Capacity: 8,
			At:       at(ms),
		}
	}
	c.AddReport(at(-1000), reportOf(1, 1, hosts, 1, 1))
	c.AddReport(start, reportOf(1, 2, hosts, 1, 1))
	for _, z := range []ZoneTotal{
		total("d", -1001, 1),
		total("c", -1000, 1),
		total("b", -100, 2),
		total("b", -200, 1),
	} {
		c.AddZone(start, z)
	}
	d, ok := c.Digest(start, 0, 1, hosts, 1)
	require.True(t, ok)
	require.Equal(t, []ZoneTotal{total("b", -100, 2), total("c", -1000, 1)}, d.Zones)
	d, ok = c.Digest(at(1), 0, 1, hosts, 1)
	require.True(t, ok)
	require.Equal(t, []ZoneTotal{total("b", -100, 2)}, d.Zones)
}

// TestHostsWithOneTicket guards against load that counts twice where two hosts have the same
// ticket.
func TestHostsWithOneTicket(t *testing.T) {
	c, hosts := NewCollector(1), hostsOf(2)
	hosts[1].ID = hosts[0].ID
	c.AddReport(start, reportOf(1, 1, hosts[:1], 1, 1))
	d, ok := c.Digest(at(250), 0, 1, hosts, 1)
	require.True(t, ok)
	require.Equal(t, []Total{{
		Ticket:  1,
		Flows:   1,
		Working: 1,
	}}, d.Totals)
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
