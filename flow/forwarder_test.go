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
		change func(w *world, c *client)
		action Action
		reason Reason
	}{
		{
			name:   "at a balancer that knows nothing of the flow",
			change: func(w *world, _ *client) { w.forwarder = New(w.now, "a", owner(true)) },
			action: Forward,
			reason: ReasonTicket,
		},
		{
			name:   "to a host whose entry went",
			change: func(w *world, c *client) { w.remove(c.host.ID) },
			action: Forward,
			reason: ReasonTicket,
		},
		{
			name: "to a draining host",
			change: func(w *world, c *client) {
				w.host(c.host.ID, c.host.Zone, "board", func(u *directory.Upstream) { u.Draining = true })
			},
			action: Forward,
			reason: ReasonTicket,
		},
		{
			name: "into a zone that is taken out",
			change: func(w *world, c *client) {
				w.set(directory.Item{Key: directory.Key{
					Kind: directory.KindZoneOut,
					Name: c.host.Zone,
				}})
			},
			action: Forward,
			reason: ReasonTicket,
		},
		{
			name: "under a plan that adds routes",
			change: func(w *world, _ *client) {
				w.set(directory.Item{
					Key:  directory.Key{Kind: directory.KindPlan},
					Plan: plan(2, boardAddress),
				})
				w.set(directory.Item{
					Key:  directory.Key{Kind: directory.KindPlan},
					Plan: plan(3, boardAddress, plansAddress),
				})
			},
			action: Forward,
			reason: ReasonTicket,
		},
		{
			name: "not under a plan that drops the route",
			change: func(w *world, _ *client) {
				w.set(directory.Item{
					Key:  directory.Key{Kind: directory.KindPlan},
					Plan: plan(2, plansAddress),
				})
			},
			action: Reject,
			reason: ReasonNoRoute,
		},
		{
			name: "not to a host that nobody knows",
			change: func(w *world, c *client) {
				w.forwarder = New(w.now, "a", owner(true))
				c.host = &directory.Upstream{ID: "ffff"}
			},
			action: Drop,
			reason: ReasonUnknown,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 3)
			c := w.client(boardAddress).established()
			test.change(w, c)
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
		change func(w *world)
		action Action
		reason Reason
		zone   string
	}{
		{
			name:   "in its own zone",
			change: func(*world) {},
			action: Forward,
			reason: ReasonPlaced,
			zone:   "a",
		},
		{
			name: "elsewhere while its zone is taken out",
			change: func(w *world) {
				w.set(directory.Item{Key: directory.Key{
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
			change: func(w *world) {
				for _, id := range []string{"a0", "a1"} {
					w.host(id, "a", "board", func(u *directory.Upstream) { u.Draining = true })
				}
			},
			action: Forward,
			reason: ReasonPlaced,
			zone:   "b",
		},
		{
			name: "nowhere where all entries went",
			change: func(w *world) {
				for _, id := range []string{"a0", "a1", "b0", "b1"} {
					w.remove(id)
				}
			},
			action: Reject,
			reason: ReasonNoUpstream,
		},
		{
			name: "nowhere where there is no route",
			change: func(w *world) {
				w.set(directory.Item{
					Key:  directory.Key{Kind: directory.KindPlan},
					Plan: plan(2, plansAddress),
				})
			},
			action: Reject,
			reason: ReasonNoRoute,
		},
		{
			name: "not yet where nothing is known",
			change: func(w *world) {
				w.dir = directory.New()
			},
			action: Drop,
			reason: ReasonNotReady,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 2)
			test.change(w)
			d := w.client(boardAddress).open()
			require.Equal(t, test.action, d.Action)
			require.Equal(t, test.reason, d.Reason)
			if test.zone != "" {
				require.Equal(t, test.zone, d.Upstream.Zone)
			}
		})
	}
}

func TestForwarderKeepsCopiesAtOneHost(t *testing.T) {
	w := newWorld(t, 4)
	c := w.client(boardAddress)
	first := c.open().Upstream
	w.pass(200 * time.Millisecond)
	d := c.open()
	require.Equal(t, ReasonCopy, d.Reason)
	require.Equal(t, first, d.Upstream)
	w.pass(400 * time.Millisecond)
	d = c.open()
	require.Equal(t, ReasonMoved, d.Reason)
	require.NotEqual(t, first, d.Upstream)
}

func TestForwarderPacesColdHosts(t *testing.T) {
	for _, test := range []struct {
		name string
		owns bool
		most int
	}{
		{
			name: "as their owner",
			owns: true,
			// 10 a second, of which the owner uses its share, and a burst.
			most: 7 + warmupBurst,
		},
		{
			name: "as another one",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 0)
			w.forwarder = New(w.now, "a", owner(test.owns))
			w.host("a1", "a", "board", func(u *directory.Upstream) { u.WarmAt = w.now.Add(time.Minute) })
			got := 0
			for range 100 {
				w.pass(10 * time.Millisecond)
				c := w.client(boardAddress)
				if c.open().Action == Forward {
					got++
					w.pass(time.Microsecond)
					c.ack = 1
					c.acknowledge()
				}
			}
			require.LessOrEqual(t, got, test.most)
			require.Equal(t, test.owns, got > 0)
		})
	}
}

// TestForwarderIsReplayable states that equal inputs give equal decisions.
func TestForwarderIsReplayable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := newWorld(t, 2), newWorld(t, 2)
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
			a.pass(pause)
			b.pass(pause)
			first, second := a.send(p), b.send(p)
			require.Equal(rt, first.Action, second.Action)
			require.Equal(rt, first.Reason, second.Reason)
			require.Equal(rt, first.Ticket, second.Ticket)
			require.Equal(rt, a.forwarder.Resets(), b.forwarder.Resets())
		}
		a.requireLoads(rt)
	})
}

// requireLoads checks that the loads are those of the flows remembered.
func (w *world) requireLoads(t require.TestingT) {
	loads := make(map[directory.Ticket]Load)
	w.forwarder.flows.all(func(_ key, s *state) {
		if s.closed {
			return
		}
		l := loads[s.upstream.Ticket()]
		l.Flows++
		if s.working {
			l.ActiveRequests++
		}
		loads[s.upstream.Ticket()] = l
	})
	for ticket, h := range w.forwarder.health {
		require.Equal(t, loads[ticket], h.load)
	}
}

// TestForwarderTakesLateCopies replays a copy of a first packet that comes after
// the flow is open: another host would answer it, and the client would follow
// that host's ticket.
func TestForwarderTakesLateCopies(t *testing.T) {
	w := newWorld(t, 6)
	c := w.client(boardAddress)
	c.open()
	first := c.host
	w.pass(roundTrip)
	c.ack = 5000
	c.acknowledge()
	c.request()
	for range 5 {
		w.client(boardAddress).established()
	}
	late := Packet{
		Client:   c.addr,
		Service:  c.to,
		Flags:    Open,
		Sequence: 1000,
	}
	d := w.send(late)
	require.Equal(t, ReasonCopy, d.Reason)
	require.Equal(t, first, d.Upstream)
	require.Equal(t, Forward, c.again().Action)
	w.requireLoads(t)
}
