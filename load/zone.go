package load

import (
	"cmp"
	"slices"
	"time"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
)

// zoneTotalLifetime is how long a zone total counts: an excess must not go on to a zone that
// is full or cut off.
const zoneTotalLifetime = time.Second

// SpareFactor is the number of requests in progress per slot up to which a host takes more of
// them: a request then waits for half the time of another one on average.
const SpareFactor = 1.5

// maxSlowHosts bounds the slow hosts in a zone total, which is sent to other zones.
const maxSlowHosts = 32

// slowCapacity is the capacity per slot below which a host is slow.
const slowCapacity = 0.75

// A SlowHost is a host that takes much less than its slots.
type SlowHost struct {
	Ticket   directory.Ticket
	Capacity float64 // slots' worth of work
}

// A ZoneTotal is the load of one service's hosts in one group of a zone.
type ZoneTotal struct {
	Zone, Service string
	Group         int
	Working       float64 // requests in progress
	Capacity      float64 // slots' worth of work
	// Free is the number of requests that can be added at the hosts which have fewer in
	// progress than SpareFactor times their capacity. It may be positive while Working
	// exceeds Capacity, as other hosts have more work than they take.
	Free float64
	// Slow are hosts that take much less than their slots, maxSlowHosts at most.
	Slow []SlowHost
	// At is when the load was summed, on this process's monotonic clock.
	At time.Time
}

// zoneTotals are totals by zone, service and group, in this order.
type zoneTotals []ZoneTotal

// add adds a total unless it is invalid, too old or older than the one that is known.
func (z *zoneTotals) add(now time.Time, t ZoneTotal) {
	if t.At.After(now) {
		t.At = now
	}
	if !(t.Working >= 0) || !(t.Capacity >= 0) || !(t.Free >= 0) || t.expired(now) {
		return
	}
	i, found := z.find(t.Zone, t.Service, t.Group)
	if found {
		if !t.At.Before((*z)[i].At) {
			(*z)[i] = t
		}
		return
	}
	if len(*z) >= maxZoneTotals {
		z.prune(now)
		i, _ = z.find(t.Zone, t.Service, t.Group)
	}
	if len(*z) < maxZoneTotals {
		*z = slices.Insert(*z, i, t)
	}
}

// find returns the index of a total, or of where it would be.
func (z *zoneTotals) find(zone, service string, group int) (int, bool) {
	return slices.BinarySearchFunc(*z, ZoneTotal{
		Zone:    zone,
		Service: service,
		Group:   group,
	}, compareZoneTotals)
}

// prune removes expired totals.
func (z *zoneTotals) prune(now time.Time) {
	*z = slices.DeleteFunc(*z, func(t ZoneTotal) bool { return t.expired(now) })
}

func (t *ZoneTotal) expired(now time.Time) bool {
	return now.Sub(t.At) > zoneTotalLifetime
}

func compareZoneTotals(a, b ZoneTotal) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Group, b.Group))
}

// addSlow adds a host if it is slow.
func (t *ZoneTotal) addSlow(u *directory.Upstream, e *capacity.Estimate) {
	if e.Known && e.Capacity < slowCapacity*float64(u.Slots) && len(t.Slow) < maxSlowHosts {
		t.Slow = append(t.Slow, SlowHost{
			Ticket:   u.Ticket(),
			Capacity: e.Capacity,
		})
	}
}
