package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
)

// goal is the latency goal of the routes of a sharedZone.
const goal = 300 * time.Millisecond

// sharedZone is a balancer that places new flows by the digests of its zone.
type sharedZone struct {
	*fixture
	sequence uint32
	version  uint64
}

// newSharedZone returns a balancer of zone "a" with hosts of 4 slots in the zones a and b. Its
// urgent route is that of boardAddress, and plansAddress leads to the same service.
func newSharedZone(t *testing.T, hosts int, s Sharing) *sharedZone {
	t.Helper()
	z := &sharedZone{fixture: newFixture(t, hosts)}
	z.forwarder = New(z.now, "a", owner(true), WithInquiries(), WithLookups(zones(false)), WithSharing(s))
	z.setGoals(goal)
	return z
}

// setGoals gives the routes a latency goal and priorities.
func (z *sharedZone) setGoals(goal time.Duration) {
	z.version++
	p := plan(1+z.version, boardAddress, plansAddress)
	for i := range p.Routes {
		p.Routes[i].LatencyGoal = goal
		p.Routes[i].Priority = 1 + i
		p.Routes[i].Targets[0].Service = "board"
	}
	z.set(directory.Item{
		Key:  directory.Key{Kind: directory.KindPlan},
		Plan: p,
	})
}

// tell applies a digest in which the hosts of zone a have the given requests in progress, and the
// rows of other zones.
func (z *sharedZone) tell(working map[string]float64, zones ...load.ZoneTotal) {
	z.sequence++
	d := &load.Digest{
		Origin:    7,
		Sequence:  z.sequence,
		Groups:    1,
		Balancers: 2,
		Zones:     zones,
	}
	for id, w := range working {
		d.Totals = append(d.Totals, load.Total{
			Ticket:  z.upstream(id).Ticket(),
			Working: w,
		})
	}
	z.forwarder.ApplyDigest(z.now, d, 2)
}

// room returns the row of zone b, whose hosts have 16 slots.
func (z *sharedZone) room(working float64) load.ZoneTotal {
	const capacity = 16
	return load.ZoneTotal{
		Zone:     "b",
		Service:  "board",
		Working:  working,
		Capacity: capacity,
		Free:     max(load.SpareFactor*capacity-working, 0),
		At:       z.now,
	}
}

// all returns the same number of requests in progress for each of the 4 hosts of zone a.
func (z *sharedZone) all(working float64) map[string]float64 {
	m := make(map[string]float64)
	for i := range 4 {
		m[fmt.Sprintf("a%d", i)] = working
	}
	return m
}

// opens opens flows and returns their number by host, and by zone.
func (z *sharedZone) opens(n int) (byHost, byZone map[string]int) {
	byHost, byZone = make(map[string]int), make(map[string]int)
	for range n {
		if d := z.client(boardAddress).open(); d.Action == Forward {
			byHost[d.Upstream.ID]++
			byZone[d.Upstream.Zone]++
		}
	}
	return byHost, byZone
}

// TestPlacementByDigest guards against flows for hosts that are full with other balancers' work,
// which this one does not see.
func TestPlacementByDigest(t *testing.T) {
	z := newSharedZone(t, 4, Sharing{})
	z.tell(map[string]float64{
		"a0": 12,
		"a1": 12,
	})
	byHost, _ := z.opens(40)
	require.Less(t, byHost["a0"]+byHost["a1"], 8)
	require.Greater(t, byHost["a2"], 10)
	require.Greater(t, byHost["a3"], 10)
}

// TestNoSharedKnowledge guards against decisions that differ from those of a balancer without
// sharing while nothing is known of others' work, or a route does not ask for it.
func TestNoSharedKnowledge(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(*sharedZone)
	}{
		{
			name:    "no digest",
			prepare: func(*sharedZone) {},
		},
		{
			name: "the last digest is too old",
			prepare: func(z *sharedZone) {
				z.tell(z.all(50), z.room(0))
				z.advance(3 * time.Second)
			},
		},
		{
			name: "after a pause",
			prepare: func(z *sharedZone) {
				z.tell(z.all(50), z.room(0))
				z.forwarder.HandleResume(z.now)
			},
		},
		{
			name: "no latency goal",
			prepare: func(z *sharedZone) {
				z.setGoals(0)
				z.tell(z.all(50), z.room(0))
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newSharedZone(t, 4, Sharing{
				Learn: true,
				Spill: true,
				Admit: true,
			})
			test.prepare(z)
			alone := New(z.now, "a", owner(true), WithInquiries(), WithLookups(zones(false)))
			for range 50 {
				c := z.client(boardAddress)
				p := c.packet()
				p.Flags, p.Sequence = FlagOpen, c.seq
				want := alone.Forward(z.now, z.view(), &p)
				require.Equal(t, want, z.send(p))
			}
		})
	}
}

