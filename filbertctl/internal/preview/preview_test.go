package preview

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
)

func TestOf(t *testing.T) {
	tests := []struct {
		name     string
		change   func(*config.Document)
		want     []string
		capacity []Capacity
	}{
		{name: "no change", change: func(*config.Document) {}},
		{
			name:   "upstream drained",
			change: func(d *config.Document) { d.Services[0].Upstreams[0].State = config.UpstreamDraining },
			want:   []string{"~ upstream hut-1 of bacheca: state active -> draining"},
			capacity: []Capacity{
				capacityOf(BeforeAfter{Before: 2}, BeforeAfter{Before: 2000}),
			},
		},
		{
			name:   "zone taken out",
			change: func(d *config.Document) { d.Zones[0].State = config.ZoneOut },
			want:   []string{"~ zone merano: state in -> out"},
			capacity: []Capacity{
				capacityOf(BeforeAfter{Before: 2}, BeforeAfter{Before: 2000}),
			},
		},
		{
			name:   "upstream removed",
			change: func(d *config.Document) { d.Services[0].Upstreams = nil },
			want:   []string{"- upstream hut-1 of bacheca"},
			capacity: []Capacity{
				capacityOf(BeforeAfter{Before: 2}, BeforeAfter{Before: 2000}),
			},
		},
		{
			name: "upstream renamed and enlarged",
			change: func(d *config.Document) {
				d.Services[0].Upstreams[0].Name = "hut-2"
				d.Services[0].Upstreams[0].Slots = 4
			},
			want: []string{"~ upstream hut-1 of bacheca: name hut-1 -> hut-2, slots 2 -> 4"},
			capacity: []Capacity{
				capacityOf(BeforeAfter{Before: 2, After: 4}, BeforeAfter{Before: 2000, After: 2000}),
			},
		},
		{
			name: "keys rotated, secrets not shown",
			change: func(d *config.Document) {
				d.Keys = []config.Key{{ID: 2, Secret: []byte("fedcba9876543210")}, d.Keys[0]}
			},
			want: []string{"~ keys all: ids [1] -> [2 1]"},
		},
		{
			name:   "secret replaced",
			change: func(d *config.Document) { d.Keys[0].Secret = []byte("fedcba9876543210") },
			want:   []string{"~ keys all: ids [1] -> [1]"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			from := sampleDocument()
			to := from.Clone()
			tt.change(to)
			p := Of(from, to)
			var lines []string
			for _, c := range p.Changes {
				lines = append(lines, c.String())
			}
			require.Equal(t, tt.want, lines)
			require.ElementsMatch(t, tt.capacity, p.Capacity)
		})
	}
}

func capacityOf(slots, connections BeforeAfter) Capacity {
	return Capacity{
		Service:     "bacheca",
		Zone:        "merano",
		Slots:       slots,
		Connections: connections,
	}
}

// sampleDocument returns a document with one item of each kind.
func sampleDocument() *config.Document {
	return &config.Document{
		Keys: []config.Key{
			{
				ID:     1,
				Secret: []byte("0123456789abcdef"),
			},
		},
		Zones: []config.Zone{
			{
				Name:   "merano",
				Region: "alto-adige",
				State:  config.ZoneIn,
			},
		},
		Services: []config.Service{
			{
				ID:      1,
				Name:    "bacheca",
				Address: netip.MustParseAddrPort("127.0.2.1:5683"),
				Upstreams: []config.Upstream{
					{
						ID:          11,
						Name:        "hut-1",
						Zone:        "merano",
						Address:     netip.MustParseAddrPort("127.0.3.1:5683"),
						Share:       1,
						Slots:       2,
						Connections: 2000,
						State:       config.UpstreamActive,
					},
				},
			},
		},
	}
}
