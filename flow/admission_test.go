package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// crowd is a balancer of zone a whose clients send new flows all the time. Hosts answer at once.
type crowd struct {
	*sharedZone
	clients map[netip.AddrPort]*client
	// released are the decisions on packets that were held, and placed the new flows that a host
	// has got, by route.
	released []Release
	placed   map[netip.AddrPort]int
}

// full and nearlyFull are the requests in progress of each host of a full zone, and of one whose
// hosts answer urgent requests in time.
const (
	full       = 16
	nearlyFull = 14.4
)

// all parts of load sharing.
var allSharing = Sharing{
	Learn: true,
	Spill: true,
	Admit: true,
}

func newCrowd(t *testing.T, hosts int, s Sharing) *crowd {
	t.Helper()
	return &crowd{
		sharedZone: newSharedZone(t, hosts, s),
		clients:    make(map[netip.AddrPort]*client),
		placed:     make(map[netip.AddrPort]int),
	}
}

// arrive sends the first packet of a new flow.
func (z *crowd) arrive(to netip.AddrPort) (*client, Decision) {
	c := z.client(to)
	z.clients[c.addr] = c
	d := c.open()
	if d.Action == Forward {
		z.answer(c)
	}
	return c, d
}

// answer lets the client's host answer its first packet.
func (z *crowd) answer(c *client) {
	z.placed[c.service]++
	c.ack = 5000
	c.acknowledge()
}

// pass lets time pass without new flows.
func (z *crowd) pass(d time.Duration) {
	const step = 5 * time.Millisecond
	for end := z.now.Add(d); z.now.Before(end); {
		z.advance(step)
		z.forwarder.Advance(z.now, z.view())
		for _, r := range z.forwarder.Released() {
			z.released = append(z.released, r)
			if c := z.clients[r.Flow.Client]; r.Decision.Action == Forward {
				c.host = r.Decision.Upstream
				z.answer(c)
			}
		}
	}
}

// crowdInterval is the time between two new flows of a route.
const crowdInterval = 20 * time.Millisecond

// play sends new flows on both routes, while digests have the requests in progress of each host of
// zone a, and of all of zone b.
func (z *crowd) play(d time.Duration, working, other float64) {
	const flows = 10
	for end := z.now.Add(d); z.now.Before(end); {
		z.tell(z.all(working), z.room(other))
		for range flows {
			z.pass(crowdInterval)
			z.arrive(boardAddress)
			z.arrive(plansAddress)
		}
	}
}

// wait fills all zones, and returns a client whose first packet waits.
func (z *crowd) wait() *client {
	z.t.Helper()
	z.play(200*time.Millisecond, nearlyFull, 64)
	for range 10 {
		if c, d := z.arrive(plansAddress); d.Action == Hold {
			require.Equal(z.t, ReasonWaiting, d.Reason)
			return c
		}
	}
	require.Fail(z.t, "nothing waits")
	return nil
}

// decisions returns the decisions on the held packets of a client.
func (z *crowd) decisions(c *client) []Decision {
	var all []Decision
	for _, r := range z.released {
		if r.Flow.Client == c.addr {
			all = append(all, r.Decision)
		}
	}
	return all
}

// TestUrgentFlowsGoFirst guards against urgent flows that fare like others while all hosts are
// full, and against flows that wait or are rejected while some zone has room.
func TestUrgentFlowsGoFirst(t *testing.T) {
	const length = 2 * time.Second
	const arrivals = int(length / crowdInterval)
	for _, test := range []struct {
		name    string
		sharing Sharing
		working float64
		other   float64
		prepare func(*crowd)
		// min and max bound the placed flows of the less urgent route.
		min int
		max int
	}{
		{
			name:    "own zone has room",
			sharing: allSharing,
			working: 2,
			other:   64,
			min:     arrivals,
			max:     arrivals,
		},
		{
			name:    "the other zone has room",
			sharing: allSharing,
			working: nearlyFull,
			min:     arrivals,
			max:     arrivals,
		},
		{
			name:    "all zones are full",
			sharing: allSharing,
			working: nearlyFull,
			other:   64,
			min:     arrivals / 20,
			max:     arrivals / 2,
		},
		{
			name:    "the other zone has room, and is taken out",
			sharing: allSharing,
			working: nearlyFull,
			prepare: func(z *crowd) { z.zoneOut("b") },
			min:     arrivals / 20,
			max:     arrivals / 2,
		},
		{
			name: "admission is off",
			sharing: Sharing{
				Learn: true,
				Spill: true,
			},
			working: nearlyFull,
			other:   64,
			min:     arrivals,
			max:     arrivals,
		},
		{
			name:    "all is off",
			working: nearlyFull,
			other:   64,
			min:     arrivals,
			max:     arrivals,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newCrowd(t, 4, test.sharing)
			if test.prepare != nil {
				test.prepare(z)
			}
			z.play(2*time.Second, test.working, test.other)
			z.pass(maxAdmissionWait)
			clear(z.placed)
			z.play(length, test.working, test.other)
			z.pass(maxAdmissionWait)
			require.Equal(t, arrivals, z.placed[boardAddress])
			require.GreaterOrEqual(t, z.placed[plansAddress], test.min)
			require.LessOrEqual(t, z.placed[plansAddress], test.max)
			require.Zero(t, z.forwarder.Waiting())
			for _, r := range z.released {
				require.LessOrEqual(t, r.Decision.Waited, maxAdmissionWait+crowdInterval)
			}
		})
	}
}

