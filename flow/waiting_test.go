package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newFullZone returns a balancer of a zone whose hosts have more work than they answer in time.
func newFullZone(t *testing.T) *sharedZone {
	t.Helper()
	z := newSharedZone(t, 4, Sharing{Admit: true})
	z.learnUsualTime()
	z.tell(z.all(40))
	return z
}

// hold sends first packets until one waits, and returns its client.
func (z *sharedZone) hold() *client {
	z.t.Helper()
	const attempts = 500
	for range attempts {
		c := z.client(boardAddress)
		if c.open().Action == Hold {
			return c
		}
		z.advance(time.Millisecond)
		z.tell(z.all(40))
	}
	require.Fail(z.t, "no first packet waits")
	return nil
}

// released returns the decisions on the packets of a client that were held.
func (z *sharedZone) released(c *client) []Release {
	var of []Release
	for _, r := range z.forwarder.Released() {
		if r.Flow.Client == c.addr {
			of = append(of, r)
		}
	}
	return of
}

// TestLateWait guards against a first packet that is placed or rejected after its client has sent
// a copy: another balancer may have placed that one.
func TestLateWait(t *testing.T) {
	z := newFullZone(t)
	c := z.hold()
	z.advance(initialRetransmitInterval + lookupTimeout)
	z.forwarder.Advance(z.now, z.view())
	released := z.released(c)
	require.Len(t, released, 1)
	require.Equal(t, Drop, released[0].Decision.Action)
	require.Equal(t, ReasonDelayed, released[0].Decision.Reason)
}

// TestReplacedWait guards against held datagrams that are never released: a client opens another
// flow from the same port while the first packet of the former one waits.
func TestReplacedWait(t *testing.T) {
	z := newFullZone(t)
	c := z.hold()
	first := c.seq
	c.seq += 1000
	c.open()
	z.advance(maxAdmissionWait)
	z.forwarder.Advance(z.now, z.view())
	sequences := make(map[uint32]int)
	for _, r := range z.released(c) {
		sequences[r.Flow.Sequence]++
	}
	require.Equal(t, 1, sequences[first])
	require.Zero(t, z.forwarder.Waiting())
}

// TestRequestsOfBusyFlow guards against an entry for each request of a flow that is kept as long as
// the flow has requests in progress.
func TestRequestsOfBusyFlow(t *testing.T) {
	z := newSharedZone(t, 1, Sharing{})
	c := z.client(boardAddress).establish()
	for range 4000 {
		c.request()
		z.advance(10 * time.Millisecond)
		c.acknowledgeAnswer()
	}
	require.LessOrEqual(t, len(z.forwarder.activeRequests), int(maxRequestTime/(10*time.Millisecond))+1)
}
