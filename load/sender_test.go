package load

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// TestOrderOfReports guards against late and repeated reports that replace newer ones, and
// against a sender that is ignored after a restart, when its sequence starts over.
func TestOrderOfReports(t *testing.T) {
	type arrival struct {
		ms       int
		sequence uint32
		flows    int
	}
	for _, test := range []struct {
		name     string
		arrivals []arrival
		flows    int
	}{
		{
			name:     "in order",
			arrivals: []arrival{{ms: 0, sequence: 1, flows: 1}, {ms: 250, sequence: 2, flows: 2}},
			flows:    2,
		},
		{
			name:     "repeated with other content",
			arrivals: []arrival{{ms: 0, sequence: 1, flows: 1}, {ms: 10, sequence: 1, flows: 2}},
			flows:    1,
		},
		{
			name:     "late by a second",
			arrivals: []arrival{{ms: 750, sequence: 5, flows: 5}, {ms: 900, sequence: 1, flows: 1}},
			flows:    5,
		},
		{
			name: "several late, between newer ones",
			arrivals: []arrival{
				{ms: 0, sequence: 5, flows: 5},
				{ms: 100, sequence: 1, flows: 1},
				{ms: 250, sequence: 6, flows: 6},
				{ms: 350, sequence: 2, flows: 2},
			},
			flows: 6,
		},
		{
			name: "the last one of a silent sender, late",
			arrivals: []arrival{
				{ms: 0, sequence: 5, flows: 5},
				{ms: 1000, sequence: 4, flows: 4},
			},
			flows: 0,
		},
		{
			name:     "frozen for 3 s",
			arrivals: []arrival{{ms: 0, sequence: 5, flows: 5}, {ms: 3000, sequence: 6, flows: 6}},
			flows:    6,
		},
		{
			name:     "restart after many reports",
			arrivals: []arrival{{ms: 0, sequence: 1000, flows: 5}, {ms: 100, sequence: 1, flows: 1}},
			flows:    1,
		},
		{
			name: "restart after few reports",
			arrivals: []arrival{
				{ms: 0, sequence: 5, flows: 5},
				{ms: 100, sequence: 1, flows: 1},
				{ms: 350, sequence: 2, flows: 2},
			},
			flows: 2,
		},
		{
			name: "hostile highest sequence",
			arrivals: []arrival{
				{ms: 0, sequence: 5, flows: 5},
				{ms: 100, sequence: math.MaxUint32, flows: 9},
				{ms: 250, sequence: 6, flows: 6},
			},
			flows: 6,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, hosts := NewCollector(1), hostsOf(1)
			c.AddReport(at(-1000), reportOf(2, 1, hosts, 0, 0))
			now := start
			for _, a := range test.arrivals {
				now = at(a.ms)
				c.AddReport(now, reportOf(1, a.sequence, hosts, a.flows, 0))
			}
			c.AddReport(now, reportOf(2, 1000, hosts, 0, 0))
			d, ok := c.Digest(now, 0, 1, hosts, 1)
			require.True(t, ok)
			if test.flows == 0 {
				require.Empty(t, d.Totals)
				return
			}
			require.Len(t, d.Totals, 1)
			require.Equal(t, test.flows, d.Totals[0].Flows)
		})
	}
}

// TestSilentSender guards against the load of a dead balancer that counts for long, and of a
// live one that counts no more after a lost report or two.
func TestSilentSender(t *testing.T) {
	for _, test := range []struct {
		name   string
		period time.Duration
		counts time.Duration
	}{
		{
			name:   "busy",
			period: 250 * time.Millisecond,
			counts: 625 * time.Millisecond,
		},
		{
			name:   "not busy",
			period: time.Second,
			counts: 2500 * time.Millisecond,
		},
		{
			name:   "frozen before",
			period: time.Minute,
			counts: 2500 * time.Millisecond,
		},
		{
			name:   "no period",
			counts: 250 * time.Millisecond,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, hosts := NewCollector(1), hostsOf(1)
			c.AddReport(at(-1000), reportOf(1, 1, hosts, 1, 1))
			r := reportOf(1, 2, hosts, 1, 1)
			r.Period = test.period
			c.AddReport(start, r)
			// A copy does not make the report count for longer.
			c.AddReport(at(200), r)
			_, ok := c.Digest(start.Add(test.counts-time.Millisecond), 0, 1, hosts, 1)
			require.True(t, ok)
			_, ok = c.Digest(start.Add(test.counts), 0, 1, hosts, 1)
			require.False(t, ok)
		})
	}
}

// TestPartsOfReport guards against a split report of which the collector keeps one part only,
// and against a lost part that makes its hosts look idle.
func TestPartsOfReport(t *testing.T) {
	hosts := hostsOf(4)
	part := func(sequence uint32, partial bool, from, to, flows int) *Report {
		r := reportOf(1, sequence, hosts[from:to], flows, 0)
		r.Partial = partial
		return r
	}
	for _, test := range []struct {
		name    string
		reports []*Report
		flows   []int
	}{
		{
			name:    "both parts",
			reports: []*Report{part(1, true, 0, 2, 1), part(1, true, 2, 4, 2)},
			flows:   []int{1, 1, 2, 2},
		},
		{
			name:    "reordered and repeated",
			reports: []*Report{part(1, true, 2, 4, 2), part(1, true, 0, 2, 1), part(1, true, 2, 4, 2)},
			flows:   []int{1, 1, 2, 2},
		},
		{
			name:    "reports to the collectors of two groups",
			reports: []*Report{part(1, false, 0, 2, 1), part(1, false, 2, 4, 2)},
			flows:   []int{1, 1, 2, 2},
		},
		{
			name: "one part lost",
			reports: []*Report{
				part(1, true, 0, 2, 1),
				part(1, true, 2, 4, 2),
				part(2, true, 2, 4, 3),
			},
			flows: []int{1, 1, 3, 3},
		},
		{
			name: "one part lost twice",
			reports: []*Report{
				part(1, true, 0, 2, 1),
				part(1, true, 2, 4, 2),
				part(2, true, 2, 4, 3),
				part(3, true, 2, 4, 4),
			},
			flows: []int{0, 0, 4, 4},
		},
		{
			name:    "hosts left out of a whole report",
			reports: []*Report{part(1, false, 0, 4, 1), part(2, false, 2, 4, 2)},
			flows:   []int{0, 0, 2, 2},
		},
		{
			name:    "parts of a restarted sender",
			reports: []*Report{part(100, true, 0, 4, 1), part(1, true, 2, 4, 2)},
			flows:   []int{0, 0, 2, 2},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := NewCollector(1)
			for _, r := range test.reports {
				c.AddReport(start, r)
			}
			d, ok := c.Digest(at(250), 0, 1, hosts, 1)
			require.True(t, ok)
			flows := make([]int, len(hosts))
			for _, total := range d.Totals {
				flows[total.Ticket-1] = total.Flows
			}
			require.Equal(t, test.flows, flows)
		})
	}
}

// TestSamplesOfOneSender guards against memory that a hostile sender fills, and against
// samples without an upstream.
func TestSamplesOfOneSender(t *testing.T) {
	s := &sender{}
	for i := range 2 * maxSamples {
		s.add(&Sample{Ticket: directory.Ticket(i)})
	}
	require.Len(t, s.samples, maxSamples)
	require.Equal(t, directory.Ticket(1), s.samples[0].ticket)
}