// TestEndOfWait guards against first packets that wait for ever, that are decided on twice, or by
// what was true when they began to wait.
func TestEndOfWait(t *testing.T) {
	forward, reject := []Action{Forward}, []Action{Reject}
	for _, test := range []struct {
		name string
		do   func(z *crowd, c *client)
		// actions are the possible decisions, and reason is that of a rejection.
		actions []Action
		reason  Reason
		zone    string
	}{
		{
			name:    "a digest shows room",
			do:      func(z *crowd, _ *client) { z.tell(z.all(0), z.room(0)) },
			actions: forward,
			zone:    "a",
		},
		{
			name:    "a digest shows room in the other zone",
			do:      func(z *crowd, _ *client) { z.tell(z.all(full), z.room(0)) },
			actions: forward,
		},
		{
			name: "the route is removed",
			do: func(z *crowd, _ *client) {
				z.set(directoryPlan(100, boardAddress))
			},
			actions: reject,
			reason:  ReasonNoRoute,
		},
		{
			name: "the route becomes the most urgent one",
			do: func(z *crowd, _ *client) {
				i := directoryPlan(100, boardAddress, plansAddress)
				for n := range i.Plan.Routes {
					r := &i.Plan.Routes[n]
					r.LatencyGoal, r.Priority, r.Targets[0].Service = goal, 1-n, "board"
				}
				z.set(i)
			},
			actions: []Action{Forward, Reject},
			reason:  ReasonNoRoom,
			zone:    "a",
		},
		{
			name: "the route has no latency goal any more",
			do: func(z *crowd, _ *client) {
				z.setGoals(0)
			},
			actions: []Action{Forward, Reject},
			reason:  ReasonNoRoom,
			zone:    "a",
		},
		{
			name: "the zone that it would go to is taken out",
			do: func(z *crowd, _ *client) {
				z.tell(z.all(full), z.room(0))
				z.zoneOut("b")
			},
			actions: []Action{Forward, Reject},
			reason:  ReasonNoRoom,
			zone:    "a",
		},
		{
			name: "the own zone is taken out",
			do: func(z *crowd, _ *client) {
				z.zoneOut("a")
			},
			actions: forward,
			zone:    "b",
		},
		{
			name: "all hosts leave",
			do: func(z *crowd, _ *client) {
				for _, id := range []string{"a0", "a1", "a2", "a3", "b0", "b1", "b2", "b3"} {
					z.remove(id)
				}
			},
			actions: []Action{Forward, Reject},
		},
		{
			name:    "digests stop",
			do:      func(*crowd, *client) {},
			actions: []Action{Forward, Reject},
			reason:  ReasonNoRoom,
			zone:    "a",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newCrowd(t, 4, allSharing)
			c := z.wait()
			test.do(z, c)
			z.pass(maxAdmissionWait + 5*time.Millisecond)
			decisions := z.decisions(c)
			require.Len(t, decisions, 1)
			d := decisions[0]
			require.Contains(t, test.actions, d.Action)
			require.LessOrEqual(t, d.Waited, maxAdmissionWait)
			switch {
			case d.Action == Reject && test.reason != 0:
				require.Equal(t, test.reason, d.Reason)
			case d.Action == Forward && test.zone != "":
				require.Equal(t, test.zone, d.Upstream.Zone)
			}
			require.Zero(t, z.forwarder.Waiting())
			z.pass(3 * time.Second)
			require.Len(t, z.decisions(c), 1)
		})
	}
}

// TestWaitEnds guards against first packets that wait for longer than their goal leaves, as hosts
// fill further: they are rejected then.
func TestWaitEnds(t *testing.T) {
	const longest = (goal - defaultAnswerTime) / 2
	z := newCrowd(t, 4, allSharing)
	for range 5 {
		z.play(200*time.Millisecond, nearlyFull, 64)
		z.play(time.Second, full, 64)
	}
	z.pass(maxAdmissionWait)
	rejected := 0
	for _, r := range z.released {
		if d := r.Decision; d.Action == Reject {
			rejected++
			require.Equal(t, ReasonNoRoom, d.Reason)
			require.Equal(t, longest, d.Waited)
		}
		require.LessOrEqual(t, r.Decision.Waited, longest)
	}
	require.Positive(t, rejected)
	require.Zero(t, z.forwarder.Waiting())
}

// directoryPlan returns the item of a plan with routes to addresses.
func directoryPlan(version uint64, addresses ...netip.AddrPort) directory.Item {
	return directory.Item{
		Key:  directory.Key{Kind: directory.KindPlan},
		Plan: plan(version, addresses...),
	}
}
