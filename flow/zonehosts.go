package flow

import (
	"math"
	"slices"
	"time"

	"filbertworks.example/filbertworks/admission"
	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
	"filbertworks.example/filbertworks/selection"
	"filbertworks.example/filbertworks/spillover"
)

// zoneHosts are the hosts of a service in one zone that new flows may go to.
type zoneHosts struct {
	zone string
	load spillover.Zone
	// shares is how much of each priority's new flows the hosts have room for.
	shares admission.Shares
	// free is the capacity that is not in use at the hosts that have some. The load's Working
	// may exceed its Capacity meanwhile, as other hosts have more work than they take.
	free float64
	// limited is the number of requests in progress of the own zone's hosts, each counted up to
	// what it answers in time: a slow host's queue takes nothing from the others.
	limited float64
	// at is when the load was summed that the rest is worked out from; for the own zone that of
	// the oldest digest.
	at time.Time
	// limit is the number of requests in progress up to which the own zone's hosts answer in time.
	limit float64
	// told is the load as it was last told of, and given counts the flows that this balancer has
	// opened there since.
	told  load.ZoneTotal
	given int
	hosts []*directory.Upstream
	// perFlow is the mean number of requests in progress per open flow.
	perFlow float64
	table   selection.Table
	scratch []selection.Host
}

func (z *zoneHosts) reset(zone string) {
	z.zone = zone
	z.hosts, z.scratch = z.hosts[:0], z.scratch[:0]
	z.load = spillover.Zone{}
}

// refreshOwn works out the load of the own zone's hosts, to which this balancer opens a number of
// flows a second.
func (z *zoneHosts) refreshOwn(now time.Time, f *Forwarder, rate, factor float64) {
	z.load.Known = true
	z.free, z.limited, z.at = 0, 0, now
	var flows, weighted float64
	var active, reported float64
	others := float64(max(f.sharing.balancers-1, 0))
	for _, u := range z.hosts {
		t := u.Ticket()
		e, h := f.sharing.book.Upstream(now, t), f.healthOfTicket(t)
		c := e.Capacity
		if c <= 0 {
			c = float64(max(u.Slots, 1))
		}
		if at := now.Add(-e.Age); e.Known && at.Before(z.at) {
			z.at = at
		}
		active += float64(h.load.ActiveRequests)
		reported += h.reported[1]
		working := e.Working + float64(h.load.ActiveRequests)
		hostFlows := e.Flows + float64(h.load.Flows)
		z.load.Working += min(working, maxQueueFactor*c)
		if u.Cold(now) {
			c *= coldCapacity
		}
		if !h.avoided(now) {
			z.load.Capacity += c
			z.free += max(load.SpareFactor*c-working, 0)
			z.limited += min(working, factor*c)
		}
		z.scratch = append(z.scratch, selection.Host{
			Load:     hostFlows + workingWeight*working,
			Capacity: c,
		})
		flows += hostFlows
		weighted += hostFlows + workingWeight*working
	}
	z.limit = z.load.Capacity * factor
	grown := others * growth(reported, active)
	f.sharing.grew = f.sharing.grew || grown > 0
	z.load.Working += grown
	z.limited += grown
	z.free = max(z.free-grown, 0)
	perFlow := 1.0
	z.perFlow = 0
	if flows > 0 {
		perFlow = max(weighted/flows, 1)
		z.perFlow = min(z.load.Working/flows, 1)
	}
	z.table.Reset(z.scratch, rate*(others+1)*digestHorizon.Seconds()*perFlow)
}

// growth returns by how much a number of requests has grown beyond chance since the report that
// the last digest is made from. Routers spread flows evenly, so that the other balancers see the
// same growth, before a digest tells of it.
func growth(reported, active float64) float64 {
	const deviations = 3
	return max(active-reported-deviations*math.Sqrt(reported+1), 0)
}

// refreshOther works out the load of another zone's hosts. Only the zone's sum is known, and what
// this balancer sees of each host.
func (z *zoneHosts) refreshOther(now time.Time, f *Forwarder, service string, perFlow float64) {
	told, known := f.sharing.book.Zone(now, z.zone, service)
	if !told.At.Equal(z.told.At) {
		z.given = 0
	}
	z.told = told
	// The other balancers of the own zone have given as many.
	given := float64(z.given*max(f.sharing.balancers, 1)) * perFlow
	z.free, z.at = max(told.Free-given, 0), told.At
	z.load = spillover.Zone{
		Working:  max(told.Capacity-z.free/load.SpareFactor, 0),
		Capacity: told.Capacity,
		Known:    known,
	}
	for _, u := range z.hosts {
		c := float64(max(u.Slots, 1))
		if i := slices.IndexFunc(told.Slow, func(h load.SlowHost) bool { return h.Ticket == u.Ticket() }); i >= 0 {
			c = told.Slow[i].Capacity
		}
		z.scratch = append(z.scratch, selection.Host{
			Load:     f.weightedLoad(u),
			Capacity: c,
		})
	}
	z.table.Reset(z.scratch, 0)
}

// weightedLoad returns the load of an upstream as this balancer sees it.
func (f *Forwarder) weightedLoad(u *directory.Upstream) float64 {
	l := f.healthOf(u).load
	return float64(l.Flows + workingWeight*l.ActiveRequests)
}
