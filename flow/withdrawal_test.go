package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// other returns another balancer of the crowd's zone that knows no load.
func (z *crowd) other() *Forwarder {
	return New(z.now, "a", owner(true), WithInquiries(), WithLookups(zones(false)), WithSharing(allSharing))
}

// id returns the ID of the client's flow.
func (c *client) id() ID {
	return ID{
		Client:   c.addr,
		Service:  c.service,
		Sequence: c.seq,
	}
}

// requireWithdrawn requires that the client's packet was dropped, and that no room brings it back.
func (z *crowd) requireWithdrawn(c *client) {
	z.t.Helper()
	z.pass(5 * time.Millisecond)
	z.tell(z.all(0), z.room(0))
	z.pass(2 * maxAdmissionWait)
	decisions := z.decisions(c)
	require.Len(z.t, decisions, 1)
	require.Equal(z.t, Drop, decisions[0].Action)
	require.Equal(z.t, ReasonDelayed, decisions[0].Reason)
	require.Zero(z.t, z.forwarder.Waiting())
	require.Nil(z.t, z.forwarder.flows.find(newKey(c.addr, c.service)))
}

// TestWithdrawal guards against two balancers that each place a flow: one of them holds its first
// packet until there is room, while the other one decides on a copy.
func TestWithdrawal(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(z *crowd, c *client)
	}{
		{
			name: "another balancer asks for the flow",
			do: func(z *crowd, c *client) {
				_, known := z.forwarder.Opening(c.id())
				require.False(z.t, known)
			},
		},
		{
			name: "another balancer tells that the flow is ambiguous",
			do: func(z *crowd, c *client) {
				z.forwarder.AddAmbiguous(z.now, Opening{
					Flow:   c.id(),
					Ticket: z.upstream("a0").Ticket(),
				})
			},
		},
		{
			name: "the process paused",
			do:   func(z *crowd, _ *client) { z.forwarder.HandleResume(z.now) },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newCrowd(t, 4, allSharing)
			c := z.wait()
			test.do(z, c)
			z.requireWithdrawn(c)
		})
	}
}

// TestNoWithdrawal guards against waiting packets that are dropped for another flow of the same
// addresses, which no other balancer has a copy of.
func TestNoWithdrawal(t *testing.T) {
	z := newCrowd(t, 4, allSharing)
	c := z.wait()
	earlier := c.id()
	earlier.Sequence--
	_, known := z.forwarder.Opening(earlier)
	require.False(t, known)
	z.forwarder.AddAmbiguous(z.now, Opening{
		Flow:   earlier,
		Ticket: z.upstream("a0").Ticket(),
	})
	z.tell(z.all(0), z.room(0))
	z.pass(maxAdmissionWait)
	decisions := z.decisions(c)
	require.Len(t, decisions, 1)
	require.Equal(t, Forward, decisions[0].Action)
}

// TestOnePlacement guards against two hosts for a flow whose copy reaches another balancer while
// the first packet waits. One of the two places it, and nobody else.
func TestOnePlacement(t *testing.T) {
	for _, test := range []struct {
		name string
		// lookup is when the lookup of the other balancer comes, after the copy.
		lookup time.Duration
	}{
		{
			name:   "the lookup comes at once",
			lookup: time.Millisecond,
		},
		{
			name:   "the lookup comes late",
			lookup: lookupTimeout - time.Millisecond,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newCrowd(t, 4, allSharing)
			c := z.wait()
			first, second := z.forwarder, z.other()
			z.forwarder = second
			require.Equal(t, ReasonLookup, c.copy(1).Reason)
			lookups := second.Lookups()
			require.Equal(t, []ID{c.id()}, lookups)
			z.advance(test.lookup)
			_, known := first.Opening(lookups[0])
			require.False(t, known)
			z.forwarder = first
			z.tell(z.all(0), z.room(0))
			z.forwarder = second
			z.advance(lookupTimeout)
			second.Advance(z.now, z.view())
			first.Advance(z.now, z.view())
			released := second.Released()
			require.Len(t, released, 1)
			require.Equal(t, Forward, released[0].Decision.Action)
			for _, r := range first.Released() {
				if r.Flow.Client == c.addr {
					require.Equal(t, Drop, r.Decision.Action)
				}
			}
			require.Nil(t, first.flows.find(newKey(c.addr, c.service)))
		})
	}
}

// TestWaitingCopies guards against a copy that is looked up or placed apart from the first packet
// that waits here, and against an old packet that goes in place of its newest copy.
func TestWaitingCopies(t *testing.T) {
	z := newCrowd(t, 4, allSharing)
	c := z.wait()
	waiting := z.forwarder.Waiting()
	for n := range 2 {
		d := c.copy(n + 1)
		require.Equal(t, Hold, d.Action)
		require.Equal(t, ReasonWaiting, d.Reason)
		require.Equal(t, waiting, z.forwarder.Waiting())
	}
	require.Empty(t, z.forwarder.Lookups())
	z.tell(z.all(0), z.room(0))
	z.pass(maxAdmissionWait)
	require.Len(t, z.decisions(c), 1)
	for _, r := range z.released {
		if r.Flow.Client == c.addr {
			require.Equal(t, Forward, r.Decision.Action)
			require.Equal(t, 2, r.Packet.Copy)
		}
	}
}

// TestRestartedHosts guards against a host that gets most new flows because it has restarted under
// the same ID and is empty, while the others are full.
func TestRestartedHosts(t *testing.T) {
	const hosts, flows, gap = 10, 1000, 5 * time.Millisecond
	for _, test := range []struct {
		name string
		cold bool
		// most is the largest number of flows that the host may get.
		most float64
	}{
		{
			name: "cold",
			cold: true,
			// The token bucket gives 7 a second, and the first ones at once.
			most: warmupShare*10*flows*gap.Seconds() + warmupBurst,
		},
		{
			name: "warm",
			// Twice its share by capacity, and three standard deviations of that.
			most: 2*flows/hosts + 3*13,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newCrowd(t, hosts, allSharing)
			for i := range hosts {
				z.host("a"+string(rune('0'+i)), "a", "board", func(u *directory.Upstream) { u.StartedAt = z.now.Add(-time.Hour) })
			}
			working := func(restarted float64) map[string]float64 {
				m := make(map[string]float64)
				for i := range hosts {
					m["a"+string(rune('0'+i))] = 5
				}
				m["a0"] = restarted
				return m
			}
			z.tell(working(5), z.room(64))
			for range 40 {
				z.pass(gap)
				z.arrive(boardAddress)
			}
			z.host("a0", "a", "board", func(u *directory.Upstream) {
				u.StartedAt = z.now
				if test.cold {
					u.WarmAt = z.now.Add(time.Minute)
				}
			})
			got, all := 0, 0
			for i := range flows {
				if i%40 == 0 {
					z.tell(working(0), z.room(64))
				}
				z.pass(gap)
				if _, d := z.arrive(boardAddress); d.Action == Forward {
					all++
					if d.Upstream.ID == "a0" {
						got++
					}
				}
			}
			t.Logf("%d of %d flows", got, all)
			require.Equal(t, flows, all)
			require.Positive(t, got)
			require.LessOrEqual(t, float64(got), test.most)
		})
	}
}
