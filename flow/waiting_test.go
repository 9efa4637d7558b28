package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
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

// TestOvertakenWait guards against a second host for an open flow: its first packet waits for
// admission here, and another balancer has placed a copy that nobody asked this one about.
func TestOvertakenWait(t *testing.T) {
	z := newFullZone(t)
	c := z.hold()
	c.host, c.ack = z.upstream("b0"), 5000
	c.acknowledge()
	z.tell(nil)
	z.advance(maxAdmissionWait)
	z.forwarder.Advance(z.now, z.view())
	released := z.released(c)
	require.Len(t, released, 1)
	require.Equal(t, ReasonOvertaken, released[0].Decision.Reason)
	require.Equal(t, c.host, z.forwarder.flows.find(newKey(c.addr, c.service)).upstream)
	require.Zero(t, z.forwarder.Waiting())
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

// TestColdZone guards against the rejection of flows that cold hosts have room for, as after a
// release of all of a service's hosts.
func TestColdZone(t *testing.T) {
	z := newSharedZone(t, 0, Sharing{Admit: true, Spill: true})
	for _, id := range []string{"a0", "a1", "a2", "a3"} {
		z.host(id, "a", "board", func(u *directory.Upstream) { u.WarmAt = z.now.Add(time.Minute) })
	}
	placed := 0
	const flows = 100
	for range flows {
		z.advance(100 * time.Millisecond)
		z.tell(nil)
		if z.client(boardAddress).open().Action == Forward {
			placed++
		}
	}
	require.GreaterOrEqual(t, placed, flows*9/10)
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

// TestReturnOfDigests guards against the rejection of flows that there is room for when digests come
// again: the requests of the time without them are no demand of this moment.
func TestReturnOfDigests(t *testing.T) {
	z := newSharedZone(t, 4, Sharing{Admit: true, Learn: true})
	z.learnUsualTime()
	z.tell(nil)
	c := z.client(boardAddress).establish()
	const requests = 6000
	for range requests {
		c.request()
		z.advance(10 * time.Millisecond)
		c.acknowledgeAnswer()
	}
	z.tell(nil)
	byHost, _ := z.opens(50)
	placed := 0
	for _, n := range byHost {
		placed += n
	}
	require.Equal(t, 50, placed)
}

// TestOpenRequestsByService guards against requests of open flows that count for another service of
// a split route, and against state for addresses without a route.
func TestOpenRequestsByService(t *testing.T) {
	z := newSharedZone(t, 2, Sharing{Admit: true, Learn: true})
	z.learnUsualTime()
	z.host("a8", "a", "plans")
	p := plan(100, boardAddress)
	p.Routes[0].LatencyGoal = goal
	p.Routes[0].Targets = append(p.Routes[0].Targets, directory.Target{Service: "plans", Weight: 1})
	z.set(directory.Item{
		Key:  directory.Key{Kind: directory.KindPlan},
		Plan: p,
	})
	z.tell(nil)
	z.opens(20)
	host := z.upstream("a0")
	for port := range uint16(100) {
		for _, to := range []netip.AddrPort{boardAddress, netipWithPort(boardAddress, 1024+port)} {
			c := z.client(to)
			c.host, c.ack = host, 5000
			c.request()
			c.acknowledgeAnswer()
			c.request()
		}
	}
	open := func(service string) float64 {
		l := z.forwarder.sharing.services[service]
		l.refresh(z.now, z.view(), z.forwarder)
		sum := 0.0
		for i := range l.classes {
			sum += l.classes[i].openWork
		}
		return sum
	}
	require.Zero(t, open("plans"))
	usual, ok := z.forwarder.sharing.learner.Usual(boardAddress)
	require.True(t, ok)
	require.InDelta(t, 100*usual.Seconds(), open("board"), usual.Seconds())
}
