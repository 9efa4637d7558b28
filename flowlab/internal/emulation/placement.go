package emulation

import (
	"cmp"
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
	default:
		return chosen
	}
}

// activeRequests returns the number of requests that the host works on or
// queues.
func (h *host) activeRequests() int {
	return h.busy + len(h.queue)
}
