package flow

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/rendezvous"
)

// A load is clients of one zone that keep flows open and send requests on them.
type load struct {
	name string
	// perSecond is the rate of requests of loadFlows flows, burst what the number
	// of flows is multiplied by from second 2 to 4.
	perSecond float64
	burst     float64
	// slow is the number of hosts whose work takes slowFactor times as long.
	slow int
	// crash is the number of hosts that end in second 2, with their flows.
	crash int
}

// Sizes and times of the emulated zone: that of lfl-edge's first users.
const (
	loadHosts     = 5
	loadSlots     = 4
	loadQueue     = 16
	loadBalancers = 3
	loadFlows     = 100
	loadWork      = 57 * time.Millisecond
	loadAim       = 300 * time.Millisecond
	loadLength    = 6 * time.Second
	slowFactor    = 6
	// flowRequests is the mean number of requests on a flow.
	flowRequests = 12
)

// loads are what the policies are compared under. 350 requests a second fill all
// slots.
var loads = []load{
	{
		name:      "usual",
		perSecond: 135,
		burst:     1,
	},
	{
		name:      "burst of 1.7",
		perSecond: 135,
		burst:     1.7,
	},
	{
		name:      "burst of 3",
		perSecond: 135,
		burst:     3,
	},
	{
		name:      "a slow host",
		perSecond: 135,
		burst:     1,
		slow:      1,
	},
	{
		name:      "two hosts crash",
		perSecond: 135,
		burst:     1,
		crash:     2,
	},
}

// policies are ways to choose the host of a new flow.
var policies = []string{"forwarder", "rendezvous", "random two of all loads", "least flows of all"}

// emulation is one run: hosts with slots and queues, flows, and balancers that
// each see the flows that the routers' hash gives them.
type emulation struct {
	load   load
	policy string
	now    time.Time
	began  time.Time
	rand   *rand.Rand
	events schedule
	view   *directory.View
	hosts  map[string]*emulatedHost
	order  []*emulatedHost
	lbs    []*Forwarder
	serial int
	// users is the number of flows that are open or will be opened.
	users int
	// inAim, late and failed count requests.
	inAim, late, failed int
}

type emulatedHost struct {
	upstream *directory.Upstream
	busy     int
	flows    int
	queue    []func()
	factor   time.Duration
	down     bool
}

type event struct {
	at time.Time
	do func()
}

type schedule []event

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(v any)        { *s = append(*s, v.(event)) }
func (s *schedule) Pop() any {
	old := *s
	v := old[len(old)-1]
	*s = old[:len(old)-1]
	return v
}

func newEmulation(t *testing.T, l load, policy string, seed uint64) *emulation {
	t.Helper()
	w := newWorld(t, 0)
	e := &emulation{
		load:   l,
		policy: policy,
		now:    w.now,
		began:  w.now,
		rand:   rand.New(rand.NewPCG(seed, 7)),
		hosts:  make(map[string]*emulatedHost),
	}
	for i := range loadHosts {
		w.host(fmt.Sprintf("a%x%x", seed, i), "a", "board")
	}
	e.view = w.view()
	for i, u := range e.view.Eligible("board") {
		h := &emulatedHost{
			upstream: u,
			factor:   1,
		}
		if i < l.slow {
			h.factor = slowFactor
		}
		e.hosts[u.ID] = h
		e.order = append(e.order, h)
	}
	for range loadBalancers {
		e.lbs = append(e.lbs, New(w.now, "a", owner(true)))
	}
	return e
}

func (e *emulation) after(d time.Duration, do func()) {
	heap.Push(&e.events, event{
		at: e.now.Add(d),
		do: do,
	})
}

// run plays the load and returns the share of requests that were answered in
// aim.
func (e *emulation) run() float64 {
	e.come(loadFlows)
	e.after(2*time.Second, func() { e.come(int(float64(loadFlows) * (e.load.burst - 1))) })
	e.after(2*time.Second, func() {
		for _, h := range e.order[:e.load.crash] {
			h.down = true
			h.queue = nil
		}
	})
	for len(e.events) > 0 && e.now.Sub(e.began) < loadLength {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.do()
	}
	return float64(e.inAim) / float64(e.inAim+e.late+e.failed)
}

// come adds users, each of whom opens a flow within a second.
func (e *emulation) come(users int) {
	e.users += users
	for range users {
		e.after(time.Duration(e.rand.Int64N(int64(time.Second))), func() { e.open(0) })
	}
}

// leaves reports whether a user goes after the burst.
func (e *emulation) leaves() bool {
	if e.users <= loadFlows || e.now.Sub(e.began) < 4*time.Second {
		return false
	}
	e.users--
	return true
}

