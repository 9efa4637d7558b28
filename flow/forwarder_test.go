package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/directory"
)

func TestForwarderFollowsTickets(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(f *fixture, c *client)
		action Action
		reason Reason
	}{
		{
			name:   "at a balancer that knows nothing of the flow",
			change: func(f *fixture, _ *client) { f.forwarder = New(f.now, "a", owner(true)) },
			action: Forward,
			reason: ReasonTicket,
		},
		{
			name:   "to a host whose entry was deleted",
			change: func(f *fixture, c *client) { f.remove(c.host.ID) },
			action: Forward,
			reason: ReasonTicket,
		},
		{
			name: "to a draining host",
			change: func(f *fixture, c *client) {
				f.host(c.host.ID, c.host.Zone, "board", func(u *directory.Upstream) { u.Draining = true })
			},
			action: Forward,
			reason: ReasonTicket,
		},
		{
			name: "into a zone that is taken out",
			change: func(f *fixture, c *client) {
				f.set(directory.Item{Key: directory.Key{
					Kind: directory.KindZoneOut,
					Name: c.host.Zone,
				}})
			},
			action: Forward,
			reason: ReasonTicket,
		},
		{
			name: "under a plan that adds routes",
			change: func(f *fixture, _ *client) {
				f.set(directory.Item{
					Key:  directory.Key{Kind: directory.KindPlan},
					Plan: plan(2, boardAddress),
				})
				f.set(directory.Item{
					Key:  directory.Key{Kind: directory.KindPlan},
					Plan: plan(3, boardAddress, plansAddress),
				})
			},
			action: Forward,
			reason: ReasonTicket,
		},
		{
			name: "not under a plan that drops the route",
			change: func(f *fixture, _ *client) {
				f.set(directory.Item{
					Key:  directory.Key{Kind: directory.KindPlan},
					Plan: plan(2, plansAddress),
				})
			},
			action: Reject,
			reason: ReasonNoRoute,
		},
		{
			name: "not to an unknown host",
			change: func(f *fixture, c *client) {
				f.forwarder = New(f.now, "a", owner(true))
				c.host = &directory.Upstream{ID: "ffff"}
			},
			action: Drop,
			reason: ReasonUnknown,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 3)
			c := f.client(boardAddress).establish()
			test.change(f, c)
			d := c.request()
			require.Equal(t, test.action, d.Action)
			require.Equal(t, test.reason, d.Reason)
			if d.Action == Forward {
				require.Equal(t, c.host.ID, d.Upstream.ID)
			}
		})
	}
}

func TestForwarderPlacesNewFlows(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(f *fixture)
		action Action
		reason Reason
		zone   string
	}{
		{
			name:   "in its own zone",
			change: func(*fixture) {},
			action: Forward,
			reason: ReasonPlaced,
			zone:   "a",
		},
		{
			name: "elsewhere while its zone is taken out",
			change: func(f *fixture) {
				f.set(directory.Item{Key: directory.Key{
					Kind: directory.KindZoneOut,
					Name: "a",
				}})
			},
			action: Forward,
			reason: ReasonPlaced,
			zone:   "b",
		},
		{
			name: "elsewhere while the hosts of its zone drain",
			change: func(f *fixture) {
				for _, id := range []string{"a0", "a1"} {
					f.host(id, "a", "board", func(u *directory.Upstream) { u.Draining = true })
				}
			},
			action: Forward,
			reason: ReasonPlaced,
			zone:   "b",
		},
		{
			name: "nowhere if all entries were deleted",
			change: func(f *fixture) {
				for _, id := range []string{"a0", "a1", "b0", "b1"} {
					f.remove(id)
				}
			},
			action: Reject,
			reason: ReasonNoUpstream,
		},
		{
			name: "nowhere without a route",
			change: func(f *fixture) {
				f.set(directory.Item{
					Key:  directory.Key{Kind: directory.KindPlan},
					Plan: plan(2, plansAddress),
				})
			},
			action: Reject,
			reason: ReasonNoRoute,
		},
		{
			name: "not before routes are known",
			change: func(f *fixture) {
				f.dir = directory.New()
			},
			action: Drop,
			reason: ReasonNotReady,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 2)
			test.change(f)
			d := f.client(boardAddress).open()
			require.Equal(t, test.action, d.Action)
			require.Equal(t, test.reason, d.Reason)
			if test.zone != "" {
				require.Equal(t, test.zone, d.Upstream.Zone)
			}
		})
	}
}

