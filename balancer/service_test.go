package balancer_test

import (
	"flag"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ticket"
)

var (
	packets     = flag.Int("packets", 200_000, "number of packets of TestRightService")
	packetsSeed = flag.Uint64("packets.seed", 1, "seed of TestRightService")
)

// kinds are the kinds of datagram that reach upstreams.
var kinds = []packet.Kind{packet.KindIdempotent, packet.KindOnce, packet.KindWatchOpen, packet.KindWatchClose}

// An issuedTicket is a ticket that a caller was given.
type issuedTicket struct {
	data    []byte
	caller  netip.AddrPort
	service uint32
}

// TestRightService checks that no packet reaches an upstream of another service
// while configurations differ between balancers, addresses move to the other
// service and tickets are forged, damaged, replayed or outdated.
func TestRightService(t *testing.T) {
	sm := newSimulation(*packetsSeed, duplicating, keeper.Limits{Exchanges: 500, LedgerEntries: 500}, "a", "a", "b")
	d := &driver{simulation: sm}
	d.serve(document())
	serve := func(u config.Upstream, service uint32) {
		sm.hosts[u.Address] = &host{
			service: service,
			answer:  func() (time.Duration, bool, bool) { return sm.randomUpTo(time.Second), sm.random.IntN(10) == 0, false },
			seen:    make(map[string]bool),
			run:     func([]byte) {},
		}
	}
	for _, s := range document().Services {
		for _, u := range s.Upstreams {
			serve(u, s.ID)
		}
	}
	var issued []issuedTicket
	sm.receive = func(to netip.AddrPort, m *message) {
		if len(m.ticket) == 0 {
			return
		}
		k := issuedTicket{
			data:    m.ticket,
			caller:  to,
			service: uint32(m.token.Bytes[7]),
		}
		if len(issued) < 200 {
			issued = append(issued, k)
			return
		}
		issued[sm.random.IntN(len(issued))] = k
	}
	sm.install(snapshot(t, document()), 0)
	sm.run(epoch)
	const interval = 2 * time.Millisecond
	for i := range *packets {
		sm.after(interval, func() { sm.sendRandomPacket(uint64(i), issued) })
		if i%10_000 == 5_000 {
			sm.reuseAddress(uint32(100+i/10_000), serve)
		}
		sm.run(sm.now.Add(interval))
	}
	sm.run(sm.now.Add(time.Minute))
	t.Logf("seed %d: packets %d, at upstreams %d, at the wrong service %d, version %d",
		*packetsSeed, *packets, sm.arrived, sm.wrongService, sm.config.Version)
	require.Greater(t, sm.arrived, *packets/10)
	require.Zero(t, sm.wrongService)
	require.Zero(t, sm.unusable)
}

// reuseAddress moves a host to the other service, as the operator's guide says:
// its upstream is removed, and the address is used again once every balancer
// has a version without it.
func (sm *simulation) reuseAddress(id uint32, serve func(config.Upstream, uint32)) {
	from := sm.random.IntN(2)
	s := &sm.config.Document.Services[from]
	old := s.Upstreams[sm.random.IntN(len(s.Upstreams))]
	if len(s.Upstreams) == 1 {
		return
	}
	sm.patch(config.Operation{RemoveUpstream: &config.RemoveUpstream{
		Service: s.Name,
		Name:    old.Name,
	}})
	sm.after(2*maxConfigDelay, func() {
		next := upstreamOf(id, old.Zone)
		next.Address = old.Address
		other := &sm.config.Document.Services[1-from]
		serve(next, other.ID)
		sm.patch(config.Operation{PutUpstream: &config.PutUpstream{
			Service:  other.Name,
			Upstream: next,
		}})
	})
}

// sendRandomPacket sends a packet with a ticket of any kind.
func (sm *simulation) sendRandomPacket(n uint64, issued []issuedTicket) {
	service := uint32(1 + sm.random.IntN(2))
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(sm.random.IntN(20))}), uint16(1+sm.random.IntN(50)))
	var data []byte
	if len(issued) > 0 {
		data, caller, service = sm.randomTicket(issued[sm.random.IntN(len(issued))], caller, service)
	}
	kind := kinds[sm.random.IntN(len(kinds))]
	b := datagramOf(service, kind, n, 0, (n%1000)<<8|uint64(service), data)
	h := headerOf(b)
	h.Caller = caller
	sm.sendToAnyNode(h, b)
}

// randomTicket returns the ticket that a packet carries, made from an issued
// ticket, and the packet's caller and service.
func (sm *simulation) randomTicket(k issuedTicket, caller netip.AddrPort, service uint32) ([]byte, netip.AddrPort, uint32) {
	forged := ticket.Ticket{
		Service:     service,
		Upstream:    sm.random.Uint32N(130),
		Incarnation: sm.nodes[0].self.Incarnation,
		Serial:      sm.random.Uint64N(100),
		Expiry:      time.Hour,
	}
	out := make([]byte, ticket.Size)
	switch sm.random.IntN(8) {
	case 0:
		return nil, caller, service
	case 1: // replayed by another caller
		return k.data, caller, k.service
	case 2: // replayed at the other service
		return k.data, k.caller, 3 - k.service
	case 3: // damaged
		out = append(out[:0], k.data...)
		out[sm.random.IntN(len(out))] ^= byte(1 + sm.random.IntN(255))
		return out, k.caller, k.service
	case 4: // truncated
		return k.data[:sm.random.IntN(len(k.data))], k.caller, k.service
	case 5: // forged, or sealed with a retired key
		key := ticket.Key{ID: byte(sm.random.IntN(3)), Secret: []byte("a key of earlier days")}
		ticket.NewSealer(key).Seal(out, forged, caller.Addr())
		return out, caller, service
	case 6: // sealed with the current key, for a random upstream id, also of other configurations
		key := sm.config.Document.Keys[0]
		ticket.NewSealer(ticket.Key{ID: key.ID, Secret: key.Secret}).Seal(out, forged, caller.Addr())
		return out, caller, service
	default:
		return k.data, k.caller, k.service
	}
}
