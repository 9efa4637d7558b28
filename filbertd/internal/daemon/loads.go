package daemon

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/balancer"
	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// A loadSharer exchanges the loads of upstreams with peers: each balancer sends
// the loads of the upstreams whose keeper it is. Its fields are reused between calls.
// Only the loop's goroutine uses it.
type loadSharer struct {
	scheduler *balancer.DigestScheduler
	loads     []wire.Load
	received  []wire.Load
	peers     []netip.AddrPort
}

func newLoadSharer() *loadSharer {
	return &loadSharer{scheduler: balancer.NewDigestScheduler()}
}

// shareLoads sends loads to the peers of this region every
// balancer.DigestInterval until ctx ends.
func (d *Daemon) shareLoads(ctx context.Context) {
	ticker := time.NewTicker(balancer.DigestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.call(ctx, d.sendLoads)
		case <-ctx.Done():
			return
		}
	}
}

// handleLoads processes a peer's load report.
func (d *Daemon) handleLoads(now time.Time, data []byte) {
	s := d.sharer
	var err error
	if s.received, err = wire.ParseLoads(data, s.received[:0]); err != nil {
		d.counters.add("drop", err.Error())
		return
	}
	d.balancer.UpdateLoads(now, s.received)
}

// sendLoads sends the loads of the upstreams whose keeper is this balancer to the
// peers that the scheduler selects in turn.
func (d *Daemon) sendLoads(now time.Time) {
	s := d.sharer
	s.loads = d.balancer.Loads(now, s.loads[:0])
	s.findPeers(d.balancer.Config(), d.balancer.Members().Members(), d.options.Name, d.options.Zone)
	datagram, first, end := s.scheduler.Next(now, s.loads, len(s.peers))
	for _, a := range s.peers[first:end] {
		d.counters.add("loads", "sent")
		if _, err := d.relay.WriteToUDPAddrPort(datagram, a); err != nil {
			d.counters.add("loads", "send")
		}
	}
}

// findPeers sets s.peers to the addresses of the live peers in the region, with
// those of this balancer's zone first. Each part is sorted by address.
func (s *loadSharer) findPeers(c *config.Snapshot, members []member.Member, self, zone string) {
	s.peers = s.peers[:0]
	if c == nil {
		return
	}
	regions := make(map[string]string, len(c.Document.Zones))
	for _, z := range c.Document.Zones {
		regions[z.Name] = z.Region
	}
	local := 0
	for _, m := range members {
		if m.Name == self || m.State != member.Alive || regions[m.Zone] != regions[zone] {
			continue
		}
		s.peers = append(s.peers, m.Relay)
		if last := len(s.peers) - 1; m.Zone == zone {
			s.peers[local], s.peers[last] = s.peers[last], s.peers[local]
			local++
		}
	}
	byAddress := func(a, b netip.AddrPort) int {
		return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Port(), b.Port()))
	}
	slices.SortFunc(s.peers[:local], byAddress)
	slices.SortFunc(s.peers[local:], byAddress)
}
