package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"filbertworks.example/filbertworks/directory"
)

// benchView returns a view with the given number of hosts of one service in two zones.
func benchView(b *testing.B, hosts int) *directory.View {
	b.Helper()
	d := directory.New()
	delta := &directory.Delta{Revision: uint64(hosts + 1)}
	delta.Items = append(delta.Items, directory.Item{
		Key:      directory.Key{Kind: directory.KindPlan},
		Revision: 1,
		Plan:     plan(1, boardAddress),
	})
	for i := range hosts {
		id := fmt.Sprintf("i-%010x", i+1)
		delta.Items = append(delta.Items, directory.Item{
			Key: directory.Key{
				Kind: directory.KindUpstream,
				Name: id,
			},
			Revision: uint64(i + 2),
			Upstream: &directory.Upstream{
				ID:      id,
				Service: "board",
				Zone:    string(rune('a' + i%2)),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
				Slots:   4,
			},
		})
	}
	if _, err := d.Apply(time.Now(), delta); err != nil {
		b.Fatal(err)
	}
	return d.View(time.Now(), func(*directory.Upstream) bool { return false })
}

// BenchmarkForward measures a decision on a packet of an open flow, and on the first and
// last packet of a new one. The baseline is the lookup of a ticket.
func BenchmarkForward(b *testing.B) {
	v := benchView(b, 120)
	u := v.Eligible("board")[0]
	now := time.Now()
	b.Run("baseline", func(b *testing.B) {
		for b.Loop() {
			if v.ByTicket(u.Ticket()) == nil {
				b.Fatal("no upstream")
			}
		}
	})
	packet := func(i int) Packet {
		return Packet{
			Client:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)}), 40001),
			Service: boardAddress,
		}
	}
	for _, flows := range []int{1000, 35000} {
		b.Run(fmt.Sprintf("open-%d", flows), func(b *testing.B) {
			f := New(now, "a", owner(true))
			packets := make([]Packet, flows)
			for i := range packets {
				packets[i] = packet(i)
				packets[i].Ticket = u.Ticket()
				packets[i].Flags = FlagAcknowledge
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				p := &packets[i%flows]
				i++
				p.Acknowledged++
				if f.Forward(now, v, p).Action != Forward {
					b.Fatal("not forwarded")
				}
			}
		})
	}
	b.Run("new", func(b *testing.B) {
		f := New(now, "a", owner(true))
		i := 0
		b.ReportAllocs()
		for b.Loop() {
			p := packet(i)
			p.Flags = FlagOpen
			i++
			if f.Forward(now, v, &p).Action != Forward {
				b.Fatal("not forwarded")
			}
			p.Flags = FlagReset
			p.Ticket = u.Ticket()
			f.Forward(now, v, &p)
		}
	})
}
