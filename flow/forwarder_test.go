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

// TestForwarderFindsSilentHost replays a host that goes dark while clients keep
// flows open to it.
func TestForwarderFindsSilentHost(t *testing.T) {
	w := newWorld(t, 1)
	idle := w.client(boardAddress).established()
	first := w.client(boardAddress).established()
	second := w.client(boardAddress).established()
	require.Equal(t, first.host, second.host)
	first.request()
	w.pass(100 * time.Millisecond)
	second.request()
	w.pass(100 * time.Millisecond)
	require.Equal(t, Forward, first.again().Action, "one flow may have lost its packet")
	w.pass(100 * time.Millisecond)
	second.again()
	require.Equal(t, "b", w.client(boardAddress).open().Upstream.Zone, "two flows make a suspicion")
	require.Empty(t, w.forwarder.Resets())
	w.pass(300 * time.Millisecond)
	require.Equal(t, Reject, first.again().Action)
	resets := w.forwarder.Resets()
	require.Len(t, resets, 3)
	for _, p := range resets {
		require.Equal(t, boardAddress, p.Service)
		require.NotZero(t, p.Acknowledged)
	}
	d := idle.request()
	require.Equal(t, Reject, d.Action)
	require.Equal(t, ReasonDead, d.Reason)
	beliefs := w.forwarder.Beliefs()
	require.Equal(t, Dead, beliefs[len(beliefs)-1].State)
}

// TestForwarderTrustsLivingHost replays what a living host's clients send under
// loss, overtaking and a balancer that was kept from running.
func TestForwarderTrustsLivingHost(t *testing.T) {
	for _, test := range []struct {
		name   string
		replay func(w *world, flows []*client)
	}{
		{
			name: "one flow repeats for long",
			replay: func(w *world, flows []*client) {
				flows[0].request()
				for range 5 {
					w.pass(400 * time.Millisecond)
					flows[0].again()
				}
			},
		},
		{
			name: "packets overtake each other",
			replay: func(w *world, flows []*client) {
				for _, c := range flows {
					c.request()
				}
				for range 5 {
					w.pass(10 * time.Millisecond)
					for _, c := range flows {
						c.again()
					}
				}
			},
		},
		{
			name: "others make progress in between",
			replay: func(w *world, flows []*client) {
				for _, c := range flows[1:] {
					c.request()
				}
				for range 5 {
					w.pass(200 * time.Millisecond)
					flows[1].again()
					flows[0].request()
					flows[0].answered()
					flows[2].again()
					flows[0].answered()
				}
			},
		},
		{
			name: "a client gives up at its deadline, another one loses packets later",
			replay: func(w *world, flows []*client) {
				flows[0].request()
				for range 3 {
					w.pass(800 * time.Millisecond)
					flows[0].again()
				}
				w.pass(20 * time.Second)
				flows[1].request()
				w.pass(200 * time.Millisecond)
				flows[1].again()
				w.pass(400 * time.Millisecond)
				flows[1].again()
			},
		},
		{
			name: "clients leave now and then",
			replay: func(w *world, _ []*client) {
				for range 2 * deadOpenings {
					w.client(boardAddress).open()
					w.pass(openingsTime)
				}
				w.client(boardAddress).open()
			},
		},
		{
			name: "packets waited while the balancer did not run",
			replay: func(w *world, _ []*client) {
				opened := make([]*client, 0, 4)
				for range 4 {
					c := w.client(boardAddress)
					c.open()
					opened = append(opened, c)
				}
				w.pass(100 * time.Millisecond)
				w.client(boardAddress).open()
				for _, c := range opened {
					c.ack = 5000
					c.acknowledge()
				}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 1)
			flows := make([]*client, 0, 4)
			for range 4 {
				flows = append(flows, w.client(boardAddress).established())
			}
			test.replay(w, flows)
			require.Empty(t, w.forwarder.Resets())
			require.Equal(t, Forward, flows[3].request().Action)
		})
	}
}

// TestForwarderFindsCrashedHost replays a host that answers first packets by a
// reset that the balancer does not see.
func TestForwarderFindsCrashedHost(t *testing.T) {
	w := newWorld(t, 1)
	idle := w.client(boardAddress).established()
	c := w.client(boardAddress)
	require.Equal(t, "a", c.open().Upstream.Zone)
	w.pass(roundTrip)
	retry := *c
	retry.addr = w.client(boardAddress).addr
	retry.addr = netipWithPort(c.addr, retry.addr.Port())
	require.Equal(t, "b", retry.open().Upstream.Zone, "the client's next try goes elsewhere")
	w.pass(refuseAfter)
	require.Equal(t, "b", w.client(boardAddress).open().Upstream.Zone, "so do others'")
	for range deadOpenings {
		w.pass(retryAfter)
		w.client(boardAddress).open()
	}
	w.pass(retryAfter)
	w.client(boardAddress).open()
	resets := w.forwarder.Resets()
	require.Len(t, resets, 1)
	require.Equal(t, idle.addr, resets[0].Client)
}

// TestForwarderGivesUpSilentFlow replays a flow to a host beyond a cut, which
// nobody else here uses.
func TestForwarderGivesUpSilentFlow(t *testing.T) {
	for _, test := range []struct {
		name string
		// progress tells that another flow of the host makes progress meanwhile.
		progress bool
		want     Action
	}{
		{
			name: "that nobody answers",
			want: Reject,
		},
		{
			name:     "whose host answers others",
			progress: true,
			want:     Forward,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 1)
			c := w.client(boardAddress).established()
			other := w.client(boardAddress).established()
			w.pass(time.Second)
			c.request()
			wait := 200 * time.Millisecond
			for range flowRepeats - 1 {
				w.pass(wait)
				require.Equal(t, Forward, c.again().Action)
				wait *= 2
			}
			if test.progress {
				other.request()
				other.answered()
			}
			w.pass(wait)
			require.Equal(t, test.want, c.again().Action)
		})
	}
}

func TestForwarderResetsAfterReplacement(t *testing.T) {
	w := newWorld(t, 1)
	c := w.client(boardAddress).established()
	old := c.host
	w.remove(old.ID)
	w.host("a9", "a", "plans", func(u *directory.Upstream) { u.Address = old.Address })
	require.Equal(t, Forward, c.request().Action, "without a repeat nothing shows that it is gone")
	w.pass(200 * time.Millisecond)
	d := c.again()
	require.Equal(t, Reject, d.Action)
	require.Equal(t, ReasonReplaced, d.Reason)
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
			l.Working++
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
