package cmd

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"filbertworks.example/filbertworks/filbertctl/internal/fleet"
	"filbertworks.example/filbertworks/status"
)

// selectServiceLoad removes all other services from what a balancer knows, which may be nil.
func selectServiceLoad(l *status.Load, service string) {
	if l == nil {
		return
	}
	l.Services = slices.DeleteFunc(l.Services, func(s status.ServiceLoad) bool { return s.Service != service })
	l.Upstreams = slices.DeleteFunc(l.Upstreams, func(u status.UpstreamLoad) bool { return u.Service != service })
}

// loadState returns why a balancer does not place new flows by shared load, or that first packets
// wait there. It is empty for all others.
func loadState(l *status.Load) string {
	switch {
	case l == nil:
		return "no answer"
	case !l.Shared:
		return "load not shared"
	case !l.Known:
		return "load unknown"
	case l.Waiting > 0:
		return "packets wait"
	default:
		return ""
	}
}

// A serviceLoadRow is the load of a service in a zone, as one balancer tells it.
type serviceLoadRow struct {
	load     status.ServiceLoad
	balancer string
	// own is true if the balancer is of the zone.
	own bool
}

// better reports whether r is to be shown rather than another row on the same zone: a known one,
// one of the zone itself, and the newest, in this order.
func (r *serviceLoadRow) better(other *serviceLoadRow) bool {
	switch {
	case r.load.Known != other.load.Known:
		return r.load.Known
	case r.own != other.own:
		return r.own
	default:
		return r.load.Age < other.load.Age
	}
}

// serviceLoadRows returns one row for each service in each zone, sorted by service and zone.
func serviceLoadRows(reports []fleet.LoadReport) []serviceLoadRow {
	type place struct{ service, zone string }
	chosen := make(map[place]serviceLoadRow)
	for i := range reports {
		l := reports[i].Load
		if l == nil {
			continue
		}
		for _, s := range l.Services {
			r := serviceLoadRow{
				load:     s,
				balancer: l.Balancer,
				own:      s.Zone == l.Zone,
			}
			at := place{
				service: s.Service,
				zone:    s.Zone,
			}
			if old, ok := chosen[at]; !ok || r.better(&old) {
				chosen[at] = r
			}
		}
	}
	rows := make([]serviceLoadRow, 0, len(chosen))
	for _, r := range chosen {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b serviceLoadRow) int {
		return cmp.Or(cmp.Compare(a.load.Service, b.load.Service), cmp.Compare(a.load.Zone, b.load.Zone))
	})
	return rows
}

// A flowShare is where the new flows of a service go that arrive in one zone: the mean of the
// shares at the zone's balancers.
type flowShare struct {
	service, from string
	balancers     int
	// sums are the sums of the balancers' shares by zone.
	sums map[string]float64
}

// keeps returns the share of the new flows that stays in the zone.
func (f *flowShare) keeps() float64 {
	return f.sums[f.from] / float64(f.balancers)
}

// gives returns the zones that get new flows, with their shares.
func (f *flowShare) gives() string {
	var parts []string
	for zone, sum := range f.sums {
		if zone != f.from && sum > 0 {
			parts = append(parts, fmt.Sprintf("%s %.2f", zone, sum/float64(f.balancers)))
		}
	}
	slices.Sort(parts)
	return orNone(strings.Join(parts, ", "))
}

// noRoom returns the share of the new flows that there is no room for.
func (f *flowShare) noRoom() float64 {
	sum := 0.0
	for _, s := range f.sums {
		sum += s
	}
	// The rounding of the shares leaves up to a hundredth.
	if rest := 1 - sum/float64(f.balancers); rest > 0.01 {
		return rest
	}
	return 0
}

// flowShares returns where new flows go, sorted by service and zone.
func flowShares(reports []fleet.LoadReport) []flowShare {
	var shares []flowShare
	for i := range reports {
		l := reports[i].Load
		if l == nil {
			continue
		}
		counted := make(map[string]bool)
		for _, s := range l.Services {
			at, found := slices.BinarySearchFunc(shares, s.Service, func(f flowShare, service string) int {
				return cmp.Or(cmp.Compare(f.service, service), cmp.Compare(f.from, l.Zone))
			})
			if !found {
				shares = slices.Insert(shares, at, flowShare{
					service: s.Service,
					from:    l.Zone,
					sums:    make(map[string]float64),
				})
			}
			if !counted[s.Service] {
				counted[s.Service] = true
				shares[at].balancers++
			}
			shares[at].sums[s.Zone] += s.Share
		}
	}
	return shares
}

// An upstreamLoadRow is the load of an upstream, as one balancer of its zone tells it.
type upstreamLoadRow struct {
	load status.UpstreamLoad
	zone string
}

// upstreamLoadRows returns one row for each upstream, told by the balancer with the newest digest,
// those with the least capacity per slot first.
func upstreamLoadRows(reports []fleet.LoadReport) []upstreamLoadRow {
	chosen := make(map[string]upstreamLoadRow)
	for i := range reports {
		l := reports[i].Load
		if l == nil {
			continue
		}
		for _, u := range l.Upstreams {
			old, ok := chosen[u.Name]
			if !ok || u.Known && (!old.load.Known || u.Age < old.load.Age) {
				chosen[u.Name] = upstreamLoadRow{
					load: u,
					zone: l.Zone,
				}
			}
		}
	}
	rows := make([]upstreamLoadRow, 0, len(chosen))
	for _, r := range chosen {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b upstreamLoadRow) int {
		return cmp.Or(cmp.Compare(speed(&a.load), speed(&b.load)), cmp.Compare(a.load.Service, b.load.Service),
			cmp.Compare(a.load.Name, b.load.Name))
	})
	return rows
}

// speed returns the capacity of an upstream per slot, 1 if it is unknown.
func speed(u *status.UpstreamLoad) float64 {
	if !u.Known || u.Slots == 0 {
		return 1
	}
	return u.Capacity / float64(u.Slots)
}
