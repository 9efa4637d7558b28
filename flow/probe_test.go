package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// TestProbes checks which upstreams are probed: those of the own zone that leave a first
// packet or a request unanswered, at most twice a second.
func TestProbes(t *testing.T) {
	for _, test := range []struct {
		name string
		// zone is the zone of the hosts that take new flows.
		zone string
		run  func(f *fixture, c *client)
		// probes is the expected number of probes.
		probes int
	}{
		{
			name:   "no answer",
			zone:   "a",
			run:    func(f *fixture, _ *client) { f.advance(lateOpeningAfter) },
			probes: 1,
		},
		{
			name: "not due yet",
			zone: "a",
			run:  func(f *fixture, _ *client) { f.advance(lateOpeningAfter - time.Millisecond) },
		},
		{
			name: "an answer",
			zone: "a",
			run: func(f *fixture, c *client) {
				f.advance(roundTrip)
				c.ack = 5000
				c.acknowledge()
				f.advance(lateOpeningAfter)
			},
		},
		{
			name: "a host of another zone",
			zone: "b",
			run:  func(f *fixture, _ *client) { f.advance(lateOpeningAfter) },
		},
		{
			name: "several unanswered first packets",
			zone: "a",
			run: func(f *fixture, _ *client) {
				for range 10 {
					f.client(boardAddress).open()
					f.advance(probeInterval / 5)
				}
			},
			probes: 2,
		},
		{
			name: "a request without an answer",
			zone: "a",
			run: func(f *fixture, c *client) {
				f.advance(roundTrip)
				c.ack = 5000
				c.acknowledge()
				c.request()
				f.advance(lateRequestAfter)
			},
			probes: 1,
		},
		{
			name: "a request with an answer",
			zone: "a",
			run: func(f *fixture, c *client) {
				f.advance(roundTrip)
				c.ack = 5000
				c.acknowledge()
				c.request()
				f.advance(lateRequestAfter / 2)
				c.acknowledgeAnswer()
				f.advance(lateRequestAfter)
			},
		},
		{
			name: "progress on another flow since the request",
			zone: "a",
			run: func(f *fixture, c *client) {
				other := f.client(boardAddress).establish()
				c.ack = 5000
				c.acknowledge()
				c.request()
				f.advance(lateRequestAfter / 2)
				other.request()
				other.acknowledgeAnswer()
				f.advance(lateRequestAfter / 2)
			},
		},
		{
			name: "after a pause of the process",
			zone: "a",
			run: func(f *fixture, _ *client) {
				f.advance(4 * time.Second)
				f.forwarder.HandleResume(f.now)
				f.client(boardAddress).open()
				f.advance(lateOpeningAfter)
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			if test.zone == "b" {
				f.set(directory.Item{Key: directory.Key{
					Kind: directory.KindZoneOut,
					Name: "a",
				}})
			}
			c := f.client(boardAddress)
			require.Equal(t, test.zone, c.open().Upstream.Zone)
			test.run(f, c)
			f.forwarder.Advance(f.now, f.dir.View(f.now, nil))
			require.Len(t, f.forwarder.UpstreamsToProbe(), test.probes)
		})
	}
}

// TestRefusals checks when refused connections lead to a death, and that earlier progress
// of the upstream does not refute it.
func TestRefusals(t *testing.T) {
	refusal := Report{Refusals: 1}
	for _, test := range []struct {
		name      string
		balancers int
		from      []uint64
		apart     time.Duration
		dead      bool
	}{
		{
			name:      "one balancer of several",
			balancers: 3,
			from:      []uint64{1},
		},
		{
			name:      "one balancer twice",
			balancers: 3,
			from:      []uint64{1, 1},
		},
		{
			name:      "two balancers",
			balancers: 3,
			from:      []uint64{1, 2},
			dead:      true,
		},
		{
			name:      "two balancers, too far apart",
			balancers: 3,
			from:      []uint64{1, 2},
			apart:     reportLifetime,
		},
		{
			name:      "a zone with one balancer",
			balancers: 1,
			from:      []uint64{1},
			dead:      true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := NewDetector(1)
			now := time.Now()
			d.AddReport(now, 9, Report{
				SilentFlows:     1,
				Retransmissions: 1,
				Silence:         300 * time.Millisecond,
			}, test.balancers)
			var joined Report
			var found Finding
			for _, from := range test.from {
				joined, found = d.AddReport(now, from, refusal, test.balancers)
				now = now.Add(test.apart)
			}
			require.Equal(t, test.dead, found == FoundDead)
			if test.dead {
				require.Zero(t, joined.Silence)
			}
		})
	}
}

