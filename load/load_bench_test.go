package load

import (
	"fmt"
	"testing"

	"filbertworks.example/filbertworks/directory"
)

// BenchmarkUpstream measures a look-up of the load of an upstream among 128. The baseline is
// the look-up of its ticket in a map.
func BenchmarkUpstream(b *testing.B) {
	hosts := hostsOf(128)
	d, tickets := digestOf(1, 1), make(map[directory.Ticket]int)
	for i, h := range hosts {
		d.Totals = append(d.Totals, flowsOf(h.Ticket(), 9))
		tickets[h.Ticket()] = i
	}
	b.Run("baseline", func(b *testing.B) {
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			i++
			if _, ok := tickets[directory.Ticket(i%128+1)]; !ok {
				b.Fatal("unknown")
			}
		}
	})
	b.Run("book", func(b *testing.B) {
		book := NewBook()
		book.Apply(start, d)
		now := at(100)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			i++
			if !book.Upstream(now, directory.Ticket(i%128+1)).Known {
				b.Fatal("unknown")
			}
		}
	})
}

// BenchmarkZone measures a look-up of the load of a zone of several groups.
func BenchmarkZone(b *testing.B) {
	book, d := NewBook(), digestOf(1, 1)
	for _, zone := range []string{"a", "b", "c"} {
		for _, service := range []string{"agenda", "board", "chat", "docs"} {
			for group := range 2 {
				d.Zones = append(d.Zones, ZoneTotal{
					Zone:    zone,
					Service: service,
					Group:   group,
					At:      start,
				})
			}
		}
	}
	book.Apply(start, d)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := book.Zone(start, "b", "docs"); !ok {
			b.Fatal("unknown")
		}
	}
}

// BenchmarkDigest measures a digest of 128 hosts, to each of which all balancers send, with
// the reports that come between two digests of a collector. The baseline is the reports alone.
func BenchmarkDigest(b *testing.B) {
	hosts := cached(b, hostsOf(128))
	for _, balancers := range []int{27, 100} {
		for _, digests := range []int{0, 1} {
			name := fmt.Sprintf("balancers-%d", balancers)
			if digests == 0 {
				name += "-baseline"
			}
			b.Run(name, func(b *testing.B) {
				c := NewCollector(1)
				reports := make([]*Report, balancers)
				for i := range reports {
					reports[i] = reportOf(uint64(i+1), 1, hosts, 3, 0.25)
					c.AddReport(at(-1000), reports[i])
				}
				now := start
				b.ReportAllocs()
				for b.Loop() {
					for range 2 {
						now = now.Add(reports[0].Period)
						for _, r := range reports {
							r.Sequence++
							c.AddReport(now, r)
						}
					}
					for range digests {
						if _, ok := c.Digest(now, 0, 1, hosts, balancers); !ok {
							b.Fatal("no digest")
						}
					}
				}
			})
		}
	}
}

// BenchmarkApply measures a digest of 128 hosts that comes to a balancer.
func BenchmarkApply(b *testing.B) {
	book, d, hosts := NewBook(), digestOf(1, 0), hostsOf(128)
	for _, h := range hosts {
		d.Totals = append(d.Totals, flowsOf(h.Ticket(), 9))
	}
	own := reportOf(1, 1, hosts, 3, 0.25)
	book.Reported(start, own)
	now := at(100)
	b.ReportAllocs()
	for b.Loop() {
		d.Sequence++
		if !book.Apply(now, d) {
			b.Fatal("not applied")
		}
	}
}

// cached returns hosts as they are in a directory, where their tickets are cached.
func cached(b *testing.B, hosts []*directory.Upstream) []*directory.Upstream {
	b.Helper()
	d, delta := directory.New(), &directory.Delta{Revision: uint64(len(hosts))}
	for i, h := range hosts {
		delta.Items = append(delta.Items, directory.Item{
			Key: directory.Key{
				Kind: directory.KindUpstream,
				Name: h.ID,
			},
			Revision: uint64(i + 1),
			Upstream: h,
		})
	}
	items, err := d.Apply(start, delta)
	if err != nil {
		b.Fatal(err)
	}
	result := make([]*directory.Upstream, len(items))
	for i := range items {
		result[i] = items[i].Upstream
	}
	return result
}
