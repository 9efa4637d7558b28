// Package emulation plays a load in simulated time: emulated users, routers and
// hosts around the decisions of real balancers. Runs with the same load,
// options and seed have the same result.
package emulation

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/rendezvous"
)

// Delays of the emulated platform. Those of packets are one-way.
const (
	clientDelay    = 3 * time.Millisecond
	sameZoneDelay  = 200 * time.Microsecond
	crossZoneDelay = 3500 * time.Microsecond
	// routerDetectionDelay is the time until routers stop sending packets to a
	// balancer without power: two probes of 500 ms.
	routerDetectionDelay = time.Second
	// readyDelay is the time from a balancer's start until routers send packets
	// to it.
	readyDelay = 300 * time.Millisecond
	// deregistrationDelay is the time from a host's failure until its entry is
	// removed, and registrationDelay the time from its restart until the entry
	// is back.
	deregistrationDelay = 3 * time.Second
	registrationDelay   = 500 * time.Millisecond
)

// serviceName is the only service of a load.
const serviceName = "service"

// kindAddress returns the address of the route of the kind of requests with an index.
func kindAddress(kind int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), uint16(443+kind))
}

// epoch is the simulated time at which runs begin.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Policies of balancers.
const (
	// PolicyAlone makes balancers judge hosts only by what they observe
	// themselves.
	PolicyAlone = "alone"
	// PolicyShared makes the balancers of a zone merge their reports on hosts.
	PolicyShared = "shared"
	// PolicyProbed is PolicyShared with probes of hosts whose answers are
	// overdue. It is what filbertflow does where load sharing is off.
	PolicyProbed = "probed"
	// PolicySharing is PolicyProbed with new flows placed, handed to other zones and
	// admitted by the load that balancers share.
	PolicySharing = "sharing"
)

// Policies are all policies in increasing order of complexity.
var Policies = []string{PolicyAlone, PolicyShared, PolicyProbed, PolicySharing}

// Placements are ways to choose the host of a new flow: that of the balancer,
// and others to compare it with. The last three use knowledge that no balancer
// has.
const (
	// PlacementForwarder is the choice of the balancer itself.
	PlacementForwarder = "forwarder"
	// PlacementRendezvous chooses the host with the highest rendezvous score.
	PlacementRendezvous = "rendezvous"
	// PlacementTwoChoices chooses the less loaded of two random hosts. It uses
	// the actual loads, which no balancer knows.
	PlacementTwoChoices = "two choices"
	// PlacementLeastFlows chooses the host with the fewest open flows. It uses
	// the flows of all balancers, which no balancer knows.
	PlacementLeastFlows = "least flows"
	// PlacementKnown chooses the host, of any zone, that would answer a request
	// first. It knows all queues, speeds and failures, and is the bound that
	// other placements are compared with.
	PlacementKnown = "known"
)

// Placements are all placements.
var Placements = []string{PlacementForwarder, PlacementRendezvous, PlacementTwoChoices, PlacementLeastFlows, PlacementKnown}

// ErrOptions reports invalid options.
var ErrOptions = eris.New("invalid options")

// Options are the parameters of a run.
type Options struct {
	// Balancers is the number of balancers in all zones together.
	Balancers int
	Policy    string
	// Placement is PlacementForwarder if it is empty.
	Placement string
	Seed      uint64
	// loseReports loses all messages of load sharing between balancers.
	loseReports bool
}

// emulation is the state of a run.
type emulation struct {
	schedule
	load    *Load
	options Options
	kinds   []Kind
	rand    *rand.Rand
	// loadRand is used for load sharing only, so that the other random choices of a run do not
	// depend on it.
	loadRand        *rand.Rand
	directory       *directory.Directory
	revision        uint64
	view            *directory.View
	hosts           map[string]*host
	hostsByZone     [][]*host
	balancersByZone [][]*balancer
	// inRotation holds, for each zone, the balancers that its routers send
	// packets to.
	inRotation [][]*balancer
	// flows are the flows that are not closed, by the client's address and
	// port.
	flows  map[netip.AddrPort]*conn
	serial uint32
	result *Result
}

