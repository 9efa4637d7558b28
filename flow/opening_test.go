package flow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// zone is a few balancers of a zone with one directory. Each of them sees some of a client's
// packets.
type zone struct {
	*fixture
	balancers []*Forwarder
	// detector is that of the host's first watcher.
	detector *Detector
}

// newZone returns a zone in which each balancer has flows at all hosts but one, which it
// prefers for the next flow.
func newZone(t *testing.T, balancers int) *zone {
	t.Helper()
	z := &zone{fixture: newFixture(t, balancers)}
	for i := range balancers {
		z.balancers = append(z.balancers, New(z.now, "a", owner(true), WithInquiries(), WithLookups(zones(false))))
		z.forwarder = z.balancers[i]
		for j := range balancers {
			if j != i {
				z.flowOf(z.upstream(fmt.Sprintf("a%d", j))).acknowledge()
			}
		}
	}
	return z
}

// by makes a balancer handle the packets that are sent from now on.
func (z *zone) by(balancer int) {
	z.forwarder = z.balancers[balancer]
}

// copy sends the given copy of a client's first packet.
func (c *client) copy(n int) Decision {
	return c.f.send(Packet{
		Client:   c.addr,
		Service:  c.service,
		Flags:    FlagOpen,
		Sequence: c.seq,
		Copy:     n,
	})
}

// lookUp has the other balancers answer the lookups of one, except for those that are gone.
func (z *zone) lookUp(balancer int, gone ...int) {
	for _, id := range z.balancers[balancer].Lookups() {
		for i, b := range z.balancers {
			if i == balancer || slices.Contains(gone, i) {
				continue
			}
			if o, ok := b.Opening(id); ok {
				z.balancers[balancer].AddOpening(z.now, z.view(), o)
			}
		}
	}
}

// share tells all balancers of the ambiguous flows that each of them knows.
func (z *zone) share() {
	for _, from := range z.balancers {
		for _, o := range from.AmbiguousFlows() {
			for _, to := range z.balancers {
				if to != from {
					to.AddAmbiguous(z.now, o)
				}
			}
		}
	}
}

// released returns the only decision on a held packet of a balancer.
func (z *zone) released(balancer int) Decision {
	z.t.Helper()
	released := z.balancers[balancer].Released()
	require.Len(z.t, released, 1)
	return released[0].Decision
}

// TestCopyFollowsFirstPacket guards against two hosts for one flow: the answer to a first
// packet was lost, and the copy came to another balancer, which chose a host by its own loads.
// Both hosts answered, and the one that had lost reset the client's flow.
func TestCopyFollowsFirstPacket(t *testing.T) {
	z := newZone(t, 3)
	c := z.client(boardAddress)
	z.by(0)
	host := c.open().Upstream
	for _, balancer := range []int{1, 2} {
		z.by(balancer)
		other := z.client(boardAddress).open().Upstream
		require.NotEqual(t, host, other, "by its own loads, the balancer chooses another host")
	}
	z.advance(200 * time.Millisecond)
	z.by(1)
	d := c.copy(1)
	require.Equal(t, Hold, d.Action)
	require.Equal(t, ReasonLookup, d.Reason)
	z.advance(time.Millisecond)
	z.lookUp(1)
	d = z.released(1)
	require.Equal(t, ReasonCopy, d.Reason)
	require.Equal(t, host, d.Upstream)
	require.Empty(t, z.balancers[1].AmbiguousFlows(), "only one host has got the packet")
	z.by(2)
	require.Equal(t, Hold, c.copy(1).Action, "a duplicate")
	z.lookUp(2)
	require.Equal(t, host, z.released(2).Upstream)
}

// TestCopyOfOpenFlow guards against a second host for a flow that has opened: a copy of its
// first packet was overtaken, and came to a balancer that does not know the flow.
func TestCopyOfOpenFlow(t *testing.T) {
	z := newZone(t, 2)
	c := z.client(boardAddress)
	first := *c
	z.by(0)
	c.establish()
	c.request()
	z.by(1)
	require.Equal(t, Hold, first.copy(2).Action)
	z.lookUp(1)
	d := z.released(1)
	require.Equal(t, ReasonCopy, d.Reason)
	require.Equal(t, c.host, d.Upstream)
}

