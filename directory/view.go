package directory

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// A View is an immutable snapshot of a directory, indexed for lookups. A listed host has
// an entry; the entry of a departed host was deleted. A View is safe for concurrent use.
type View struct {
	// Position is the directory's position.
	Position Position
	// Plan is nil until a plan is known.
	Plan *Plan

	routes map[netip.AddrPort]*Route
	// eligible holds the hosts that new flows may go to, by service, ordered by ID.
	eligible map[string][]*Upstream
	// fallback holds, for services without eligible hosts, those that would be eligible
	// without the items retained from earlier eras.
	fallback map[string][]*Upstream
	byTicket map[Ticket]*Upstream
	// byAddress holds the listed host at each address.
	byAddress map[netip.AddrPort]*Upstream
	// byZone holds the listed hosts of each zone, in no particular order.
	byZone        map[string][]*Upstream
	limits        map[string]*Service
	zonesOut      map[string]bool
	removedRoutes map[netip.AddrPort]time.Time
	upstreams     int
}

// View returns a snapshot of the directory as of now. Departed hosts stay eligible if
// lapsed reports that their entry may have been deleted by mistake.
func (d *Directory) View(now time.Time, lapsed func(u *Upstream) bool) *View {
	v := &View{
		Position:      d.Position(),
		routes:        make(map[netip.AddrPort]*Route),
		eligible:      make(map[string][]*Upstream),
		fallback:      make(map[string][]*Upstream),
		byTicket:      make(map[Ticket]*Upstream, len(d.items)),
		byAddress:     make(map[netip.AddrPort]*Upstream, len(d.items)),
		byZone:        make(map[string][]*Upstream),
		limits:        make(map[string]*Service),
		zonesOut:      make(map[string]bool),
		removedRoutes: maps.Clone(d.removedRoutes),
	}
	items := d.currentItems()
	if i := items[Key{Kind: KindPlan}]; i != nil {
		v.setPlan(i.Plan)
	}
	for k, i := range items {
		if k.Kind == KindZoneOut && !i.Deleted {
			v.zonesOut[k.Name] = true
		}
	}
	for _, u := range upstreamsOf(items) {
		v.add(d.coldAfterReturn(now, v, u), lapsed)
	}
	if len(d.retained) > 0 {
		d.addFallback(now, v, lapsed)
	}
	for _, hosts := range v.eligible {
		slices.SortFunc(hosts, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}

// ByAddress returns the listed host at an address, or nil.
func (v *View) ByAddress(a netip.AddrPort) *Upstream {
	return v.byAddress[a]
}

// InZone returns the listed hosts of a zone, in no particular order. The caller must not modify
// them.
func (v *View) InZone(zone string) []*Upstream {
	return v.byZone[zone]
}

// ByTicket returns the listed or departed host with a ticket, or nil.
func (v *View) ByTicket(t Ticket) *Upstream {
	return v.byTicket[t]
}

// Eligible returns the hosts of a service that new flows may go to. The caller must not
// modify them.
func (v *View) Eligible(service string) []*Upstream {
	return v.eligible[service]
}

// Fallback returns the hosts that new flows of a service may go to if none is eligible: by
// the store's items alone, they are. The caller must not modify them.
func (v *View) Fallback(service string) []*Upstream {
	return v.fallback[service]
}

// Limits returns the limits of a service's hosts, or nil.
func (v *View) Limits(service string) *Service {
	return v.limits[service]
}

// ZoneOut reports whether a zone is taken out of service.
func (v *View) ZoneOut(zone string) bool {
	return v.zonesOut[zone]
}

// RouteRemoved reports whether a plan has removed the route of an address.
func (v *View) RouteRemoved(a netip.AddrPort) bool {
	_, removed := v.removedRoutes[a]
	return removed
}

// Route returns the route of an address, or nil.
func (v *View) Route(a netip.AddrPort) *Route {
	return v.routes[a]
}

// Upstreams returns the number of listed hosts, that is, without departed ones.
func (v *View) Upstreams() int {
	return v.upstreams
}

// addFallback adds the fallback of services without eligible hosts to v.
func (d *Directory) addFallback(now time.Time, v *View, lapsed func(u *Upstream) bool) {
	for _, u := range upstreamsOf(d.items) {
		gone := !u.DepartedAt.IsZero() && !lapsed(u)
		zone := d.items[Key{
			Kind: KindZoneOut,
			Name: u.Zone,
		}]
		if gone || u.Draining || zone != nil && !zone.Deleted || len(v.eligible[u.Service]) > 0 {
			continue
		}
		v.fallback[u.Service] = append(v.fallback[u.Service], d.coldAfterReturn(now, v, u))
	}
}

func (v *View) add(u *Upstream, lapsed func(u *Upstream) bool) {
	if other := v.byTicket[u.Ticket()]; other == nil || precedes(u, other) {
		v.byTicket[u.Ticket()] = u
	}
	if u.DepartedAt.IsZero() {
		v.upstreams++
		v.byAddress[u.Address] = u
		v.byZone[u.Zone] = append(v.byZone[u.Zone], u)
	}
	gone := !u.DepartedAt.IsZero() && !lapsed(u)
	if gone || u.Draining || v.zonesOut[u.Zone] || v.byTicket[u.Ticket()] != u {
		return
	}
	v.eligible[u.Service] = append(v.eligible[u.Service], u)
}

func (v *View) setPlan(p *Plan) {
	v.Plan = p
	for i := range p.Routes {
		v.routes[p.Routes[i].Address] = &p.Routes[i]
	}
	for i := range p.Services {
		v.limits[p.Services[i].Name] = &p.Services[i]
	}
}

// upstreamsOf returns the hosts among items, sorted by precedes.
func upstreamsOf(items map[Key]*Item) []*Upstream {
	hosts := make([]*Upstream, 0, len(items))
	for _, i := range items {
		if i.Upstream != nil {
			hosts = append(hosts, i.Upstream)
		}
	}
	slices.SortFunc(hosts, func(a, b *Upstream) int {
		if precedes(a, b) {
			return -1
		}
		return 1
	})
	return hosts
}

// precedes reports whether a keeps the ticket if both hosts have the same: listed hosts
// precede departed ones, then older hosts younger ones. The other host gets no new
// flows.
func precedes(a, b *Upstream) bool {
	if a.DepartedAt.IsZero() != b.DepartedAt.IsZero() {
		return a.DepartedAt.IsZero()
	}
	if !a.StartedAt.Equal(b.StartedAt) {
		return a.StartedAt.Before(b.StartedAt)
	}
	return a.ID < b.ID
}

// coldAfterReturn returns u, marked as cold if its zone was put back into service less
// than ReturnGracePeriod ago and u's service limits cold hosts.
func (d *Directory) coldAfterReturn(now time.Time, v *View, u *Upstream) *Upstream {
	returnedAt, ok := d.returnedZones[u.Zone]
	if !ok || now.Sub(returnedAt) >= ReturnGracePeriod {
		return u
	}
	limits := v.limits[u.Service]
	if limits == nil || limits.WarmupPerSecond == 0 {
		return u
	}
	until := returnedAt.Add(ReturnGracePeriod)
	if !u.WarmAt.Before(until) {
		return u
	}
	cold := *u
	cold.WarmAt = until
	return &cold
}