// Play plays a load and returns its result. The error is ErrOptions.
func Play(l *Load, o Options) (*Result, error) {
	if o.Balancers < l.Zones {
		return nil, eris.Wrapf(ErrOptions, "%d balancers for %d zones", o.Balancers, l.Zones)
	}
	if !slices.Contains(Policies, o.Policy) {
		return nil, eris.Wrapf(ErrOptions, "unknown policy %q", o.Policy)
	}
	if o.Placement == "" {
		o.Placement = PlacementForwarder
	}
	if !slices.Contains(Placements, o.Placement) {
		return nil, eris.Wrapf(ErrOptions, "unknown placement %q", o.Placement)
	}
	e := &emulation{
		schedule:  schedule{now: epoch},
		load:      l,
		options:   o,
		kinds:     l.kinds(),
		rand:      rand.New(rand.NewPCG(o.Seed, 0)),
		loadRand:  rand.New(rand.NewPCG(o.Seed, 1)),
		directory: directory.New(),
		hosts:     make(map[string]*host),
		flows:     make(map[netip.AddrPort]*conn),
		result:    newResult(l, o),
	}
	e.build()
	for i := range l.Faults {
		e.scheduleFault(&l.Faults[i])
	}
	e.runUntil(epoch.Add(l.Length.Duration))
	e.result.sortDetectionTimes()
	e.result.setBusiest(e)
	return e.result, nil
}

// zoneName returns the name of the zone with a number.
func zoneName(zone int) string {
	return fmt.Sprintf("zone-%d", zone)
}

// build creates the hosts, balancers and users.
func (e *emulation) build() {
	routes := make([]directory.Route, 0, len(e.kinds))
	for i := range e.kinds {
		k := &e.kinds[i]
		routes = append(routes, directory.Route{
			Name:        k.Name,
			Address:     kindAddress(i),
			LatencyGoal: k.LatencyGoal.Duration,
			Priority:    k.Priority,
			Targets: []directory.Target{{
				Service: serviceName,
				Weight:  1,
			}},
		})
	}
	e.applyItem(directory.Item{
		Key: directory.Key{Kind: directory.KindPlan},
		Plan: &directory.Plan{
			Version:  1,
			Services: []directory.Service{{Name: serviceName}},
			Routes:   routes,
		},
	})
	for zone := range e.load.Zones {
		e.buildHosts(zone)
		e.buildBalancers(zone)
		for range e.load.Users.Count {
			newUser(e, zone, time.Time{})
		}
	}
}

func (e *emulation) buildHosts(zone int) {
	hosts := make([]*host, 0, e.load.Hosts.Count)
	for i := range e.load.Hosts.Count {
		h := &host{
			emulation:         e,
			slowdown:          1,
			congestedSlowdown: 1,
			received:          make([]int, len(e.kinds)),
			upstream: &directory.Upstream{
				ID:      fmt.Sprintf("i-%08x", e.rand.Uint32()),
				Service: serviceName,
				Zone:    zoneName(zone),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), byte(i >> 8), byte(i)}), 80),
				Slots:   e.load.Hosts.Slots,
			},
		}
		hosts = append(hosts, h)
		e.hosts[h.upstream.ID] = h
		e.register(h)
	}
	e.hostsByZone = append(e.hostsByZone, hosts)
}

func (e *emulation) buildBalancers(zone int) {
	var balancers []*balancer
	for i := zone; i < e.options.Balancers; i += e.load.Zones {
		balancers = append(balancers, newBalancer(e, zone))
	}
	e.balancersByZone = append(e.balancersByZone, balancers)
	e.inRotation = append(e.inRotation, append([]*balancer(nil), balancers...))
}

// applyItem applies a change to the directory that all balancers share.
func (e *emulation) applyItem(i directory.Item) {
	e.revision++
	i.Revision = e.revision
	_, err := e.directory.Apply(e.now, &directory.Delta{
		Base:     e.revision - 1,
		Revision: e.revision,
		Items:    []directory.Item{i},
	})
	if err != nil {
		// Each item has the revision after the previous one.
		panic(err)
	}
	e.view = e.directory.View(e.now, func(*directory.Upstream) bool { return false })
}

// register adds the entry of a host to the directory.
func (e *emulation) register(h *host) {
	u := *h.upstream
	e.applyItem(directory.Item{
		Key: directory.Key{
			Kind: directory.KindUpstream,
			Name: u.ID,
		},
		Upstream: &u,
	})
}

// route returns the balancer to which the routers of a zone send a flow: one in
// another zone if none of the zone is in rotation, and nil if there is none at
// all.
func (e *emulation) route(zone int, client netip.AddrPort) *balancer {
	for i := range e.inRotation {
		if balancers := e.inRotation[(zone+i)%len(e.inRotation)]; len(balancers) > 0 {
			return balancers[flowHash(client)%uint64(len(balancers))]
		}
	}
	return nil
}