// TestSpillover guards against a zone that keeps its excess while another one has room, and
// against flows for zones that are full, unknown or taken out.
func TestSpillover(t *testing.T) {
	on := Sharing{Spill: true}
	for _, test := range []struct {
		name    string
		sharing Sharing
		prepare func(*sharedZone)
		min     int
		max     int
	}{
		{
			name:    "own zone has room",
			sharing: on,
			prepare: func(z *sharedZone) { z.tell(z.all(2), z.room(0)) },
		},
		{
			name:    "own zone is full: as much as the other has room for",
			sharing: on,
			prepare: func(z *sharedZone) { z.tell(z.all(16), z.room(0)) },
			min:     12,
			max:     24,
		},
		{
			name:    "switched off",
			prepare: func(z *sharedZone) { z.tell(z.all(16), z.room(0)) },
		},
		{
			name:    "the other zone is full, too",
			sharing: on,
			prepare: func(z *sharedZone) { z.tell(z.all(16), z.room(64)) },
		},
		{
			name:    "the other zone is not known",
			sharing: on,
			prepare: func(z *sharedZone) { z.tell(z.all(16)) },
		},
		{
			name:    "the other zone has been cut off for a second",
			sharing: on,
			prepare: func(z *sharedZone) {
				z.tell(z.all(16), z.room(0))
				z.advance(1100 * time.Millisecond)
				z.tell(z.all(16))
			},
		},
		{
			name:    "the other zone is taken out",
			sharing: on,
			prepare: func(z *sharedZone) {
				z.tell(z.all(16), z.room(0))
				z.zoneOut("b")
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newSharedZone(t, 4, test.sharing)
			test.prepare(z)
			_, byZone := z.opens(100)
			require.Equal(t, 100, byZone["a"]+byZone["b"])
			require.GreaterOrEqual(t, byZone["b"], test.min)
			require.LessOrEqual(t, byZone["b"], test.max)
		})
	}
}

// zoneOut takes a zone out of service.
func (z *sharedZone) zoneOut(zone string) {
	z.set(directory.Item{
		Key: directory.Key{
			Kind: directory.KindZoneOut,
			Name: zone,
		},
	})
}

// TestBurstBeforeDigest guards against a burst that fills the own zone until a digest tells of it:
// the balancer's own requests grow at once, and those of the other balancers with them.
func TestBurstBeforeDigest(t *testing.T) {
	z := newSharedZone(t, 4, Sharing{Spill: true})
	for range 3 {
		z.tell(z.all(1), z.room(0))
		z.forwarder.LoadReport(z.now, 200*time.Millisecond)
		z.advance(200 * time.Millisecond)
	}
	z.tell(z.all(1), z.room(0))
	for range 24 {
		z.client(boardAddress).establish().request()
	}
	z.advance(loadRefreshInterval)
	_, byZone := z.opens(40)
	require.Greater(t, byZone["b"], 8)
}

