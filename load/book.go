package load

import (
	"maps"
	"time"

	"filbertworks.example/filbertworks/directory"
)

const (
	// digestLifetime is how long a digest counts.
	digestLifetime = 2 * time.Second
	// ownDelay is how long a report takes at least to become part of a digest that comes
	// here: the collector's turn and the way from balancer to balancer in a zone.
	ownDelay = 20 * time.Millisecond
	// ownReports is the number of own reports that are kept; an older one than the last
	// before ownDelay is never needed.
	ownReports = 3
	// originPreference is how long a collector's digest is preferred to that of another
	// collector which hears from less than 3/4 as many balancers: two of its intervals. A
	// collector that is cut off from some of the zone would halve the loads at every other
	// digest.
	originPreference = time.Second
	// maxOrigins is the number of collectors of a group whose sequences are kept: the two
	// collectors, and as many before them.
	maxOrigins = 4
)

// An Estimate is what a balancer knows of the load of one upstream.
type Estimate struct {
	Flows    float64 // open flows
	Working  float64 // requests in progress
	Capacity float64 // slots' worth of work; 0 if unknown or usual
	Answers  int     // answers that Capacity rests on
	Age      time.Duration
	// Known is false, and the rest zero, if there is no digest of the upstream's group of
	// the last 2 s.
	Known bool
}

// A Book is what a balancer knows of the load of its zone's upstreams and of other zones. After
// a pause of the process, a new book is needed: digests that waited look new. It is not safe
// for concurrent use.
type Book struct {
	// partitions are the groups by the number of groups, the latest first. The collectors
	// of the zone may disagree for a while on the number of hosts.
	partitions [2]partition
	zones      zoneTotals
	// own holds the last own reports, the latest first.
	own [ownReports]ownReport
}

// A partition is a division of the zone's hosts into groups.
type partition struct {
	groups []groupLoad
}

// A groupLoad is the load of one group.
type groupLoad struct {
	at        time.Time
	origin    uint64
	sequence  uint32
	balancers int
	// round counts the digests.
	round uint64
	loads map[directory.Ticket]upstreamLoad
	// origins are the collectors' last sequences.
	origins [maxOrigins]originSequence
}

type originSequence struct {
	origin   uint64
	sequence uint32
	at       time.Time
}

// An upstreamLoad is others' work at an upstream.
type upstreamLoad struct {
	round    uint64
	flows    float64
	working  float64
	capacity float64
	answers  int
}

// An ownReport is a report of this balancer.
type ownReport struct {
	sequence uint32
	at       time.Time
	expires  time.Time
	samples  map[directory.Ticket]hostSum
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{}
}

// Apply adds a digest, or a part of one. It returns false for a digest that is out of order,
// repeated or invalid, and for one of a collector that hears from much fewer balancers than
// the group's other one. Zone totals are added unless they are older than those known.
func (b *Book) Apply(now time.Time, d *Digest) bool {
	for _, z := range d.Zones {
		b.zones.add(now, z)
	}
	if d.Groups < 1 || d.Groups > maxGroups || d.Group < 0 || d.Group >= d.Groups {
		return false
	}
	g := &b.partitionOf(d.Groups).groups[d.Group]
	if !g.advance(now, d) {
		return false
	}
	own := b.ownAt(now)
	for i := range d.Totals {
		t := &d.Totals[i]
		if l, ok := g.loads[t.Ticket]; ok && l.round == g.round {
			continue
		}
		l := upstreamLoad{
			round:    g.round,
			capacity: max(t.Capacity, 0),
			answers:  max(t.Answers, 0),
		}
		o := own[t.Ticket]
		l.flows = float64(max(t.Flows-o.flows, 0))
		l.working = max(t.Working-o.working, 0)
		g.loads[t.Ticket] = l
	}
	return true
}

// Fresh reports whether the load of all groups of the zone is known.
func (b *Book) Fresh(now time.Time) bool {
	for i := range b.partitions {
		fresh := 0
		for j := range b.partitions[i].groups {
			if b.partitions[i].groups[j].fresh(now) {
				fresh++
			}
		}
		if fresh > 0 && fresh == len(b.partitions[i].groups) {
			return true
		}
	}
	return false
}

// Reported adds a report that this balancer sends, so that digests that include it can be
// told from others' work. Reports with the same sequence count together.
func (b *Book) Reported(now time.Time, r *Report) {
	o := &b.own[0]
	if o.samples == nil || o.sequence != r.Sequence {
		last := b.own[ownReports-1]
		copy(b.own[1:], b.own[:ownReports-1])
		if last.samples == nil {
			last.samples = make(map[directory.Ticket]hostSum)
		}
		clear(last.samples)
		last.sequence, last.at = r.Sequence, now
		*o = last
	}
	o.expires = now.Add(r.lifetime())
	for i := range r.Samples {
		s := &r.Samples[i]
		o.samples[s.Ticket] = hostSum{
			flows:   s.Flows,
			working: s.Working,
		}
	}
}

