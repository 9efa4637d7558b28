package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// TestForwarderDetectsSilentHost tests a host that stops answering while clients have
// open flows to it.
func TestForwarderDetectsSilentHost(t *testing.T) {
	f := newFixture(t, 1)
	idle := f.client(boardAddress).establish()
	first := f.client(boardAddress).establish()
	second := f.client(boardAddress).establish()
	require.Equal(t, first.host, second.host)
	first.request()
	f.advance(100 * time.Millisecond)
	second.request()
	f.advance(100 * time.Millisecond)
	require.Equal(t, Forward, first.retransmit().Action, "one flow may have lost its packet")
	f.advance(100 * time.Millisecond)
	second.retransmit()
	require.Equal(t, "b", f.client(boardAddress).open().Upstream.Zone, "two silent flows lead to a suspicion")
	require.Empty(t, f.forwarder.Resets())
	f.advance(300 * time.Millisecond)
	require.Equal(t, Forward, first.retransmit().Action, "the balancer's own path may not work")
	f.answerElsewhere()
	require.Equal(t, Reject, first.retransmit().Action)
	resets := f.forwarder.Resets()
	require.Len(t, resets, 3)
	for _, p := range resets {
		require.Equal(t, boardAddress, p.Service)
		require.NotZero(t, p.Acknowledged)
	}
	d := idle.request()
	require.Equal(t, Reject, d.Action)
	require.Equal(t, ReasonDead, d.Reason)
	changes := f.forwarder.StateChanges()
	require.Equal(t, Dead, changes[len(changes)-1].State)
}

// TestForwarderKeepsLiveHost checks that a live host is not declared dead by the packets
// of its clients under packet loss, reordering and pauses of the balancer.
func TestForwarderKeepsLiveHost(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(f *fixture, flows []*client)
	}{
		{
			name: "one flow retransmits for long",
			run: func(f *fixture, flows []*client) {
				flows[0].request()
				for range 5 {
					f.advance(400 * time.Millisecond)
					flows[0].retransmit()
				}
			},
		},
		{
			name: "packets are reordered",
			run: func(f *fixture, flows []*client) {
				for _, c := range flows {
					c.request()
				}
				for range 5 {
					f.advance(10 * time.Millisecond)
					for _, c := range flows {
						c.retransmit()
					}
				}
			},
		},
		{
			name: "other flows make progress in between",
			run: func(f *fixture, flows []*client) {
				for _, c := range flows[1:] {
					c.request()
				}
				for range 5 {
					f.advance(200 * time.Millisecond)
					flows[1].retransmit()
					flows[0].request()
					flows[0].acknowledgeAnswer()
					flows[2].retransmit()
					flows[0].acknowledgeAnswer()
				}
			},
		},
		{
			name: "a client gives up at its deadline, another one loses packets later",
			run: func(f *fixture, flows []*client) {
				flows[0].request()
				for range 3 {
					f.advance(800 * time.Millisecond)
					flows[0].retransmit()
				}
				f.advance(20 * time.Second)
				flows[1].request()
				f.advance(200 * time.Millisecond)
				flows[1].retransmit()
				f.advance(400 * time.Millisecond)
				flows[1].retransmit()
			},
		},
		{
			name: "clients leave now and then",
			run: func(f *fixture, _ []*client) {
				for range 2 * deadOpenings {
					f.client(boardAddress).open()
					f.advance(openingsWindow)
				}
				f.client(boardAddress).open()
			},
		},
		{
			name: "packets queue up while the balancer does not run",
			run: func(f *fixture, _ []*client) {
				opened := make([]*client, 0, 4)
				for range 4 {
					c := f.client(boardAddress)
					c.open()
					opened = append(opened, c)
				}
				f.advance(100 * time.Millisecond)
				f.client(boardAddress).open()
				for _, c := range opened {
					c.ack = 5000
					c.acknowledge()
				}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			flows := make([]*client, 0, 4)
			for range 4 {
				flows = append(flows, f.client(boardAddress).establish())
			}
			test.run(f, flows)
			f.answerElsewhere()
			f.client(boardAddress).open()
			require.Empty(t, f.forwarder.Resets())
			require.Equal(t, Forward, flows[3].request().Action)
		})
	}
}

