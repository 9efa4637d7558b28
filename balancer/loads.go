package balancer

import (
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/upstream"
	"filbertworks.example/filbertworks/wire"
)

// refusingUtilization is the utilization of an upstream that takes no new work.
const refusingUtilization = 2

// UpdateLoads stores the loads of the upstreams that a peer keeps.
func (b *Balancer) UpdateLoads(now time.Time, loads []wire.Load) {
	for _, l := range loads {
		b.loads.Update(now, l.Upstream, l.Requests.Utilization(), l.Watches.Utilization())
	}
}

// Loads appends the loads of the upstreams that this balancer keeps, and stores
// them for its own placement.
func (b *Balancer) Loads(now time.Time, loads []wire.Load) []wire.Load {
	b.ForEachKept(now, func(_ *config.Service, u *config.Upstream, g *upstream.Limiter) {
		requests, watches := b.utilizations(now, u, g)
		loads = append(loads, wire.Load{
			Upstream: u.ID,
			Requests: wire.LevelOf(requests),
			Watches:  wire.LevelOf(watches),
		})
		b.loads.Update(now, u.ID, requests, watches)
	})
	return loads
}

// recordPlacement adds the load of newly placed work, until its keeper reports
// a load.
func (b *Balancer) recordPlacement(h *packet.Header, u *config.Upstream) {
	if h.Kind == packet.KindWatchOpen {
		b.loads.RecordPlacement(u.ID, true, 1/float32(u.Connections))
		return
	}
	b.loads.RecordPlacement(u.ID, false, 1/float32(u.Slots))
}

// utilizations returns the requests and watches of an upstream kept here as
// fractions of its capacity.
func (b *Balancer) utilizations(now time.Time, u *config.Upstream, g *upstream.Limiter) (requests, watches float32) {
	used, limit := g.Load(now)
	if limit == 0 {
		return refusingUtilization, refusingUtilization
	}
	used += uint32(b.keeper.Queued(u.ID))
	return float32(used) / float32(limit), float32(g.Watches()) / float32(u.Connections)
}
