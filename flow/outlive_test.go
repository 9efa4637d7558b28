package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// TestOldDeathResetsNoLiveFlow guards against resets by a verdict that outlives the fault: a
// balancer that had been cut off from a host for a moment reset flows of the host that came
// back to it, however long ago the fault was.
func TestOldDeathResetsNoLiveFlow(t *testing.T) {
	for _, test := range []struct {
		name string
		// lost is whether the flow is one that was reset at the host's death.
		lost bool
		// others is whether other clients repeat packets until then.
		others bool
		after  time.Duration
		// request and repeat are the actions on the flow's next packet and its repeat.
		request Action
		repeat  Action
	}{
		{
			name:    "a flow from another balancer, soon",
			after:   deathLifetime / 2,
			request: Forward,
			repeat:  Reject,
		},
		{
			name:    "a flow from another balancer",
			others:  true,
			after:   deathLifetime,
			request: Forward,
			repeat:  Forward,
		},
		{
			name:    "a flow whose reset did not reach its client, soon",
			lost:    true,
			after:   deathLifetime / 2,
			request: Reject,
			repeat:  Reject,
		},
		{
			name:    "a flow whose reset did not reach its client",
			lost:    true,
			after:   deathLifetime,
			request: Forward,
			repeat:  Forward,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			lost := f.client(boardAddress).establish()
			f.die(lost.host)
			require.Equal(t, lost.addr, f.forwarder.Resets()[0].Client)
			c := f.flowOf(lost.host)
			if test.lost {
				c = lost
			}
			if test.others {
				other := f.flowOf(lost.host)
				other.request()
				f.advance(test.after / 2)
				other.retransmit()
				test.after /= 2
			}
			f.advance(test.after)
			require.Equal(t, test.request, c.request().Action)
			f.advance(200 * time.Millisecond)
			require.Equal(t, test.repeat, c.retransmit().Action)
		})
	}
}

// TestOldDeathNeedsNewEvidence checks that a host is found dead again, by the evidence that
// came since the last time.
func TestOldDeathNeedsNewEvidence(t *testing.T) {
	f := newFixture(t, 1)
	u := f.upstream("a0")
	f.die(u)
	f.forwarder.Resets()
	f.advance(deathLifetime)
	idle := f.flowOf(u)
	idle.acknowledge()
	f.die(u)
	resets := f.forwarder.Resets()
	require.Len(t, resets, 3)
	require.Equal(t, ReasonDead, idle.request().Reason)
}

// flowOf returns a client whose flow to a host was opened by another balancer.
func (f *fixture) flowOf(u *directory.Upstream) *client {
	c := f.client(boardAddress)
	c.host = u
	c.ack = 5000
	return c
}

// die lets a host leave the requests of two flows unanswered until it is found dead.
func (f *fixture) die(u *directory.Upstream) {
	f.t.Helper()
	first, second := f.flowOf(u), f.flowOf(u)
	first.request()
	second.request()
	for _, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		f.advance(wait)
		f.answerElsewhere()
		require.False(f.t, f.forwarder.healthOf(u).dead(f.now))
		first.retransmit()
		second.retransmit()
	}
	f.answerElsewhere()
	require.True(f.t, f.forwarder.healthOf(u).dead(f.now))
}
