// Package emulation plays a load in simulated time: users, routers and hosts
// around the decisions of real balancers. A run with the same load, options and
// seed has the same result.
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

// Times of the emulated platform, one way.
const (
	clientLink = 3 * time.Millisecond
	zoneLink   = 200 * time.Microsecond
	awayLink   = 3500 * time.Microsecond
	// routerDelay is how long routers send packets to a balancer without power:
	// two probes of 500 ms.
	routerDelay = time.Second
	// readyDelay is the time from a balancer's start until routers use it.
	readyDelay = 300 * time.Millisecond
	// lapseDelay is the time from a host's failure until its entry is gone, and
	// returnDelay that from its return until the entry is back.
	lapseDelay  = 3 * time.Second
	returnDelay = 500 * time.Millisecond
)

// serviceName is the one service of a load.
const serviceName = "service"

var serviceAddress = netip.MustParseAddrPort("198.18.0.1:443")

// epoch is when runs begin.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Policies of balancers.
const (
	// PolicyAlone is a balancer that judges hosts by what it sees itself.
	PolicyAlone = "alone"
	// PolicyShared joins the reports of a zone's balancers.
	PolicyShared = "shared"
	// PolicyProbed also probes hosts that should have answered; it is what
	// filbertflow does.
	PolicyProbed = "probed"
)

// Policies are all policies, the simplest first.
var Policies = []string{PolicyAlone, PolicyShared, PolicyProbed}

// Placements are ways to choose the host of a new flow: that of the balancer, and
// others to compare it with, of which the last two know what no balancer does.
const (
	// PlacementForwarder is the balancer's own choice.
	PlacementForwarder = "forwarder"
	// PlacementRendezvous takes the highest rendezvous score.
	PlacementRendezvous = "rendezvous"
	// PlacementTwoChoices takes the less loaded of two random hosts.
	PlacementTwoChoices = "two choices"
	// PlacementLeastFlows takes the host with the fewest open flows.
	PlacementLeastFlows = "least flows"
)

// Placements are all placements.
var Placements = []string{PlacementForwarder, PlacementRendezvous, PlacementTwoChoices, PlacementLeastFlows}

// ErrOptions reports options that can't be played.
var ErrOptions = eris.New("unusable options")

// Options are what a load is played with.
type Options struct {
	// Balancers is the number of balancers of all zones.
	Balancers int
	Policy    string
	// Placement is PlacementForwarder where it is empty.
	Placement string
	Seed      uint64
}

// emulation is one run.
type emulation struct {
	schedule
	load      *Load
	options   Options
	rand      *rand.Rand
	dir       *directory.Directory
	revision  uint64
	view      *directory.View
	hosts     map[string]*host
	zones     [][]*host
	balancers [][]*balancer
	// routed are the balancers that the routers of each zone use.
	routed [][]*balancer
	// flows are the open flows by the client's address and port.
	flows  map[netip.AddrPort]*conn
	serial uint32
	result *Result
}

// Play plays a load. The error is ErrOptions.
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
		schedule: schedule{now: epoch},
		load:     l,
		options:  o,
		rand:     rand.New(rand.NewPCG(o.Seed, 0)),
		dir:      directory.New(),
		hosts:    make(map[string]*host),
		flows:    make(map[netip.AddrPort]*conn),
		result:   newResult(l, o),
	}
	e.build()
	for i := range l.Faults {
		e.plan(&l.Faults[i])
	}
	e.run(epoch.Add(l.Length.Duration))
	e.result.finish()
	return e.result, nil
}

// zoneName returns the name of a zone by its number.
func zoneName(zone int) string {
	return fmt.Sprintf("zone-%d", zone)
}