// TestForwarderDetectsCrashedHost tests a host that answers first packets with a reset,
// which the balancer does not see.
func TestForwarderDetectsCrashedHost(t *testing.T) {
	f := newFixture(t, 1)
	idle := f.client(boardAddress).establish()
	c := f.client(boardAddress)
	require.Equal(t, "a", c.open().Upstream.Zone)
	f.advance(roundTrip)
	retry := *c
	retry.addr = f.client(boardAddress).addr
	retry.addr = netipWithPort(c.addr, retry.addr.Port())
	require.Equal(t, "b", retry.open().Upstream.Zone, "the client's next attempt goes elsewhere")
	f.advance(lateOpeningAfter)
	require.Equal(t, "b", f.client(boardAddress).open().Upstream.Zone, "so do other clients' flows")
	for range deadOpenings - 1 {
		f.advance(openingRetryAfter)
		f.client(boardAddress).open()
	}
	f.advance(deadOpeningAge)
	require.False(t, f.forwarder.healthOf(c.host).checkOpenings(f.now, f.forwarder.lastAnswered), "the balancer's own path may not work")
	f.answerElsewhere()
	f.client(boardAddress).open()
	resets := f.forwarder.Resets()
	require.Len(t, resets, 1)
	require.Equal(t, idle.addr, resets[0].Client)
}

// TestForwarderGivesUpSilentFlow tests a flow to a host behind a network partition that
// has no other active flows at this balancer.
func TestForwarderGivesUpSilentFlow(t *testing.T) {
	for _, test := range []struct {
		name string
		// progress is whether another flow of the host makes progress in the meantime,
		// and otherHost whether a flow of another host does.
		progress  bool
		otherHost bool
		want      Action
	}{
		{
			name:      "of a host that does not answer",
			otherHost: true,
			want:      Reject,
		},
		{
			name:      "of a host that answers other flows",
			progress:  true,
			otherHost: true,
			want:      Forward,
		},
		{
			name: "at a balancer that gets no answers from any host",
			want: Forward,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			c := f.client(boardAddress).establish()
			other := f.client(boardAddress).establish()
			f.advance(time.Second)
			c.request()
			wait := 200 * time.Millisecond
			for range flowRetransmissions - 1 {
				f.advance(wait)
				require.Equal(t, Forward, c.retransmit().Action)
				wait *= 2
			}
			if test.progress {
				other.request()
				other.acknowledgeAnswer()
			}
			if test.otherHost {
				f.clientOfOtherHost(c.host).establish()
			}
			f.advance(wait)
			require.Equal(t, test.want, c.retransmit().Action)
		})
	}
}

// clientOfOtherHost returns a client whose flow goes to a host of another zone than u's.
func (f *fixture) clientOfOtherHost(u *directory.Upstream) *client {
	f.set(directory.Item{Key: directory.Key{
		Kind: directory.KindZoneOut,
		Name: u.Zone,
	}})
	return f.client(boardAddress)
}

func TestForwarderResetsAfterReplacement(t *testing.T) {
	f := newFixture(t, 1)
	c := f.client(boardAddress).establish()
	old := c.host
	f.remove(old.ID)
	f.host("a9", "a", "plans", func(u *directory.Upstream) { u.Address = old.Address })
	require.Equal(t, Forward, c.request().Action, "without a retransmission nothing shows that the host is gone")
	f.advance(200 * time.Millisecond)
	d := c.retransmit()
	require.Equal(t, Reject, d.Action)
	require.Equal(t, ReasonReplaced, d.Reason)
}
