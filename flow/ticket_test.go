package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateAnswerMovesNoOpenFlow guards against resets by a host that answered an old copy of a
// first packet: the client then sends that host's ticket, and its packets went there although
// the balancer knew the flow's host.
func TestLateAnswerMovesNoOpenFlow(t *testing.T) {
	for _, test := range []struct {
		name string
		// change prepares the flow, whose next packet has the ticket of another host.
		change func(f *fixture, c *client)
		// moves is whether the packet goes to the other host.
		moves bool
	}{
		{
			name:   "a flow whose host has answered",
			change: func(_ *fixture, c *client) { c.answered() },
		},
		{
			name: "a flow from another balancer whose host has answered here",
			change: func(f *fixture, c *client) {
				f.forwarder = New(f.now, "a", owner(true))
				c.acknowledge()
				c.answered()
			},
		},
		{
			name:   "a flow whose host has sent nothing yet",
			change: func(*fixture, *client) {},
			moves:  true,
		},
		{
			name: "a flow at a balancer that doesn't know it",
			change: func(f *fixture, c *client) {
				c.answered()
				f.forwarder = New(f.now, "a", owner(true))
			},
			moves: true,
		},
		{
			name: "a flow whose acknowledgments don't continue",
			change: func(_ *fixture, c *client) {
				c.answered()
				c.ack += maxSequenceGap + 1
			},
			moves: true,
		},
		{
			name: "a flow that has ended",
			change: func(_ *fixture, c *client) {
				c.answered()
				p := c.packet()
				p.Flags |= FlagFinish
				c.f.send(p)
			},
			moves: true,
		},
		{
			name: "a flow whose packets stay unanswered",
			change: func(f *fixture, c *client) {
				c.answered()
				c.request()
				for range moveAfterCopies {
					f.advance(400 * time.Millisecond)
					c.retransmit()
				}
			},
			moves: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 2)
			c := f.client(boardAddress).establish()
			host := c.host
			test.change(f, c)
			c.host = f.upstream("b1")
			require.NotEqual(t, host, c.host)
			want, reason := host, ReasonRemembered
			if test.moves {
				want, reason = c.host, ReasonTicket
			}
			d := c.request()
			require.Equal(t, Forward, d.Action)
			require.Equal(t, want, d.Upstream)
			require.Equal(t, want.Ticket(), d.Ticket)
			require.Equal(t, reason, d.Reason)
			require.True(t, d.StartsRequest || test.moves)
			f.requireLoads(t)
		})
	}
}

// answered lets the flow's host answer a request.
func (c *client) answered() {
	c.request()
	c.f.advance(roundTrip)
	c.acknowledgeAnswer()
}

// TestLateCopyMovesNoAdoptedFlow guards against a second host for a flow that another balancer
// opened: a copy of its first packet that was overtaken went to any host, whose answer the
// client would follow.
func TestLateCopyMovesNoAdoptedFlow(t *testing.T) {
	f := newFixture(t, 6)
	c := f.client(boardAddress).establish()
	first := Packet{
		Client:   c.addr,
		Service:  c.service,
		Flags:    FlagOpen,
		Sequence: c.seq,
	}
	f.forwarder = New(f.now, "a", owner(true))
	c.request()
	for range 5 {
		f.client(boardAddress).establish()
	}
	d := f.send(first)
	require.Equal(t, ReasonCopy, d.Reason)
	require.Equal(t, c.host, d.Upstream)
	first.Sequence += maxSequenceGap
	require.Equal(t, ReasonPlaced, f.send(first).Reason, "another flow from the same port")
	f.requireLoads(t)
}

// TestDelayedFirstPacketsAreNotPlaced guards against a second host for a flow: a balancer that
// had been frozen forwarded the first packets that it found in its queue to hosts of its own
// choice, although their clients had opened the flows by other balancers.
func TestDelayedFirstPacketsAreNotPlaced(t *testing.T) {
	f := newFixture(t, 2)
	c := f.client(boardAddress)
	first := Packet{
		Client:   c.addr,
		Service:  c.service,
		Flags:    FlagOpen,
		Sequence: c.seq,
		Delayed:  true,
	}
	for range 2 {
		d := f.send(first)
		require.Equal(t, Drop, d.Action)
		require.Equal(t, ReasonDelayed, d.Reason)
		f.advance(200 * time.Millisecond)
	}
	first.Delayed = false
	u := f.send(first).Upstream
	require.NotNil(t, u)
	f.advance(200 * time.Millisecond)
	first.Delayed = true
	require.Equal(t, u, f.send(first).Upstream, "the first host may answer again")
	f.advance(400 * time.Millisecond)
	require.Equal(t, ReasonDelayed, f.send(first).Reason, "no other host may answer")
}
