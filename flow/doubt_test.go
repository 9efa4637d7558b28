package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// TestDoubts states which upstreams are probed: those of the own zone that leave
// a first packet unanswered, twice a second at most.
func TestDoubts(t *testing.T) {
	for _, test := range []struct {
		name string
		// zone is that of the hosts that take new flows.
		zone string
		play func(w *world, c *client)
		// doubted is the number of probes.
		doubted int
	}{
		{
			name:    "no answer",
			zone:    "a",
			play:    func(w *world, _ *client) { w.pass(refuseAfter) },
			doubted: 1,
		},
		{
			name: "not due yet",
			zone: "a",
			play: func(w *world, _ *client) { w.pass(refuseAfter - time.Millisecond) },
		},
		{
			name: "an answer",
			zone: "a",
			play: func(w *world, c *client) {
				w.pass(roundTrip)
				c.ack = 5000
				c.acknowledge()
				w.pass(refuseAfter)
			},
		},
		{
			name: "a host of another zone",
			zone: "b",
			play: func(w *world, _ *client) { w.pass(refuseAfter) },
		},
		{
			name: "again and again",
			zone: "a",
			play: func(w *world, _ *client) {
				for range 10 {
					w.client(boardAddress).open()
					w.pass(probeInterval / 5)
				}
			},
			doubted: 2,
		},
		{
			name: "a request without an answer",
			zone: "a",
			play: func(w *world, c *client) {
				w.pass(roundTrip)
				c.ack = 5000
				c.acknowledge()
				c.request()
				w.pass(requestDoubt)
			},
			doubted: 1,
		},
		{
			name: "a request with an answer",
			zone: "a",
			play: func(w *world, c *client) {
				w.pass(roundTrip)
				c.ack = 5000
				c.acknowledge()
				c.request()
				w.pass(requestDoubt / 2)
				c.answered()
				w.pass(requestDoubt)
			},
		},
		{
			name: "progress on another flow since the request",
			zone: "a",
			play: func(w *world, c *client) {
				other := w.client(boardAddress).established()
				c.ack = 5000
				c.acknowledge()
				c.request()
				w.pass(requestDoubt / 2)
				other.request()
				other.answered()
				w.pass(requestDoubt / 2)
			},
		},
		{
			name: "after a pause of the process",
			zone: "a",
			play: func(w *world, _ *client) {
				w.pass(4 * time.Second)
				w.forwarder.HandleResume(w.now)
				w.client(boardAddress).open()
				w.pass(refuseAfter)
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 1)
			if test.zone == "b" {
				w.set(directory.Item{Key: directory.Key{
					Kind: directory.KindZoneOut,
					Name: "a",
				}})
			}
			c := w.client(boardAddress)
			require.Equal(t, test.zone, c.open().Upstream.Zone)
			test.play(w, c)
			w.forwarder.Advance(w.now, w.dir.View(w.now, nil))
			require.Len(t, w.forwarder.UpstreamsToProbe(), test.doubted)
		})
	}
}

// TestRefusals states when refused connections make a death, and that what an
// upstream showed before does not refute it.
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
			apart:     reportLife,
		},
		{
			name:      "a zone with one balancer",
			balancers: 1,
			from:      []uint64{1},
			dead:      true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := NewDetector()
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

// TestUnconfirmedRefusals states when a balancer probes for another one's report.
func TestUnconfirmedRefusals(t *testing.T) {
	const own, other = 1, 2
	d := NewDetector()
	now := time.Now()
	require.False(t, d.ShouldProbe(now, own, 0))
	d.AddReport(now, other, Report{Refusals: 1}, 3)
	require.True(t, d.ShouldProbe(now, own, 0))
	require.False(t, d.ShouldProbe(now, own, 0), "a probe is on its way")
	now = now.Add(probeInterval)
	d.AddReport(now, own, Report{Refusals: 1}, 3)
	require.False(t, d.ShouldProbe(now, own, 0), "its own result is known")
}

// TestBusy states when late requests show that an upstream is behind with its work,
// and that new flows then avoid it for a while.
func TestBusy(t *testing.T) {
	late := Report{LateRequests: 1}
	d := NewDetector()
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
			name:  "another one, too late",
			after: reportLife,
		},
		{
			name:  "two within a second",
			after: reportLife / 2,
			found: FoundBusy,
		},
		{
			name:  "the zone has just been told",
			after: busyTime / 4,
		},
		{
			name:  "it goes on",
			after: busyTime / 4,
			found: FoundBusy,
		},
	} {
		now = now.Add(test.after)
		_, found := d.AddReport(now, 1, late, 3)
		require.Equal(t, test.found, found, test.name)
	}
}

// TestBusyUpstreamsAreSpared states that new flows avoid busy upstreams for a while,
// but not where more than a third of the zone's are busy.
func TestBusyUpstreamsAreSpared(t *testing.T) {
	w := newWorld(t, 4)
	first := w.client(boardAddress).open().Upstream
	w.forwarder.MarkBusy(w.now, first.Ticket())
	other := w.client(boardAddress).open().Upstream
	require.NotEqual(t, first.ID, other.ID)
	for range 6 {
		u := w.client(boardAddress).open().Upstream
		require.NotEqual(t, first.ID, u.ID)
		require.Equal(t, "a", u.Zone)
	}
	w.forwarder.MarkBusy(w.now, other.Ticket())
	require.Equal(t, first.ID, w.client(boardAddress).open().Upstream.ID, "it has the fewest flows")
	w.forwarder.MarkBusy(w.now, first.Ticket())
	w.pass(busyTime)
	require.Equal(t, Answering, w.forwarder.healthOf(first).state)
	require.False(t, w.now.Before(w.forwarder.healthOf(first).busy))
}

// TestLateRequestsAreReported states that a request is reported once, although its
// upstream makes progress elsewhere.
func TestLateRequestsAreReported(t *testing.T) {
	w := newWorld(t, 1)
	c, other := w.client(boardAddress).established(), w.client(boardAddress).established()
	c.request()
	w.pass(requestDoubt / 2)
	other.request()
	other.answered()
	w.pass(requestDoubt / 2)
	w.forwarder.Advance(w.now, w.view())
	require.Equal(t, []Report{{
		Ticket:       c.host.Ticket(),
		LateRequests: 1,
	}}, w.forwarder.Reports())
	require.Empty(t, w.forwarder.UpstreamsToProbe())
	w.pass(requestDoubt)
	w.forwarder.Advance(w.now, w.view())
	require.Empty(t, w.forwarder.Reports())
}
