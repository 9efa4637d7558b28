package emulation

import (
	"cmp"
	"math"
	"slices"

	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/rendezvous"
)

// place returns the host of a new flow by the placement in the options. chosen
// is the choice of the balancer.
func (e *emulation) place(zone int, chosen *host, p *flow.Packet) *host {
	hosts := e.hostsByZone[zone]
	switch e.options.Placement {
	case PlacementRendezvous:
		key := flowHash(p.Client)
		return slices.MaxFunc(hosts, func(a, b *host) int {
			return cmp.Compare(rendezvous.Score(key, uint64(a.upstream.Ticket())), rendezvous.Score(key, uint64(b.upstream.Ticket())))
		})
	case PlacementTwoChoices:
		a, b := hosts[e.rand.IntN(len(hosts))], hosts[e.rand.IntN(len(hosts))]
		if b.activeRequests() < a.activeRequests() {
			return b
		}
		return a
	case PlacementLeastFlows:
		return slices.MinFunc(hosts, func(a, b *host) int { return a.flows - b.flows })
	case PlacementKnown:
		return e.fastestHost(zone, chosen)
	default:
		return chosen
	}
}

// fastestHost returns the host that would answer a request of a zone's user first, and
// chosen if none serves. Flows that wait for their user's next request count as a tenth of
// a request.
func (e *emulation) fastestHost(zone int, chosen *host) *host {
	const idleFlowWeight = 0.1
	best, least := chosen, math.Inf(1)
	for z, hosts := range e.hostsByZone {
		for _, h := range hosts {
			if h.state != hostServing {
				continue
			}
			waiting := float64(h.activeRequests()+1) + idleFlowWeight*float64(h.flows)
			cost := waiting / float64(e.load.Hosts.Slots) * h.slowdown * e.load.Hosts.Work.Seconds()
			if z != zone {
				cost += (crossZoneDelay - sameZoneDelay).Seconds()
			}
			if cost < least {
				best, least = h, cost
			}
		}
	}
	return best
}

// activeRequests returns the number of requests that the host works on or
// queues.
func (h *host) activeRequests() int {
	return h.busy + len(h.queue)
}
