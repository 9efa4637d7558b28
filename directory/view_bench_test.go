package directory

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// filledDirectory returns a directory with the given number of hosts in 34 zones.
func filledDirectory(b *testing.B, hosts int) *Directory {
	b.Helper()
	d := New()
	items := make([]Item, 0, hosts+1)
	items = append(items, planOf(1, 1, "198.18.0.1:80"))
	for i := range hosts {
		items = append(items, upstream(fmt.Sprintf("i-%010x", i), uint64(i+2), func(u *Upstream) {
			u.Zone = fmt.Sprintf("zone-%d", i%34)
			u.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80)
		}))
	}
	apply(b, d, time.Now(), items...)
	return d
}

// BenchmarkView measures the creation of a view after a change, for today's number of
// hosts, and for that of one region and of all regions in two years. The baseline
// iterates over the items.
func BenchmarkView(b *testing.B) {
	for _, hosts := range []int{150, 12222, 110000} {
		d := filledDirectory(b, hosts)
		now := time.Now()
		b.Run(fmt.Sprintf("baseline-%d", hosts), func(b *testing.B) {
			for b.Loop() {
				n := 0
				for _, i := range d.items {
					if !i.Deleted {
						n++
					}
				}
			}
		})
		b.Run(fmt.Sprintf("view-%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = d.View(now, noneLapsed)
			}
		})
	}
}
