package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// movedFixture is a zone with two balancers and one host in it. Packets go to the first balancer until
// the rotation changes.
type movedFixture struct {
	*fixture
	first, second *Forwarder
}

func newMovedFixture(t *testing.T) *movedFixture {
	t.Helper()
	f := &movedFixture{fixture: newFixture(t, 1)}
	f.first = New(f.now, "a", owner(true), WithInquiries(), WithVerification())
	f.second = New(f.now, "a", owner(true), WithInquiries(), WithVerification())
	f.forwarder = f.first
	return f
}

// download has a client acknowledge a long answer at a balancer.
func (f *movedFixture) download(at *Forwarder, c *client, size uint32) {
	f.forwarder = at
	defer func() { f.forwarder = f.first }()
	for end := c.ack + size; int32(end-c.ack) > 0; {
		c.ack += 2400
		f.advance(time.Millisecond)
		c.acknowledge()
	}
}

// confirmDeath has the zone find the clients' host dead, as far as a balancer is concerned.
func (f *movedFixture) confirmDeath(at *Forwarder, c *client, scope Scope) {
	at.Ask(f.now, Inquiry{Ticket: c.host.Ticket()})
	at.Confirm(f.now, Confirmation{
		Ticket: c.host.Ticket(),
		Scope:  scope,
	})
	at.Advance(f.now, f.view())
}

// verify has the other balancer answer the verifications of a balancer, and returns all of the
// latter's resets.
func (f *movedFixture) verify(at, other *Forwarder) []Reset {
	resets := at.Resets()
	for _, v := range at.Verifications() {
		at.Verified(f.now, Result{
			ID:       v.ID,
			Later:    other.Later(&v),
			Complete: true,
		})
	}
	return append(resets, at.Resets()...)
}

// TestMovedFlowIsLeftToItsBalancer guards against resets with a sequence number of long ago: a balancer
// whose flow had moved to another one reset it, too, when the host died.
func TestMovedFlowIsLeftToItsBalancer(t *testing.T) {
	for _, test := range []struct {
		name string
		// notice is how the first balancer learns that flows move. The client other has sent
		// its packets to it until then.
		notice func(f *movedFixture, other *client)
		// adopted is whether the flow was opened at the second balancer.
		adopted bool
	}{
		{
			name: "a flow of another balancer comes",
			notice: func(f *movedFixture, other *client) {
				f.flowOf(other.host).request()
			},
		},
		{
			name: "a flow returns",
			notice: func(f *movedFixture, other *client) {
				f.download(f.second, other, 30_000)
				other.acknowledge()
			},
		},
		{
			name: "the flow has come from the second balancer, and nothing shows that it goes back",
			notice: func(f *movedFixture, _ *client) {
				f.advance(maxAdoptedQuiet)
			},
			adopted: true,
		},
		{
			name: "a balancer comes",
			notice: func(f *movedFixture, _ *client) {
				f.first.HandleRotation(f.now, RotationChange{Arrived: true})
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newMovedFixture(t)
			moved := f.client(boardAddress)
			if test.adopted {
				f.forwarder = f.second
			}
			moved.establish()
			f.forwarder = f.first
			moved.acknowledgeAnswer()
			other := f.client(boardAddress).establish()
			f.download(f.second, moved, 190_000)
			test.notice(f, other)
			f.advance(arrivalLag)
			other.acknowledgeAnswer()
			for _, at := range []*Forwarder{f.first, f.second} {
				f.confirmDeath(at, moved, ScopeAll)
			}
			for _, r := range f.verify(f.first, f.second) {
				require.NotEqual(t, moved.addr, r.Client)
			}
			acknowledged := make(map[netip.AddrPort]uint32)
			for _, r := range f.verify(f.second, f.first) {
				acknowledged[r.Client] = r.Acknowledged
			}
			require.Equal(t, moved.ack, acknowledged[moved.addr], "the reset of the balancer that gets the flow's packets")
		})
	}
}

