package wire

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"filbertworks.example/filbertworks/directory"
)

// BenchmarkCompleteDelta measures the encoding of a complete delta of 600 hosts, as each
// balancer fetches it when the store was restored, without and with as many retained items.
func BenchmarkCompleteDelta(b *testing.B) {
	for _, test := range []struct {
		name     string
		retained int
	}{
		{
			name: "none retained",
		},
		{
			name:     "all retained",
			retained: 600,
		},
	} {
		b.Run(test.name, func(b *testing.B) {
			now := time.Now()
			delta := completeDelta(now, 600, test.retained)
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(NewDelta(now, delta))
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// completeDelta returns a delta with hosts, of which some are retained in another state.
func completeDelta(now time.Time, hosts, retained int) *directory.Delta {
	delta := &directory.Delta{
		Era:      2,
		Revision: 100000,
	}
	for n := range hosts {
		id := fmt.Sprintf("%016x", uint64(n+1)*0x9e3779b97f4a7c15)
		i := directory.Item{
			Key: directory.Key{
				Kind: directory.KindUpstream,
				Name: id,
			},
			Revision: 99000 + uint64(n),
			Upstream: &directory.Upstream{
				ID:        id,
				Service:   "catalog-search",
				Address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 8080),
				Zone:      "vipiteno",
				Release:   "2026.11.3",
				Slots:     8,
				StartedAt: now.Add(-time.Hour),
				Sequence:  3000,
			},
		}
		delta.Items = append(delta.Items, i)
		if n < retained {
			delta.Retained = append(delta.Retained, directory.Retained{
				Item:  i,
				Until: now.Add(directory.RetentionPeriod),
			})
		}
	}
	return delta
}