// TestShouldProbe checks when a balancer probes an upstream because of another
// balancer's report.
func TestShouldProbe(t *testing.T) {
	const own, other = 1, 2
	d := NewDetector(1)
	now := time.Now()
	require.False(t, d.ShouldProbe(now, own, 0))
	d.AddReport(now, other, Report{Refusals: 1}, 3)
	require.True(t, d.ShouldProbe(now, own, 0))
	require.False(t, d.ShouldProbe(now, own, 0), "a probe is in progress")
	now = now.Add(probeInterval)
	d.AddReport(now, own, Report{Refusals: 1}, 3)
	require.False(t, d.ShouldProbe(now, own, 0), "its own result is known")
}

// TestBusy checks when late requests show that an upstream is overloaded.
func TestBusy(t *testing.T) {
	late := Report{LateRequests: 1}
	d := NewDetector(1)
	now := time.Now()
	for _, test := range []struct {
		name  string
		after time.Duration
		found Finding
	}{
		{
			name: "one late request",
		},
		{
			name:  "another one, too long after the first",
			after: reportLifetime,
		},
		{
			name:  "two within a second",
			after: reportLifetime / 2,
			found: FoundBusy,
		},
		{
			name:  "the zone was notified just before",
			after: busyDuration / 4,
		},
		{
			name:  "requests stay late",
			after: busyDuration / 4,
			found: FoundBusy,
		},
	} {
		now = now.Add(test.after)
		_, found := d.AddReport(now, 1, late, 3)
		require.Equal(t, test.found, found, test.name)
	}
}

// TestBusyUpstreamsAreAvoided checks that new flows avoid busy upstreams for busyDuration,
// unless more than a third of the zone's upstreams are busy.
func TestBusyUpstreamsAreAvoided(t *testing.T) {
	f := newFixture(t, 4)
	first := f.client(boardAddress).open().Upstream
	f.forwarder.MarkBusy(f.now, first.Ticket())
	other := f.client(boardAddress).open().Upstream
	require.NotEqual(t, first.ID, other.ID)
	for range 6 {
		u := f.client(boardAddress).open().Upstream
		require.NotEqual(t, first.ID, u.ID)
		require.Equal(t, "a", u.Zone)
	}
	f.forwarder.MarkBusy(f.now, other.Ticket())
	require.Equal(t, first.ID, f.client(boardAddress).open().Upstream.ID, "it has the fewest flows")
	f.forwarder.MarkBusy(f.now, first.Ticket())
	f.advance(busyDuration)
	require.Equal(t, Answering, f.forwarder.healthOf(first).state)
	require.False(t, f.now.Before(f.forwarder.healthOf(first).busyUntil))
}

// TestLateRequestsAreReported checks that a late request is reported once, even if its
// upstream makes progress on other flows.
func TestLateRequestsAreReported(t *testing.T) {
	f := newFixture(t, 1)
	c, other := f.client(boardAddress).establish(), f.client(boardAddress).establish()
	c.request()
	f.advance(lateRequestAfter / 2)
	other.request()
	other.acknowledgeAnswer()
	f.advance(lateRequestAfter / 2)
	f.forwarder.Advance(f.now, f.view())
	require.Equal(t, []Report{{
		Ticket:       c.host.Ticket(),
		LateRequests: 1,
	}}, f.forwarder.Reports())
	require.Empty(t, f.forwarder.UpstreamsToProbe())
	f.advance(lateRequestAfter)
	f.forwarder.Advance(f.now, f.view())
	require.Empty(t, f.forwarder.Reports())
}