// build makes the hosts, balancers and users.
func (e *emulation) build() {
	e.set(directory.Item{
		Key: directory.Key{Kind: directory.KindPlan},
		Plan: &directory.Plan{
			Version:  1,
			Services: []directory.Service{{Name: serviceName}},
			Routes: []directory.Route{{
				Name:    serviceName,
				Address: serviceAddress,
				Targets: []directory.Target{{
					Service: serviceName,
					Weight:  1,
				}},
			}},
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
			e:      e,
			factor: 1,
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
	e.zones = append(e.zones, hosts)
}

func (e *emulation) buildBalancers(zone int) {
	var balancers []*balancer
	for i := zone; i < e.options.Balancers; i += e.load.Zones {
		balancers = append(balancers, newBalancer(e, zone))
	}
	e.balancers = append(e.balancers, balancers)
	e.routed = append(e.routed, append([]*balancer(nil), balancers...))
}

// set changes the directory of all balancers.
func (e *emulation) set(i directory.Item) {
	e.revision++
	i.Revision = e.revision
	_, err := e.dir.Apply(e.now, &directory.Delta{
		Base:     e.revision - 1,
		Revision: e.revision,
		Items:    []directory.Item{i},
	})
	if err != nil {
		// Each item follows the one before.
		panic(err)
	}
	e.view = e.dir.View(e.now, func(*directory.Upstream) bool { return false })
}

// register makes a host eligible.
func (e *emulation) register(h *host) {
	u := *h.upstream
	e.set(directory.Item{
		Key: directory.Key{
			Kind: directory.KindUpstream,
			Name: u.ID,
		},
		Upstream: &u,
	})
}

// route returns the balancer that a zone's routers choose for a flow; nil where
// there is none.
func (e *emulation) route(zone int, client netip.AddrPort) *balancer {
	for i := range e.routed {
		if routed := e.routed[(zone+i)%len(e.routed)]; len(routed) > 0 {
			return routed[flowHash(client)%uint64(len(routed))]
		}
	}
	return nil
}

// flowHash returns the hash of a flow by its client.
func flowHash(client netip.AddrPort) uint64 {
	a := client.Addr().As4()
	return rendezvous.Mix(uint64(a[1])<<40 | uint64(a[2])<<32 | uint64(a[3])<<24 | uint64(client.Port()))
}

// plan makes a fault happen.
func (e *emulation) plan(f *Fault) {
	switch f.Kind {
	case KindBurst:
		e.after(f.At.Duration, func() { e.burst(f) })
	case KindBalancers:
		e.after(f.At.Duration, func() { e.cutPower(f) })
	default:
		e.after(f.At.Duration, func() { e.failHosts(f) })
	}
}

// burst adds users to each zone for a while.
func (e *emulation) burst(f *Fault) {
	until := e.now.Add(f.For.Duration)
	for zone := range e.load.Zones {
		for range int((f.Factor - 1) * float64(e.load.Users.Count)) {
			newUser(e, zone, until)
		}
	}
}

// failHosts makes a share of each zone's hosts fail for a while.
func (e *emulation) failHosts(f *Fault) {
	for _, hosts := range e.zones {
		for _, i := range e.rand.Perm(len(hosts))[:shareOf(f.Share, len(hosts))] {
			h := hosts[i]
			switch f.Kind {
			case KindSlow:
				h.factor = f.Factor
				e.after(f.For.Duration, func() { h.factor = 1 })
			case KindCrash:
				e.fail(h, crashed, f.For.Duration)
			default:
				e.fail(h, dark, f.For.Duration)
			}
		}
	}
}

// fail makes a host fail for a while; its entry goes meanwhile.
func (e *emulation) fail(h *host, c condition, length time.Duration) {
	h.fail(c)
	e.result.FailedHosts++
	life := h.life
	e.after(lapseDelay, func() {
		if h.life == life && h.condition != serving {
			e.set(directory.Item{
				Key: directory.Key{
					Kind: directory.KindUpstream,
					Name: h.upstream.ID,
				},
				Deleted: true,
			})
		}
	})
	e.after(length, func() {
		if h.life == life {
			h.recover()
			e.after(returnDelay, func() { e.register(h) })
		}
	})
}

// cutPower takes the power of a share of each zone's balancers for a while.
func (e *emulation) cutPower(f *Fault) {
	for zone, balancers := range e.balancers {
		for _, i := range e.rand.Perm(len(balancers))[:shareOf(f.Share, len(balancers))] {
			b := balancers[i]
			b.down = true
			e.after(routerDelay, func() { e.reroute(zone) })
			e.after(f.For.Duration, func() {
				b.start()
				e.after(readyDelay, func() { e.reroute(zone) })
			})
		}
	}
}

// reroute tells a zone's routers which balancers run.
func (e *emulation) reroute(zone int) {
	e.routed[zone] = nil
	for _, b := range e.balancers[zone] {
		if !b.down {
			e.routed[zone] = append(e.routed[zone], b)
		}
	}
}

// shareOf returns a share of n things, one at least.
func shareOf(share float64, n int) int {
	return min(max(int(share*float64(n)+0.5), 1), n)
}