// TestWaitingFlowIsReset checks that the client of a slow answer, which has sent nothing for seconds, is
// told of its host's death by the balancer that knows its flow best.
func TestWaitingFlowIsReset(t *testing.T) {
	for _, test := range []struct {
		name string
		// change is what happens while the client waits.
		change func(f *movedFixture)
		// later is the answer to the verification, if there is one.
		later Later
		// atOnce and verified are the numbers of resets before and after the answer.
		atOnce   int
		verified int
	}{
		{
			name:   "nothing else happens",
			change: func(*movedFixture) {},
			atOnce: 1,
		},
		{
			name:     "the rotation changes",
			change:   func(f *movedFixture) { f.first.HandleRotation(f.now, RotationChange{Arrived: true}) },
			verified: 1,
		},
		{
			name:   "the rotation changes, and another balancer knows the flow better",
			change: func(f *movedFixture) { f.first.HandleRotation(f.now, RotationChange{Arrived: true}) },
			later:  1,
		},
		{
			name:   "a balancer is lost that may have known the flow better",
			change: func(f *movedFixture) { f.first.HandleRotation(f.now, RotationChange{LostAt: f.now}) },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newMovedFixture(t)
			c := f.client(boardAddress).establish()
			c.request()
			f.advance(2 * time.Second)
			test.change(f)
			f.advance(2 * time.Second)
			f.confirmDeath(f.first, c, ScopeAll)
			require.Len(t, f.first.Resets(), test.atOnce)
			for _, v := range f.first.Verifications() {
				f.first.Verified(f.now, Result{
					ID:       v.ID,
					Later:    test.later,
					Complete: true,
				})
			}
			resets := f.first.Resets()
			require.Len(t, resets, test.verified)
			for _, r := range resets {
				require.Equal(t, c.ack, r.Acknowledged)
			}
			require.Equal(t, Reject, c.retransmit().Action, "the flow's next packet")
		})
	}
}

// TestMovedRequestIsNotLate guards against new flows that avoid all hosts after each change of the rotation:
// requests whose answers were acknowledged through other balancers counted as late.
func TestMovedRequestIsNotLate(t *testing.T) {
	for _, test := range []struct {
		name  string
		moved bool
		late  int
	}{
		{
			name: "no change of the rotation",
			late: 1,
		},
		{
			name:  "a change of the rotation",
			moved: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newMovedFixture(t)
			c, other := f.client(boardAddress).establish(), f.client(boardAddress).establish()
			other.ack++
			other.acknowledge()
			c.request()
			f.advance(lateRequestAfter / 2)
			if test.moved {
				f.flowOf(c.host).acknowledge()
			}
			f.advance(lateRequestAfter)
			f.first.Advance(f.now, f.view())
			late := 0
			for _, r := range f.first.Reports() {
				late += r.LateRequests
			}
			require.Equal(t, test.late, late)
		})
	}
}

// TestVerificationThatIsOver checks that an answer which comes late, or after the host has shown that it
// lives, or after a packet of the flow, leads to no reset.
func TestVerificationThatIsOver(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(f *movedFixture, c *client)
	}{
		{
			name:   "late",
			before: func(f *movedFixture, _ *client) { f.advance(verificationLifetime) },
		},
		{
			name: "the host lives",
			before: func(f *movedFixture, c *client) {
				f.first.MarkAlive(f.now, Refutation{Ticket: c.host.Ticket()})
			},
		},
		{
			name: "the flow's next packet was rejected",
			before: func(f *movedFixture, c *client) {
				f.advance(time.Millisecond)
				require.Equal(f.t, Reject, c.retransmit().Action)
			},
		},
		{
			name:   "the balancer was stalled",
			before: func(f *movedFixture, _ *client) { f.first.HandleResume(f.now) },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newMovedFixture(t)
			c := f.client(boardAddress).establish()
			c.request()
			f.first.HandleRotation(f.now, RotationChange{Arrived: true})
			f.advance(time.Second)
			f.confirmDeath(f.first, c, ScopeAll)
			v := f.first.Verifications()
			require.Len(t, v, 1)
			test.before(f, c)
			f.first.Verified(f.now, Result{
				ID:       v[0].ID,
				Complete: true,
			})
			require.Empty(t, f.first.Resets())
		})
	}
}

// TestSilentFlowAfterARotationChange checks that a flow whose client retransmits here is reset after a
// change of the rotation, and one whose client does so no more is not, when the zone has found that the
// host leaves flows unanswered.
func TestSilentFlowAfterARotationChange(t *testing.T) {
	f := newMovedFixture(t)
	c := f.client(boardAddress).establish()
	c.request()
	f.first.HandleRotation(f.now, RotationChange{Arrived: true})
	for _, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.advance(wait)
		c.retransmit()
	}
	f.advance(maxRetransmitInterval)
	f.first.HandleRotation(f.now, RotationChange{Arrived: true})
	f.confirmDeath(f.first, c, ScopeWaiting)
	require.Empty(t, f.first.Resets())
	c.retransmit()
	f.confirmDeath(f.first, c, ScopeWaiting)
	require.Len(t, f.first.Resets(), 1)
}

