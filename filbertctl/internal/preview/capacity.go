package preview

import (
	"cmp"

	"filbertworks.example/filbertworks/config"
)

// A serviceZone identifies the upstreams of a service in one zone.
type serviceZone struct {
	service string
	zone    string
}

// capacityTotals are the sums of the limits of several upstreams.
type capacityTotals struct {
	slots       uint64
	connections uint64
}

// capacities returns the capacity of each service in each zone. It counts only the
// upstreams that receive new work.
func capacities(d *config.Document) map[serviceZone]capacityTotals {
	in := make(map[string]bool, len(d.Zones))
	for _, z := range d.Zones {
		in[z.Name] = z.State == config.ZoneIn
	}
	totals := make(map[serviceZone]capacityTotals)
	for i := range d.Services {
		s := &d.Services[i]
		for _, u := range s.Upstreams {
			if !in[u.Zone] || u.State != config.UpstreamActive {
				continue
			}
			p := serviceZone{
				service: s.Name,
				zone:    u.Zone,
			}
			total := totals[p]
			total.slots += uint64(u.Slots)
			total.connections += uint64(u.Connections)
			totals[p] = total
		}
	}
	return totals
}

func compareServiceZones(a, b serviceZone) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.zone, b.zone))
}
