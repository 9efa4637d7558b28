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

// kinds are those that reach upstreams.
var kinds = []packet.Kind{packet.KindIdempotent, packet.KindOnce, packet.KindWatchOpen, packet.KindWatchClose}

// A seenTicket is one that a caller was given.
type seenTicket struct {
	data    []byte
	caller  netip.AddrPort
	service uint32
}

// TestRightService states that no packet reaches an upstream of another service
// while configurations differ, addresses are used again by the other service and
// tickets are forged, damaged, replayed or out of date.
func TestRightService(t *testing.T) {
	w := newWorld(*packetsSeed, copies, keeper.Limits{Exchanges: 500, Entries: 500}, "a", "a", "b")
	d := &driver{world: w}
	d.serve(document())
	serve := func(u config.Upstream, service uint32) {
		w.hosts[u.Address] = &host{
			service: service,
			answer:  func() (time.Duration, bool, bool) { return w.upTo(time.Second), w.random.IntN(10) == 0, false },
			seen:    make(map[string]bool),
			run:     func([]byte) {},
		}
	}
	for _, s := range document().Services {
		for _, u := range s.Upstreams {
			serve(u, s.ID)
		}
	}
	var seen []seenTicket
	w.receive = func(to netip.AddrPort, m *message) {
		if len(m.ticket) == 0 {
			return
		}
		k := seenTicket{
			data:    m.ticket,
			caller:  to,
			service: uint32(m.token.Bytes[7]),
		}
		if len(seen) < 200 {
			seen = append(seen, k)
			return
		}
		seen[w.random.IntN(len(seen))] = k
	}
	w.install(snapshot(t, document()), 0)
	w.run(epoch)
	const interval = 2 * time.Millisecond
	for i := range *packets {
		w.after(interval, func() { w.spray(uint64(i), seen) })
		if i%10_000 == 5_000 {
			w.reuse(uint32(100+i/10_000), serve)
		}
		w.run(w.now.Add(interval))
	}
	w.run(w.now.Add(time.Minute))
	t.Logf("seed %d: packets %d, at upstreams %d, at the wrong service %d, version %d",
		*packetsSeed, *packets, w.arrived, w.wrong, w.config.Version)
	require.Greater(t, w.arrived, *packets/10)
	require.Zero(t, w.wrong)
	require.Zero(t, w.outside)
}

// reuse moves a host to the other service, as the guide says: its address is
// removed, and used again once every balancer has a version without it.
func (w *world) reuse(id uint32, serve func(config.Upstream, uint32)) {
	from := w.random.IntN(2)
	s := &w.config.Document.Services[from]
	old := s.Upstreams[w.random.IntN(len(s.Upstreams))]
	if len(s.Upstreams) == 1 {
		return
	}
	w.patch(config.Operation{RemoveUpstream: &config.RemoveUpstream{
		Service: s.Name,
		Name:    old.Name,
	}})
	w.after(2*configSpread, func() {
		next := upstreamOf(id, old.Zone)
		next.Address = old.Address
		other := &w.config.Document.Services[1-from]
		serve(next, other.ID)
		w.patch(config.Operation{PutUpstream: &config.PutUpstream{
			Service:  other.Name,
			Upstream: next,
		}})
	})
}

// spray sends one packet with a ticket of any origin.
func (w *world) spray(n uint64, seen []seenTicket) {
	service := uint32(1 + w.random.IntN(2))
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(w.random.IntN(20))}), uint16(1+w.random.IntN(50)))
	var data []byte
	if len(seen) > 0 {
		data, caller, service = w.ticket(seen[w.random.IntN(len(seen))], caller, service)
	}
	kind := kinds[w.random.IntN(len(kinds))]
	b := datagramOf(service, kind, n, 0, (n%1000)<<8|uint64(service), data)
	h := headerOf(b)
	h.Caller = caller
	w.fabric(h, b)
}

// ticket returns what a packet carries, its caller and service, made from a
// ticket that was given.
func (w *world) ticket(k seenTicket, caller netip.AddrPort, service uint32) ([]byte, netip.AddrPort, uint32) {
	forged := ticket.Ticket{
		Service:     service,
		Upstream:    w.random.Uint32N(130),
		Incarnation: w.cores[0].self.Incarnation,
		Serial:      w.random.Uint64N(100),
		Expiry:      time.Hour,
	}
	out := make([]byte, ticket.Size)
	switch w.random.IntN(8) {
	case 0:
		return nil, caller, service
	case 1: // replayed by another caller
		return k.data, caller, k.service
	case 2: // replayed at the other service
		return k.data, k.caller, 3 - k.service
	case 3: // damaged
		out = append(out[:0], k.data...)
		out[w.random.IntN(len(out))] ^= byte(1 + w.random.IntN(255))
		return out, k.caller, k.service
	case 4: // cut
		return k.data[:w.random.IntN(len(k.data))], k.caller, k.service
	case 5: // forged, or sealed with a retired key
		key := ticket.Key{ID: byte(w.random.IntN(3)), Secret: []byte("a key of earlier days")}
		ticket.NewSealer(key).Seal(out, forged, caller.Addr())
		return out, caller, service
	case 6: // sealed, of any upstream, as of a configuration of another age
		key := w.config.Document.Keys[0]
		ticket.NewSealer(ticket.Key{ID: key.ID, Secret: key.Secret}).Seal(out, forged, caller.Addr())
		return out, caller, service
	default:
		return k.data, k.caller, k.service
	}
}
