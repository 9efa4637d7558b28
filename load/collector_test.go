package load

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
)

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