// TestVerificationsOfSeveralHosts checks that the flows of hosts that die soon after one another are
// verified together.
func TestVerificationsOfSeveralHosts(t *testing.T) {
	f := newMovedFixture(t)
	var clients []*client
	for _, id := range []string{"a0", "b0"} {
		for range 2 {
			c := f.flowOf(f.upstream(id))
			c.request()
			clients = append(clients, c)
		}
	}
	f.first.HandleRotation(f.now, RotationChange{Arrived: true})
	f.advance(verificationInterval)
	f.confirmDeath(f.first, clients[0], ScopeAll)
	require.Len(t, f.first.Verifications(), 1, "the first at once")
	for _, c := range clients[1:] {
		f.advance(verificationInterval / 10)
		f.confirmDeath(f.first, c, ScopeAll)
	}
	require.Empty(t, f.first.Verifications())
	require.False(t, f.first.NextTimer().After(f.now.Add(verificationInterval)))
	f.advance(verificationInterval)
	f.first.Advance(f.now, f.view())
	v := f.first.Verifications()
	require.Len(t, v, 1)
	require.Len(t, v[0].Flows, 2)
}

// TestVerificationsAreBounded checks the number of verifications after the death of a host with many
// flows.
func TestVerificationsAreBounded(t *testing.T) {
	f := newMovedFixture(t)
	var c *client
	for range 2 * maxVerifications * MaxVerified {
		c = f.client(boardAddress).establish()
	}
	f.first.HandleRotation(f.now, RotationChange{Arrived: true})
	f.confirmDeath(f.first, c, ScopeAll)
	v := f.first.Verifications()
	require.Len(t, v, maxVerifications)
	require.Len(t, v[0].Flows, MaxVerified)
}

// TestFlowThatCannotBeVerified checks which flows are reset that may have moved to a balancer which is lost
// or does not answer: those that can't have got on far, by how fast flows to the same address do.
func TestFlowThatCannotBeVerified(t *testing.T) {
	for _, test := range []struct {
		name string
		// rate is what clients of the address acknowledge per second, in bytes.
		rate  uint32
		quiet time.Duration
		reset bool
	}{
		{
			name:  "slow flows",
			rate:  10_000,
			quiet: time.Second,
			reset: true,
		},
		{
			name:  "slow flows, quiet for long",
			rate:  10_000,
			quiet: 4 * time.Second,
		},
		{
			name:  "fast flows",
			rate:  60_000,
			quiet: time.Second,
		},
		{
			name:  "no other flows",
			quiet: time.Second,
		},
	} {
		for _, lost := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, balancer lost: %t", test.name, lost), func(t *testing.T) {
				f := newMovedFixture(t)
				c, other := f.client(boardAddress).establish(), f.client(boardAddress).establish()
				for range 100 {
					f.advance(10 * time.Millisecond)
					other.ack += test.rate / 100
					other.acknowledge()
				}
				c.request()
				change := RotationChange{Arrived: true}
				if lost {
					change.LostAt = f.now
				}
				f.first.HandleRotation(f.now, change)
				f.advance(test.quiet)
				f.confirmDeath(f.first, c, ScopeAll)
				for _, v := range f.first.Verifications() {
					f.first.Verified(f.now, Result{ID: v.ID})
				}
				reset := false
				for _, r := range f.first.Resets() {
					reset = reset || r.Client == c.addr
				}
				require.Equal(t, test.reset, reset)
			})
		}
	}
}

// TestMovedFlowsAreNoLoad guards against overload of a host that starts after flows have moved to another
// balancer: while these counted here, too, all new flows went to the new host until it had as many.
func TestMovedFlowsAreNoLoad(t *testing.T) {
	const flows, added = 40, 30
	f := newMovedFixture(t)
	f.host("a1", "a", "board")
	clients := make([]*client, flows)
	for i := range clients {
		clients[i] = f.client(boardAddress).establish()
	}
	f.forwarder = f.second
	for _, c := range clients {
		c.acknowledgeAnswer()
	}
	f.forwarder = f.first
	f.advance(time.Millisecond)
	f.flowOf(f.upstream("b0")).request()
	f.advance(maxRetransmitInterval)
	f.host("a2", "a", "board")
	placed := make(map[string]int)
	for range added {
		placed[f.client(boardAddress).establish().host.ID]++
	}
	require.Equal(t, map[string]int{"a0": added / 3, "a1": added / 3, "a2": added / 3}, placed)
	for _, c := range clients {
		c.acknowledgeAnswer()
	}
	open := 0
	for _, h := range f.first.health {
		open += h.load.Flows
	}
	require.Equal(t, flows+added+1, open, "flows that have come back count again")
	for range 2 {
		f.advance(defaultIdleTimeout)
		f.first.expireFlows(f.now, f.view())
	}
	for _, h := range f.first.health {
		require.Zero(t, h.load, "all flows are forgotten")
	}
}
