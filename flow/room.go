package flow

import (
	"cmp"
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

// A ZoneRoom is what a forwarder knows of the room of one zone for one service.
type ZoneRoom struct {
	Service string
	Zone    string
	// Working is the number of requests in progress, and Capacity the number of requests
	// that the upstreams take at once.
	Working  float64
	Capacity float64
	// Free is the number of requests that upstreams with few in progress take beyond those.
	Free float64
	// Known reports whether the zone's load is known. Without it, Working, Capacity, Free and
	// Age are zero.
	Known bool
	// Share is the share of this balancer's new flows that goes there. The shares of a service's
	// zones sum up to less than 1 if there is no room for all.
	Share float64
	// Age is the time since the load was summed.
	Age time.Duration
}

// LoadKnown reports whether the load of the own zone's upstreams is known.
func (f *Forwarder) LoadKnown(now time.Time) bool {
	return f.sharing != nil && f.sharing.book.Fresh(now)
}

// Rooms returns what is known of the room of all zones, ordered by service and zone. It is empty
// while the load of the own zone is unknown, and lacks services that got no new flow yet.
func (f *Forwarder) Rooms(now time.Time, v *directory.View) []ZoneRoom {
	if !f.LoadKnown(now) {
		return nil
	}
	var rooms []ZoneRoom
	for _, l := range f.sharing.services {
		l.refresh(now, v, f)
		rooms = append(rooms, l.rooms(now)...)
	}
	slices.SortFunc(rooms, func(a, b ZoneRoom) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return rooms
}

// An UpstreamLoad is what a forwarder knows of the load of one upstream of its zone.
type UpstreamLoad struct {
	Upstream *directory.Upstream
	// Flows is the number of open flows, and Working that of requests in progress, by all
	// balancers; without a digest, by this balancer alone.
	Flows   float64
	Working float64
	// Capacity is the number of slots' worth of work that the upstream was found to take; zero
	// if that is unknown or as many as its slots.
	Capacity float64
	// Answers is the number of answers that Capacity rests on.
	Answers int
	// Avoided reports whether new flows avoid the upstream as it is silent or behind with its
	// work; it counts for nothing in its zone's capacity meanwhile.
	Avoided bool
	// Known reports whether there is a fresh digest of the upstream's group, and Age is the time
	// since that digest came.
	Known bool
	Age   time.Duration
}

// UpstreamLoads returns what is known of the load of the own zone's upstreams, in the order of the
// view. It is empty if load is not shared.
func (f *Forwarder) UpstreamLoads(now time.Time, v *directory.View) []UpstreamLoad {
	if f.sharing == nil {
		return nil
	}
	upstreams := v.InZone(f.zone)
	loads := make([]UpstreamLoad, 0, len(upstreams))
	for _, u := range upstreams {
		t := u.Ticket()
		e := f.sharing.book.Upstream(now, t)
		l := UpstreamLoad{
			Upstream: u,
			Flows:    e.Flows,
			Working:  e.Working,
			Capacity: e.Capacity,
			Answers:  e.Answers,
			Known:    e.Known,
			Age:      e.Age,
		}
		if h := f.health[t]; h != nil {
			l.Flows += float64(h.load.Flows)
			l.Working += float64(h.load.ActiveRequests)
			l.Avoided = h.avoided(now)
		}
		loads = append(loads, l)
	}
	return loads
}

// held returns the decision on a first packet that waits.
func (l *serviceLoad) held(now time.Time, priority int) Decision {
	return Decision{
		Action:  Hold,
		Reason:  ReasonWaiting,
		Service: l.name,
		Room:    l.roomFor(now, priority),
	}
}

// roomFor returns the room that new flows of a priority are decided by.
func (l *serviceLoad) roomFor(now time.Time, priority int) Room {
	r := Room{
		Known:    l.own.load.Known,
		Priority: priority,
		Working:  l.own.limited,
		Capacity: l.own.load.Capacity,
		Limit:    l.own.limit,
		Share:    1,
	}
	if !l.own.at.IsZero() {
		r.Age = now.Sub(l.own.at)
	}
	if i := l.classIndex(priority); i >= 0 {
		r.Share = l.classes[i].total()
	}
	return r
}

// shareOf returns the share of a priority's new flows that goes to another zone.
func (l *serviceLoad) shareOf(priority int, z *zoneHosts) float64 {
	i := l.classIndex(priority)
	if i < 0 {
		return 0
	}
	for j := range l.others {
		if &l.others[j] == z && j < len(l.classes[i].others) {
			return l.classes[i].others[j]
		}
	}
	return 0
}

// classIndex returns the index of a priority's class, or -1.
func (l *serviceLoad) classIndex(priority int) int {
	return slices.IndexFunc(l.classes, func(c priorityClass) bool { return c.priority == priority })
}

// rooms returns what is known of the room of each zone.
func (l *serviceLoad) rooms(now time.Time) []ZoneRoom {
	rooms := make([]ZoneRoom, 0, 1+len(l.others))
	rooms = append(rooms, l.own.describe(now, l.name, l.own.free))
	for i := range l.others {
		rooms = append(rooms, l.others[i].describe(now, l.name, l.others[i].told.Free))
	}
	arrived := 0.0
	for i := range l.classes {
		arrived += l.classes[i].arrived
	}
	if arrived == 0 {
		rooms[0].Share = 1
		return rooms
	}
	for i := range l.classes {
		c := &l.classes[i]
		part := c.arrived / arrived
		rooms[0].Share += part * c.own
		for j, share := range c.others {
			rooms[1+j].Share += part * share
		}
	}
	return rooms
}

// describe returns what is known of the zone's room.
func (z *zoneHosts) describe(now time.Time, service string, free float64) ZoneRoom {
	if !z.load.Known {
		return ZoneRoom{
			Service: service,
			Zone:    z.zone,
		}
	}
	return ZoneRoom{
		Service:  service,
		Zone:     z.zone,
		Working:  z.load.Working,
		Capacity: z.load.Capacity,
		Free:     free,
		Known:    true,
		Age:      now.Sub(z.at),
	}
}