// TestAmbiguousFlowStaysAtItsHost guards against resets by a host that has answered a flow's
// first packet, but at which the flow did not open: the client's packets carry its ticket
// whenever it has repeated its answer.
func TestAmbiguousFlowStaysAtItsHost(t *testing.T) {
	for _, test := range []struct {
		name string
		// second sends the copies of the first packet, and returns the second host's decision.
		second func(z *zone, c *client) Decision
		reason Reason
	}{
		{
			name: "the balancer of the first packet was killed",
			second: func(z *zone, c *client) Decision {
				z.advance(200 * time.Millisecond)
				z.by(1)
				c.copy(1)
				z.lookUp(1, 0)
				z.advance(lookupTimeout)
				z.forwarder.Advance(z.now, z.view())
				return z.released(1)
			},
			reason: ReasonPlaced,
		},
		{
			name: "the packet was lost twice, and the balancer tried another host",
			second: func(z *zone, c *client) Decision {
				z.advance(200 * time.Millisecond)
				c.copy(1)
				z.advance(400 * time.Millisecond)
				return c.copy(2)
			},
			reason: ReasonMoved,
		},
		{
			name: "the packet was lost twice, and the next balancer tried another host",
			second: func(z *zone, c *client) Decision {
				z.advance(600 * time.Millisecond)
				z.by(1)
				c.copy(2)
				z.lookUp(1)
				return z.released(1)
			},
			reason: ReasonMoved,
		},
	} {
		for _, firstAnswers := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				z := newZone(t, 3)
				c := z.client(boardAddress)
				z.by(0)
				first := c.open().Upstream
				d := test.second(z, c)
				require.Equal(t, Forward, d.Action)
				require.Equal(t, test.reason, d.Reason)
				require.NotEqual(t, first, d.Upstream)
				z.share()
				winner, other := first, d.Upstream
				if !firstAnswers {
					winner, other = other, winner
				}
				c.host, c.ack = winner, 5000
				c.acknowledge()
				z.share()
				c.host = other
				for i := range z.balancers {
					z.by(i)
					d := c.request()
					require.Equal(t, ReasonRemembered, d.Reason)
					require.Equal(t, winner, d.Upstream, i)
					require.Equal(t, winner.Ticket(), d.Ticket)
				}
				require.Equal(t, ReasonCopy, (&client{
					f:       z.fixture,
					addr:    c.addr,
					service: c.service,
					seq:     1000,
				}).copy(1).Reason, "a late copy")
				c.seq += maxFlowLength
				require.Equal(t, other, c.request().Upstream, "another flow from the same port")
			})
		}
	}
}

// TestAmbiguousFlowsExpire checks that the flows that are remembered for their two hosts are
// bounded in time.
func TestAmbiguousFlowsExpire(t *testing.T) {
	z := newZone(t, 2)
	c := z.client(boardAddress)
	z.by(0)
	c.open()
	z.advance(600 * time.Millisecond)
	require.Equal(t, ReasonMoved, c.copy(2).Reason)
	z.share()
	for _, b := range z.balancers {
		require.Len(t, b.openings.ambiguous, 1)
		b.expireFlows(z.now.Add(2*defaultIdleTimeout), z.view())
		require.Empty(t, b.openings.ambiguous)
	}
}

// lastOtherTicket is how long after a first packet the client of an open flow may still send the
// ticket of a host at which the flow has not opened: the host repeats its answer for 9.4 s, and the
// flow is idle for 15 s after that.
const lastOtherTicket = 9400*time.Millisecond + 15*time.Second

// TestAmbiguousFlowOutlivesTheOtherHost guards against the reset of a flow that was idle: the balancer
// had forgotten that its packets may carry the ticket of another host.
func TestAmbiguousFlowOutlivesTheOtherHost(t *testing.T) {
	z := newZone(t, 2)
	c := z.client(boardAddress)
	z.by(0)
	first := c.open().Upstream
	z.advance(600 * time.Millisecond)
	second := c.copy(2).Upstream
	require.NotEqual(t, first, second)
	c.host, c.ack = first, 5000
	c.acknowledge()
	z.share()
	z.advance(lastOtherTicket)
	c.host = second
	for i := range z.balancers {
		z.by(i)
		require.Equal(t, first, c.request().Upstream, "balancer %d", i)
	}
}

// TestHeldPacketsAfterAPause checks that a first packet that waits while the process does not
// run is not placed: the client may have opened the flow by another balancer.
func TestHeldPacketsAfterAPause(t *testing.T) {
	z := newZone(t, 2)
	c := z.client(boardAddress)
	require.Equal(t, Hold, c.copy(1).Action)
	require.Equal(t, z.now.Add(lookupTimeout), z.forwarder.NextTimer())
	z.advance(time.Second)
	z.forwarder.HandleResume(z.now)
	require.Equal(t, ReasonDelayed, z.released(1).Reason)
	z.forwarder.Advance(z.now, z.view())
	require.Empty(t, z.forwarder.Released())
}

// TestOpeningAtAnUnknownHost checks that an answer that names an unknown host leaves the packet
// to the time limit.
func TestOpeningAtAnUnknownHost(t *testing.T) {
	z := newZone(t, 2)
	c := z.client(boardAddress)
	c.copy(1)
	id := z.forwarder.Lookups()[0]
	z.forwarder.AddOpening(z.now, z.view(), Opening{
		Flow:   id,
		Ticket: (&directory.Upstream{ID: "ffff"}).Ticket(),
	})
	require.Empty(t, z.forwarder.Released())
	z.advance(lookupTimeout)
	z.forwarder.Advance(z.now, z.view())
	require.Equal(t, Forward, z.released(1).Action)
}

