package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
)

// newLargeZone returns a forwarder with shared load, a view of 2,850 routes to 30 services with 480
// hosts in 3 zones, and a client's first packets.
func newLargeZone(b *testing.B, s Sharing) (*Forwarder, *directory.View, time.Time, func(i int) *Packet) {
	const routes, services, hosts = 2850, 30, 480
	now := time.Now()
	dir := directory.New()
	p := &directory.Plan{Version: 1}
	for i := range routes {
		p.Routes = append(p.Routes, directory.Route{
			Name:        fmt.Sprint(i),
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			LatencyGoal: 300 * time.Millisecond,
			Priority:    i % 4,
			Targets:     []directory.Target{{Service: fmt.Sprintf("s%d", i%services), Weight: 1}},
		})
	}
	items := []directory.Item{{Key: directory.Key{Kind: directory.KindPlan}, Plan: p, Revision: 1}}
	for i := range hosts {
		id := fmt.Sprintf("%08x", i+1)
		items = append(items, directory.Item{
			Key: directory.Key{Kind: directory.KindUpstream, Name: id}, Revision: uint64(i + 2),
			Upstream: &directory.Upstream{
				ID: id, Service: fmt.Sprintf("s%d", i%services), Zone: string(rune('a' + i/services%3)),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80), Slots: 8,
			},
		})
	}
	if _, err := dir.Apply(now, &directory.Delta{Revision: uint64(hosts + 1), Items: items}); err != nil {
		b.Fatal(err)
	}
	v := dir.View(now, func(*directory.Upstream) bool { return false })
	f := New(now, "a", owner(true), WithInquiries(), WithLookups(zones(false)), WithSharing(s))
	for g := range 2 {
		f.ApplyDigest(now, &load.Digest{Origin: 7, Sequence: uint32(g + 1), Group: g, Groups: 2, Balancers: 27}, 27)
	}
	return f, v, now, func(i int) *Packet {
		return &Packet{
			Client:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i >> 22), byte(i >> 14), byte(i >> 6)}), uint16(i)),
			Service:  p.Routes[i%routes].Address,
			Flags:    FlagOpen,
			Sequence: uint32(i),
		}
	}
}

func BenchmarkSharedFirstPacket(b *testing.B) {
	for _, test := range []struct {
		name string
		step time.Duration
	}{{"same time", 0}, {"1 ms apart", time.Millisecond}} {
		b.Run(test.name, func(b *testing.B) {
			f, v, now, packet := newLargeZone(b, Sharing{Learn: true, Spill: true, Admit: true})
			b.ReportAllocs()
			seq := uint32(10)
			for i := 0; b.Loop(); i++ {
				now = now.Add(test.step)
				if i%200 == 0 {
					seq++
					for g := range 2 {
						f.ApplyDigest(now, &load.Digest{Origin: 7, Sequence: seq, Group: g, Groups: 2, Balancers: 27}, 27)
					}
				}
				f.Forward(now, v, packet(i))
			}
		})
	}
}

func BenchmarkUnsharedFirstPacket(b *testing.B) {
	f, v, now, packet := newLargeZone(b, Sharing{})
	f.sharing = nil
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		f.Forward(now, v, packet(i))
	}
}

func BenchmarkRooms(b *testing.B) {
	f, v, now, packet := newLargeZone(b, Sharing{Learn: true, Spill: true, Admit: true})
	for i := range 100 {
		f.Forward(now, v, packet(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(50 * time.Millisecond)
		if i%20 == 0 {
			for g := range 2 {
				f.ApplyDigest(now, &load.Digest{Origin: 7, Sequence: uint32(i + 100), Group: g, Groups: 2, Balancers: 27}, 27)
			}
		}
		f.Rooms(now, v)
	}
}

func BenchmarkViewChange(b *testing.B) {
	f, v, now, packet := newLargeZone(b, Sharing{Learn: true, Spill: true, Admit: true})
	for i := range 100 {
		f.Forward(now, v, packet(i))
	}
	b.ReportAllocs()
	other := *v
	views := []*directory.View{v, &other}
	for i := 0; b.Loop(); i++ {
		f.Rooms(now, views[i%2])
	}
}
