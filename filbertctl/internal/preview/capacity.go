package preview

import (
	"cmp"

	"filbertworks.example/filbertworks/config"
)

// A place is a service's part in one zone.
type place struct {
	service string
	zone    string
}

// A load is what upstreams may bear together.
type load struct {
	slots       uint64
	connections uint64
}

// capacities returns what the upstreams that receive new work may bear.
func capacities(d *config.Document) map[place]load {
	in := make(map[string]bool, len(d.Zones))
	for _, z := range d.Zones {
		in[z.Name] = z.State == config.ZoneIn
	}
	sums := make(map[place]load)
	for i := range d.Services {
		s := &d.Services[i]
		for _, u := range s.Upstreams {
			if !in[u.Zone] || u.State != config.UpstreamActive {
				continue
			}
			p := place{
				service: s.Name,
				zone:    u.Zone,
			}
			sum := sums[p]
			sum.slots += uint64(u.Slots)
			sum.connections += uint64(u.Connections)
			sums[p] = sum
		}
	}
	return sums
}

func comparePlaces(a, b place) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.zone, b.zone))
}