// Upstream returns the load of an upstream of the balancer's own zone by the flows of other
// balancers. One that is left out of its group's digest is idle, with usual capacity.
func (b *Book) Upstream(now time.Time, t directory.Ticket) Estimate {
	var latest *groupLoad
	for i := range b.partitions {
		p := &b.partitions[i]
		if len(p.groups) == 0 {
			continue
		}
		g := &p.groups[GroupOf(t, len(p.groups))]
		if g.fresh(now) && (latest == nil || g.at.After(latest.at)) {
			latest = g
		}
	}
	if latest == nil {
		return Estimate{}
	}
	l := latest.loads[t]
	return Estimate{
		Flows:    l.flows,
		Working:  l.working,
		Capacity: l.capacity,
		Answers:  l.answers,
		Age:      now.Sub(latest.at),
		Known:    true,
	}
}

// Zone returns the load of a service's hosts in a zone, summed over the zone's groups of which
// there is a total of the last second. At is that of the oldest total. It returns false if there
// is none.
func (b *Book) Zone(now time.Time, zone, service string) (ZoneTotal, bool) {
	sum, ok := ZoneTotal{
		Zone:    zone,
		Service: service,
	}, false
	first, _ := b.zones.find(zone, service, 0)
	for i := first; i < len(b.zones); i++ {
		z := &b.zones[i]
		if z.Zone != zone || z.Service != service {
			break
		}
		if z.expired(now) {
			continue
		}
		if !ok || z.At.Before(sum.At) {
			sum.At = z.At
		}
		sum.Working += z.Working
		sum.Capacity += z.Capacity
		sum.Free += z.Free
		sum.Slow = append(sum.Slow, z.Slow...)
		ok = true
	}
	return sum, ok
}

// ownAt returns the samples that a digest that comes now includes.
func (b *Book) ownAt(now time.Time) map[directory.Ticket]hostSum {
	for i := range b.own {
		o := &b.own[i]
		if o.samples != nil && now.Sub(o.at) >= ownDelay {
			if now.After(o.expires) {
				return nil
			}
			return o.samples
		}
	}
	return nil
}

// partitionOf returns the partition with a number of groups. If there is none, it replaces the
// one that was used less recently.
func (b *Book) partitionOf(groups int) *partition {
	if len(b.partitions[0].groups) != groups {
		b.partitions[0], b.partitions[1] = b.partitions[1], b.partitions[0]
	}
	if len(b.partitions[0].groups) != groups {
		b.partitions[0] = partition{groups: make([]groupLoad, groups)}
	}
	return &b.partitions[0]
}

// advance prepares the group for the totals of a digest. It returns false if the digest does
// not count.
func (g *groupLoad) advance(now time.Time, d *Digest) bool {
	if g.loads == nil {
		g.loads = make(map[directory.Ticket]upstreamLoad)
	}
	if !g.at.IsZero() && g.origin == d.Origin && g.sequence == d.Sequence {
		return d.Partial
	}
	if !g.record(now, d) {
		return false
	}
	if g.origin != d.Origin && now.Sub(g.at) < originPreference && 4*d.Balancers < 3*g.balancers {
		return false
	}
	g.round++
	if d.Partial {
		maps.DeleteFunc(g.loads, func(_ directory.Ticket, l upstreamLoad) bool { return l.round+1 < g.round })
	} else {
		clear(g.loads)
	}
	g.at, g.origin, g.sequence, g.balancers = now, d.Origin, d.Sequence, d.Balancers
	return true
}

// fresh reports whether the load of the group is known.
func (g *groupLoad) fresh(now time.Time) bool {
	return !g.at.IsZero() && now.Sub(g.at) <= digestLifetime
}

// record records the sequence of a digest. It returns false if the collector has sent a later
// one.
func (g *groupLoad) record(now time.Time, d *Digest) bool {
	oldest := &g.origins[0]
	for i := range g.origins {
		o := &g.origins[i]
		if o.origin == d.Origin && !o.at.IsZero() {
			if d.Sequence <= o.sequence {
				return false
			}
			oldest = o
			break
		}
		if o.at.Before(oldest.at) {
			oldest = o
		}
	}
	*oldest = originSequence{
		origin:   d.Origin,
		sequence: d.Sequence,
		at:       now,
	}
	return true
}
