package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

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
	beliefs := w.forwarder.StateChanges()
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
		// progress tells that another flow of the host makes progress meanwhile,
		// and elsewhere that a flow of another host does.
		progress  bool
		elsewhere bool
		want      Action
	}{
		{
			name:      "that nobody answers",
			elsewhere: true,
			want:      Reject,
		},
		{
			name:      "whose host answers others",
			progress:  true,
			elsewhere: true,
			want:      Forward,
		},
		{
			name: "at a balancer that no host answers",
			want: Forward,
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
			if test.elsewhere {
				w.away(c.host).established()
			}
			w.pass(wait)
			require.Equal(t, test.want, c.again().Action)
		})
	}
}

// away returns a client whose flow goes to another host than one.
func (w *world) away(u *directory.Upstream) *client {
	w.set(directory.Item{Key: directory.Key{
		Kind: directory.KindZoneOut,
		Name: u.Zone,
	}})
	return w.client(boardAddress)
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