// TestLoadReport guards against reports that leave out work: those in progress for a part of the
// period count by their time, and requests without an answer for maxRequestTime count no more.
func TestLoadReport(t *testing.T) {
	z := newSharedZone(t, 1, Sharing{Learn: true})
	z.learnUsualTime()
	z.forwarder.LoadReport(z.now, 200*time.Millisecond)
	c := z.client(boardAddress).establish()
	c.request()
	z.advance(95 * time.Millisecond)
	c.acknowledgeAnswer()
	z.advance(95 * time.Millisecond)
	r := z.forwarder.LoadReport(z.now, 200*time.Millisecond)
	require.Len(t, r.Samples, 1)
	require.Equal(t, 2, r.Samples[0].Flows)
	require.InDelta(t, 95.0/200, r.Samples[0].Working, 1e-9)
	require.Equal(t, 1, r.Samples[0].Answers.Light.Answers+r.Samples[0].Answers.Loaded.Answers)

	c.request()
	z.advance(maxRequestTime)
	z.forwarder.Advance(z.now, z.view())
	z.forwarder.LoadReport(z.now, 200*time.Millisecond)
	z.advance(200 * time.Millisecond)
	r = z.forwarder.LoadReport(z.now, 200*time.Millisecond)
	require.Len(t, r.Samples, 1)
	require.Zero(t, r.Samples[0].Working)
	require.Equal(t, 2, r.Samples[0].Flows)
}

// learnUsualTime plays enough requests on one flow for the usual answer time of its route.
func (z *sharedZone) learnUsualTime() {
	c := z.client(boardAddress).establish()
	for range 100 {
		c.request()
		z.advance(50 * time.Millisecond)
		c.acknowledgeAnswer()
	}
}

// TestMeasuredAnswers guards against answer times that are not the host's: those of requests that
// were sent again, that another balancer forwarded, and after a pause or a move of flows.
func TestMeasuredAnswers(t *testing.T) {
	for _, test := range []struct {
		name string
		play func(z *sharedZone, c *client)
		want int
	}{
		{
			name: "an answer",
			play: func(z *sharedZone, c *client) {
				c.request()
				z.advance(50 * time.Millisecond)
				c.acknowledgeAnswer()
			},
			want: 1,
		},
		{
			name: "an upload in parts",
			play: func(z *sharedZone, c *client) {
				for range 5 {
					z.advance(10 * time.Millisecond)
					c.request()
				}
				z.advance(50 * time.Millisecond)
				c.acknowledgeAnswer()
			},
			want: 1,
		},
		{
			name: "a retransmitted request",
			play: func(z *sharedZone, c *client) {
				c.request()
				z.advance(200 * time.Millisecond)
				c.retransmit()
				z.advance(10 * time.Millisecond)
				c.acknowledgeAnswer()
			},
		},
		{
			name: "a request that another balancer forwarded",
			play: func(z *sharedZone, c *client) {
				other := z.client(boardAddress)
				other.host, other.ack = c.host, 5000
				other.request()
				z.advance(50 * time.Millisecond)
				other.acknowledgeAnswer()
			},
		},
		{
			name: "a request whose answer the client may have acknowledged through another balancer",
			play: func(z *sharedZone, c *client) {
				c.request()
				z.advance(10 * time.Millisecond)
				z.flowOf(c.host).acknowledge()
				z.advance(time.Second)
				c.acknowledgeAnswer()
			},
		},
		{
			name: "after a pause",
			play: func(z *sharedZone, c *client) {
				c.request()
				z.advance(50 * time.Millisecond)
				z.forwarder.HandleResume(z.now)
				c.acknowledgeAnswer()
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newSharedZone(t, 1, Sharing{Learn: true})
			z.learnUsualTime()
			z.forwarder.LoadReport(z.now, 200*time.Millisecond)
			c := z.client(boardAddress).establish()
			test.play(z, c)
			r := z.forwarder.LoadReport(z.now, 200*time.Millisecond)
			require.Len(t, r.Samples, 1)
			o := r.Samples[0].Answers
			require.Equal(t, test.want, o.Light.Answers+o.Loaded.Answers)
		})
	}
}

// TestLoadGrew guards against a zone that learns late of a burst, since its balancers report seldom
// while it is quiet, and against growth that is reported without any.
func TestLoadGrew(t *testing.T) {
	z := newSharedZone(t, 4, Sharing{})
	for range 3 {
		z.tell(z.all(1))
		z.forwarder.LoadReport(z.now, 200*time.Millisecond)
		z.opens(1)
		z.advance(200 * time.Millisecond)
	}
	require.False(t, z.forwarder.LoadGrew())
	for range 24 {
		z.client(boardAddress).establish().request()
	}
	z.advance(loadRefreshInterval)
	z.opens(1)
	require.True(t, z.forwarder.LoadGrew())
	require.False(t, z.forwarder.LoadGrew(), "told already")
}