// open opens a flow; tries is the number of tries before it.
func (e *emulation) open(tries int) {
	e.serial++
	p := &Packet{
		Client:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(e.serial % loadFlows), 1}), uint16(1024+e.serial)),
		Service:  boardAddress,
		Flags:    Open,
		Sequence: 99,
	}
	lb := e.lbs[p.key().hash()%loadBalancers]
	h := e.choose(lb, p)
	if h.down {
		// The host's machine resets the client's flow.
		e.after(roundTrip, func() { e.reopen(tries) })
		return
	}
	h.flows++
	p.Flags = Acknowledge
	p.Ticket = h.upstream.Ticket()
	p.Sequence, p.Acknowledged = 100, 5000
	e.after(roundTrip, func() {
		lb.Forward(e.now, e.view, p)
		e.request(lb, p, h)
	})
}

// reopen tries again, or counts a request that failed at all tries.
func (e *emulation) reopen(tries int) {
	if tries < 2 {
		e.open(tries + 1)
		return
	}
	e.failed++
	e.after(e.pause(), func() { e.open(0) })
}

// choose returns the host of a new flow by the policy.
func (e *emulation) choose(lb *Forwarder, p *Packet) *emulatedHost {
	d := lb.Forward(e.now, e.view, p)
	switch e.policy {
	case "forwarder":
		return e.hosts[d.Upstream.ID]
	case "rendezvous":
		return slices.MaxFunc(e.order, func(a, b *emulatedHost) int {
			x, y := rendezvous.Score(p.key().hash(), uint64(a.upstream.Ticket())), rendezvous.Score(p.key().hash(), uint64(b.upstream.Ticket()))
			return int(x>>1) - int(y>>1)
		})
	case "random two of all loads":
		a, b := e.order[e.rand.IntN(len(e.order))], e.order[e.rand.IntN(len(e.order))]
		if b.busy+len(b.queue) < a.busy+len(a.queue) {
			return b
		}
		return a
	default:
		return slices.MinFunc(e.order, func(a, b *emulatedHost) int { return a.flows - b.flows })
	}
}

// pause returns the time until a flow's next request.
func (e *emulation) pause() time.Duration {
	rate := e.load.perSecond / loadFlows
	return time.Duration(e.rand.ExpFloat64() / rate * float64(time.Second))
}

// request sends a request on a flow and waits for its answer.
func (e *emulation) request(lb *Forwarder, p *Packet, h *emulatedHost) {
	sent := e.now
	p.Length = 100
	lb.Forward(e.now, e.view, p)
	p.Sequence += 100
	p.Length = 0
	done := func(ok bool) {
		p.Acknowledged += 500
		lb.Forward(e.now, e.view, p)
		switch {
		case !ok:
			e.failed++
		case e.now.Sub(sent) <= loadAim:
			e.inAim++
		default:
			e.late++
		}
		if leaves := e.leaves(); leaves || e.rand.IntN(flowRequests) == 0 {
			h.flows--
			p.Flags |= Finish
			lb.Forward(e.now, e.view, p)
			if !leaves {
				e.after(e.pause(), func() { e.open(0) })
			}
			return
		}
		e.after(e.pause(), func() { e.request(lb, p, h) })
	}
	e.serve(h, done)
}

// serve works on a request, queues it, or sheds it.
func (e *emulation) serve(h *emulatedHost, done func(ok bool)) {
	switch {
	case h.down:
		e.after(roundTrip, func() { e.reopen(0) })
	case h.busy < loadSlots:
		h.busy++
		work := time.Duration(float64(loadWork)*(0.5+e.rand.Float64())) * h.factor
		e.after(work+roundTrip, func() {
			h.busy--
			if h.down {
				e.reopen(0)
				return
			}
			if len(h.queue) > 0 {
				next := h.queue[0]
				h.queue = h.queue[1:]
				next()
			}
			done(true)
		})
	case len(h.queue) < loadQueue:
		h.queue = append(h.queue, func() { e.serve(h, done) })
	default:
		e.after(roundTrip, func() { done(false) })
	}
}

// TestPlacementUnderLoad replays loads against the policies: the forwarder, which
// sees a third of the flows, serves as many in aim as policies that see all,
// within allowed, and more than hashing alone.
func TestPlacementUnderLoad(t *testing.T) {
	const (
		seeds   = 10
		allowed = 0.03
	)
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			share := make(map[string]float64)
			for _, policy := range policies {
				for seed := range uint64(seeds) {
					share[policy] += newEmulation(t, l, policy, seed+1).run() / seeds
				}
				t.Logf("%-24s %.3f in aim", policy, share[policy])
			}
			require.GreaterOrEqual(t, share["forwarder"], share["rendezvous"]-allowed/3)
			if l.crash == 0 {
				require.GreaterOrEqual(t, share["forwarder"], share["least flows of all"]-allowed)
			}
		})
	}
}
