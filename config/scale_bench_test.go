package config_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"filbertworks.example/filbertworks/config"
)

// scaleDocument returns a document with the given numbers of services and upstreams.
func scaleDocument(services, upstreams int) *config.Document {
	d := &config.Document{
		Keys: []config.Key{{
			ID:     1,
			Secret: make([]byte, 32),
		}},
	}
	for i := range 34 {
		d.Zones = append(d.Zones, config.Zone{
			Name:   fmt.Sprintf("zone-%d", i),
			Region: fmt.Sprintf("region-%d", i/4),
			State:  config.ZoneIn,
		})
	}
	for i := range services {
		d.Services = append(d.Services, config.Service{
			ID:       uint32(i + 1),
			Name:     fmt.Sprintf("service-%d", i),
			Address:  scaleAddress(20, i),
			Deadline: config.Duration(config.MaxDeadline),
			Refresh:  config.Duration(config.MaxRefresh),
		})
	}
	for i := range upstreams {
		s := &d.Services[i%services]
		s.Upstreams = append(s.Upstreams, config.Upstream{
			ID:          uint32(i + 1),
			Name:        fmt.Sprintf("host-%d", i),
			Zone:        fmt.Sprintf("zone-%d", i%34),
			Address:     scaleAddress(10, i),
			Share:       100,
			Slots:       4,
			Connections: 2000,
			State:       config.UpstreamActive,
		})
	}
	return d
}

func scaleAddress(first byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{first, byte(i >> 16), byte(i >> 8), byte(i)}), 5683)
}

// BenchmarkApply measures the time and memory of one change, from today's size of
// the configuration to the target size.
func BenchmarkApply(b *testing.B) {
	for _, size := range []struct{ services, upstreams int }{
		{services: 2, upstreams: 18},
		{services: 1444, upstreams: 12222},
		{services: 13000, upstreams: 110000},
	} {
		b.Run(fmt.Sprintf("upstreams=%d", size.upstreams), func(b *testing.B) {
			s, err := config.NewSnapshot(1, scaleDocument(size.services, size.upstreams))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				u := s.Document.Services[0].Upstreams[0]
				u.Share = uint32(i%2 + 1)
				s, err = s.Apply(&config.Patch{
					Base: s.Version,
					Operations: []config.Operation{{PutUpstream: &config.PutUpstream{
						Service:  "service-0",
						Upstream: u,
					}}},
				})
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkDigest measures the time of a digest at the target size.
func BenchmarkDigest(b *testing.B) {
	d := scaleDocument(13000, 110000)
	for b.Loop() {
		d.Digest()
	}
}

// BenchmarkSnapshot measures the time to create a snapshot at the target size and
// the heap that it takes.
func BenchmarkSnapshot(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, err := config.NewSnapshot(1, scaleDocument(13000, 110000))
		if err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(s)
	}
}

// BenchmarkTransfer measures the compressed size of one change and of a whole
// document, as peers send them.
func BenchmarkTransfer(b *testing.B) {
	for _, size := range []struct{ services, upstreams int }{
		{services: 2, upstreams: 18},
		{services: 1444, upstreams: 12222},
		{services: 13000, upstreams: 110000},
	} {
		b.Run(fmt.Sprintf("upstreams=%d", size.upstreams), func(b *testing.B) {
			d := scaleDocument(size.services, size.upstreams)
			patch := config.Patch{
				Base:       7,
				Operations: []config.Operation{{PutZone: &d.Zones[0]}},
			}
			for b.Loop() {
				b.ReportMetric(compressed(b, config.Publication{
					Version: 8,
					Patches: []config.Patch{patch},
				}), "B/patch")
				b.ReportMetric(compressed(b, config.Publication{
					Version:  8,
					Document: d,
				}), "B/document")
			}
		})
	}
}

// compressed returns the size of v as gzipped JSON.
func compressed(b *testing.B, v any) float64 {
	b.Helper()
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		b.Fatal(err)
	}
	if err := w.Close(); err != nil {
		b.Fatal(err)
	}
	return float64(out.Len())
}