// flowHash returns the hash of a flow, which depends on its client only.
func flowHash(client netip.AddrPort) uint64 {
	a := client.Addr().As4()
	return rendezvous.Mix(uint64(a[1])<<40 | uint64(a[2])<<32 | uint64(a[3])<<24 | uint64(client.Port()))
}

// scheduleFault schedules a fault.
func (e *emulation) scheduleFault(f *Fault) {
	switch f.Kind {
	case KindBurst:
		e.after(f.At.Duration, func() { e.addBurstUsers(f) })
	case KindBalancers:
		e.after(f.At.Duration, func() { e.failBalancers(f) })
	case KindLag:
		e.after(f.At.Duration, func() { e.slowBalancers(f) })
	default:
		e.after(f.At.Duration, func() { e.failHosts(f) })
	}
}

// addBurstUsers adds users to each zone, or to that of the burst, for its duration.
func (e *emulation) addBurstUsers(f *Fault) {
	until := e.now.Add(f.For.Duration)
	for zone := range e.load.Zones {
		if f.Zone != nil && *f.Zone != zone {
			continue
		}
		for range int((f.Factor - 1) * float64(e.load.Users.Count)) {
			newUser(e, zone, until)
		}
	}
}

// failHosts makes a share of each zone's hosts slow or fail for the duration of
// a fault.
func (e *emulation) failHosts(f *Fault) {
	for _, hosts := range e.hostsByZone {
		for _, i := range e.rand.Perm(len(hosts))[:countOf(f.Share, len(hosts))] {
			h := hosts[i]
			switch f.Kind {
			case KindSlow:
				h.slowdown = f.Factor
				e.after(f.For.Duration, func() { h.slowdown = 1 })
			case KindCongested:
				h.congestedSlowdown = f.Factor
				e.after(f.For.Duration, func() { h.congestedSlowdown = 1 })
			case KindCrash:
				e.failHost(h, hostCrashed, f.For.Duration)
			default:
				e.failHost(h, hostPoweredOff, f.For.Duration)
			}
		}
	}
}

// failHost makes a host fail for a duration. Its entry is removed meanwhile,
// unless it restarts within deregistrationDelay.
func (e *emulation) failHost(h *host, state hostState, duration time.Duration) {
	h.fail(state)
	e.result.FailedHosts++
	incarnation := h.incarnation
	e.after(deregistrationDelay, func() {
		if h.incarnation == incarnation && h.state != hostServing {
			e.applyItem(directory.Item{
				Key: directory.Key{
					Kind: directory.KindUpstream,
					Name: h.upstream.ID,
				},
				Deleted: true,
			})
		}
	})
	e.after(duration, func() {
		if h.incarnation == incarnation {
			h.restart()
			e.after(registrationDelay, func() { e.register(h) })
		}
	})
}

// failBalancers takes the power away from a share of each zone's balancers for
// the duration of a fault.
func (e *emulation) failBalancers(f *Fault) {
	for zone, balancers := range e.balancersByZone {
		for _, i := range e.rand.Perm(len(balancers))[:countOf(f.Share, len(balancers))] {
			b := balancers[i]
			b.down = true
			e.after(routerDetectionDelay, func() { e.updateRotation(zone) })
			e.after(f.For.Duration, func() {
				b.start()
				e.after(readyDelay, func() { e.updateRotation(zone) })
			})
		}
	}
}

// slowBalancers makes a share of each zone's balancers slow for the duration of a fault.
func (e *emulation) slowBalancers(f *Fault) {
	for _, balancers := range e.balancersByZone {
		for _, i := range e.rand.Perm(len(balancers))[:countOf(f.Share, len(balancers))] {
			b := balancers[i]
			b.packets.delay, b.messages.delay = f.Delay.Duration, f.Delay.Duration
			e.after(f.For.Duration, func() { b.packets.delay, b.messages.delay = 0, 0 })
		}
	}
}

// updateRotation makes a zone's routers use exactly its running balancers.
func (e *emulation) updateRotation(zone int) {
	e.inRotation[zone] = nil
	for _, b := range e.balancersByZone[zone] {
		if !b.down {
			e.inRotation[zone] = append(e.inRotation[zone], b)
		}
	}
}

// countOf returns a share of n, rounded, at least 1 and at most n.
func countOf(share float64, n int) int {
	return min(max(int(share*float64(n)+0.5), 1), n)
}