func TestForwarderMovesSecondCopy(t *testing.T) {
	f := newFixture(t, 4)
	c := f.client(boardAddress)
	first := c.open().Upstream
	f.advance(200 * time.Millisecond)
	d := c.open()
	require.Equal(t, ReasonCopy, d.Reason)
	require.Equal(t, first, d.Upstream)
	f.advance(400 * time.Millisecond)
	d = c.open()
	require.Equal(t, ReasonMoved, d.Reason)
	require.NotEqual(t, first, d.Upstream)
}

func TestForwarderLimitsColdHosts(t *testing.T) {
	for _, test := range []struct {
		name string
		owns bool
		most int
	}{
		{
			name: "as their owner",
			owns: true,
			// The owner's share of 10 a second, and a burst.
			most: 7 + warmupBurst,
		},
		{
			name: "as another balancer",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.forwarder = New(f.now, "a", owner(test.owns))
			f.host("a1", "a", "board", func(u *directory.Upstream) { u.WarmAt = f.now.Add(time.Minute) })
			got := 0
			for range 100 {
				f.advance(10 * time.Millisecond)
				c := f.client(boardAddress)
				if c.open().Action == Forward {
					got++
					f.advance(time.Microsecond)
					c.ack = 1
					c.acknowledge()
				}
			}
			require.LessOrEqual(t, got, test.most)
			require.Equal(t, test.owns, got > 0)
		})
	}
}

// TestForwarderIsReplayable checks that equal inputs give equal decisions. rapid finds
// the recorded failures in testdata/rapid by the name of the test.
func TestForwarderIsReplayable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := newFixture(t, 2), newFixture(t, 2)
		b.now, b.forwarder = a.now, New(a.now, "a", owner(true))
		for range rapid.IntRange(1, 60).Draw(rt, "packets") {
			p := Packet{
				Client:       netipWithPort(boardAddress, uint16(rapid.IntRange(1, 4).Draw(rt, "port"))),
				Service:      boardAddress,
				Flags:        Flags(rapid.IntRange(0, 15).Draw(rt, "flags")),
				Sequence:     uint32(rapid.IntRange(0, 300).Draw(rt, "sequence")),
				Acknowledged: uint32(rapid.IntRange(0, 300).Draw(rt, "acknowledged")),
				Length:       rapid.IntRange(0, 100).Draw(rt, "length"),
			}
			if rapid.Bool().Draw(rt, "ticket") {
				p.Ticket = (&directory.Upstream{ID: "a1"}).Ticket()
			}
			pause := time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause")) * time.Millisecond
			a.advance(pause)
			b.advance(pause)
			first, second := a.send(p), b.send(p)
			require.Equal(rt, first.Action, second.Action)
			require.Equal(rt, first.Reason, second.Reason)
			require.Equal(rt, first.Ticket, second.Ticket)
			require.Equal(rt, a.forwarder.Resets(), b.forwarder.Resets())
		}
		a.requireLoads(rt)
	})
}

// requireLoads checks that the upstreams' loads match the flow table.
func (f *fixture) requireLoads(t require.TestingT) {
	loads := make(map[directory.Ticket]Load)
	f.forwarder.flows.forEach(func(_ key, s *flowState) {
		if s.closed {
			return
		}
		l := loads[s.upstream.Ticket()]
		l.Flows++
		if s.requestActive {
			l.ActiveRequests++
		}
		loads[s.upstream.Ticket()] = l
	})
	for ticket, h := range f.forwarder.health {
		require.Equal(t, loads[ticket], h.load)
	}
}

// TestForwarderForwardsLateCopies tests a copy of a first packet that comes after the
// flow is established. If it went to another host, that host would answer it, and the
// client would follow that host's ticket.
func TestForwarderForwardsLateCopies(t *testing.T) {
	f := newFixture(t, 6)
	c := f.client(boardAddress)
	c.open()
	first := c.host
	f.advance(roundTrip)
	c.ack = 5000
	c.acknowledge()
	c.request()
	for range 5 {
		f.client(boardAddress).establish()
	}
	late := Packet{
		Client:   c.addr,
		Service:  c.service,
		Flags:    FlagOpen,
		Sequence: 1000,
	}
	d := f.send(late)
	require.Equal(t, ReasonCopy, d.Reason)
	require.Equal(t, first, d.Upstream)
	require.Equal(t, Forward, c.retransmit().Action)
	f.requireLoads(t)
}