// TestHeldCopyFollowsLaterPackets guards against a second host for a flow while a copy of its first
// packet waits for a lookup: what came meanwhile was overwritten when nobody had answered, and the
// second host reset the open flow.
func TestHeldCopyFollowsLaterPackets(t *testing.T) {
	for _, test := range []struct {
		name string
		// meanwhile is what happens while the copy waits.
		meanwhile func(z *zone, c *client, id ID)
		want      Reason
		// placed reports whether this balancer places the flow.
		placed bool
	}{
		{
			name:      "the client acknowledges the answer of the first host",
			meanwhile: func(_ *zone, c *client, _ ID) { c.acknowledge() },
			want:      ReasonOvertaken,
		},
		{
			name:      "the client's acknowledgment was lost, and its request comes",
			meanwhile: func(_ *zone, c *client, _ ID) { c.request() },
			want:      ReasonOvertaken,
		},
		{
			name: "the client gives up",
			meanwhile: func(z *zone, c *client, _ ID) {
				p := c.packet()
				p.Flags |= FlagReset
				z.send(p)
			},
			want: ReasonOvertaken,
		},
		{
			name: "the client opens another flow from its port",
			meanwhile: func(_ *zone, c *client, _ ID) {
				c.seq += 1 << 30
				c.establish()
			},
			want: ReasonOvertaken,
		},
		{
			name: "the zone is told that the flow has opened",
			meanwhile: func(z *zone, c *client, id ID) {
				z.forwarder.AddAmbiguous(z.now, Opening{
					Flow:   id,
					Ticket: c.host.Ticket(),
					Open:   true,
				})
			},
			want: ReasonCopy,
		},
		{
			name: "the first packet comes late",
			meanwhile: func(z *zone, c *client, _ ID) {
				c.seq--
				require.Equal(z.t, Hold, c.copy(0).Action)
				c.seq++
			},
			want:   ReasonPlaced,
			placed: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newZone(t, 2)
			z.by(1)
			c := z.client(boardAddress)
			require.Equal(t, Hold, c.copy(1).Action)
			id := c.flow()
			c.host, c.ack = z.upstream("a0"), 5000
			c.seq++
			z.advance(time.Millisecond)
			test.meanwhile(z, c, id)
			z.advance(lookupTimeout)
			z.forwarder.Advance(z.now, z.view())
			require.Equal(t, test.want, z.released(1).Reason)
			z.advance(2 * lookupTimeout)
			z.forwarder.Advance(z.now, z.view())
			require.Empty(t, z.forwarder.Released(), "one decision on one packet")
			require.Equal(t, test.placed, len(z.forwarder.AmbiguousFlows()) > 0)
			if s := z.forwarder.flows.find(newKey(c.addr, c.service)); !test.placed {
				require.Equal(t, c.host, s.upstream, "the flow's host stays")
			}
		})
	}
}

// TestKnownUpstreamOutweighsGuess guards against resets by a second host: a balancer that had seen
// a flow open took over from another one, which had seen less, that the flow might be at that host.
func TestKnownUpstreamOutweighsGuess(t *testing.T) {
	for _, test := range []struct {
		name string
		// learn gives the balancers 0, which has seen the flow open, and 1, which has placed a copy
		// of its first packet, the other's knowledge.
		learn func(z *zone, id ID)
	}{
		{
			name:  "the guess is told",
			learn: func(z *zone, _ ID) { z.share() },
		},
		{
			name: "the answer to a lookup comes too late",
			learn: func(z *zone, id ID) {
				z.balancers[1].AmbiguousFlows()
				o, ok := z.balancers[0].Opening(id)
				require.True(z.t, ok)
				z.balancers[1].AddOpening(z.now, z.view(), o)
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newZone(t, 3)
			c := z.client(boardAddress)
			z.by(0)
			c.establish()
			host := c.host
			late := &client{
				f:       z.fixture,
				addr:    c.addr,
				service: c.service,
				seq:     c.seq,
			}
			z.by(1)
			require.Equal(t, Hold, late.copy(1).Action)
			z.advance(lookupTimeout)
			z.forwarder.Advance(z.now, z.view())
			second := z.released(1).Upstream
			require.NotEqual(t, host, second)
			test.learn(z, late.flow())
			z.share()
			c.host = second
			for i := range z.balancers {
				z.by(i)
				require.Equal(t, host, c.request().Upstream, "balancer %d", i)
			}
		})
	}
}

// flow returns the ID of the flow that a client is opening.
func (c *client) flow() ID {
	return ID{
		Client:   c.addr,
		Service:  c.service,
		Sequence: c.seq,
	}
}
