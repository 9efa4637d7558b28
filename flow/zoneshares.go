package flow

import (
	"cmp"
	"math"
	"slices"
	"time"

	"filbertworks.example/filbertworks/admission"
	"filbertworks.example/filbertworks/load"
)

// A priorityClass is the new flows of one priority.
type priorityClass struct {
	priority int
	// arrived counts recent new flows. work is the time that the hosts take for their first
	// requests, and openWork that for recent requests on open flows to hosts of the own zone,
	// in seconds, as far as the usual answer times are known. All halve each classHalfLife.
	arrived  float64
	work     float64
	openWork float64
	// own is the share of the new flows that go to the own zone, and others are those that go
	// to the other zones. The rest has no room.
	own    float64
	others []float64
}

// total returns the share of the new flows that there is room for.
func (c *priorityClass) total() float64 {
	sum := c.own
	for _, o := range c.others {
		sum += o
	}
	return sum
}

// classHalfLife is the time in which the count of a priority's new flows halves.
const classHalfLife = time.Second

// minClassShare is the share of a service's new flows below which a priority is not taken for
// the service's most urgent one: a few flows of a rare route would make all others less urgent.
const minClassShare = 0.02

// count updates the rates of new flows.
func (l *serviceLoad) count(now time.Time) {
	elapsed := now.Sub(l.countedAt)
	if !l.countedAt.IsZero() && elapsed < loadRefreshInterval {
		return
	}
	if !l.countedAt.IsZero() {
		weight := min(elapsed.Seconds()/digestHorizon.Seconds(), 1)
		l.rate += weight * (float64(l.placed)/elapsed.Seconds() - l.rate)
		decay := math.Exp2(-elapsed.Seconds() / classHalfLife.Seconds())
		for i := range l.classes {
			c := &l.classes[i]
			c.arrived *= decay
			c.work *= decay
			c.openWork *= decay
		}
	}
	l.placed, l.countedAt = 0, now
}

// class returns the class of a priority, which is created if there is none.
func (l *serviceLoad) class(priority int) *priorityClass {
	i := l.classIndex(priority)
	if i < 0 {
		l.classes = append(l.classes, priorityClass{
			priority: priority,
			own:      1,
		})
		i = len(l.classes) - 1
	}
	return &l.classes[i]
}

// priorities returns the priorities that make up the service's recent new flows.
func (l *serviceLoad) priorities() []int {
	sum := 0.0
	for i := range l.classes {
		sum += l.classes[i].arrived
	}
	priorities := make([]int, 0, len(l.classes))
	for i := range l.classes {
		if c := &l.classes[i]; c.arrived >= minClassShare*sum {
			priorities = append(priorities, c.priority)
		}
	}
	return priorities
}

// assignShares works out which share of each priority's new flows goes to which zone. What the
// own zone has no room for goes to the others, as far as these have. While all hosts are cold or
// avoided, their capacity is unknown: cold hosts have their own limit.
func (l *serviceLoad) assignShares(now time.Time, f *Forwarder) {
	slices.SortFunc(l.classes, func(a, b priorityClass) int { return cmp.Compare(a.priority, b.priority) })
	// zoneRate turns a decaying count of this balancer into the zone's rate per second.
	zoneRate := float64(max(f.sharing.balancers, 1)) * math.Ln2 / classHalfLife.Seconds()
	slots := zoneRate * f.usualTime(l).Seconds()
	l.boundGive(slots)
	demands := make([]admission.Demand, 0, len(l.classes))
	for i := range l.classes {
		c := &l.classes[i]
		demands = append(demands, admission.Demand{
			Priority: c.priority,
			Open:     c.openWork * zoneRate,
			New:      (1 - l.give) * c.work * zoneRate,
		})
	}
	priorities := l.priorities()
	full := admission.SharesFor(l.own.limited, l.own.limit, priorities)
	l.own.shares = l.damper.Damp(now, full, priorities)
	if l.own.load.Working >= l.own.load.Capacity {
		// Rates are this balancer's, extrapolated: they count only while the hosts are busy. Usual
		// answer times include the clients' round trip, so that the hosts bear more than these add
		// up to.
		l.own.shares = l.own.shares.Min(admission.Fit(load.SpareFactor*l.own.load.Capacity, demands))
	}
	for i := range l.classes {
		c := &l.classes[i]
		l.assignClass(c, c.arrived*slots, f.sharing.options.Spill)
	}
}

// boundGive reduces the share of new flows that go to other zones to that which these have free
// slots for. The rest stays: taken from all priorities alike, it would be refused although the own
// zone has room for the urgent ones. The argument slots is the work of one flow.
func (l *serviceLoad) boundGive(slots float64) {
	if l.give == 0 {
		return
	}
	demand := 0.0
	for i := range l.classes {
		demand += l.classes[i].arrived * slots
	}
	bounded := 0.0
	for i := range l.others {
		part, free := l.give*l.weights[i], l.others[i].free
		switch {
		case free <= 0:
			part = 0
		case part*demand > free:
			part = free / demand
		}
		l.weights[i] = part
		bounded += part
	}
	l.give = bounded
	for i := range l.weights {
		if bounded > 0 {
			l.weights[i] /= bounded
		}
	}
}

// assignClass works out where the new flows of one priority go. The argument demand is the number
// of slots that the first requests of the zone's new flows take. Another zone gets no more of them
// than it has free slots for: it tells of its load a digest later. The most urgent priority is
// served first.
func (l *serviceLoad) assignClass(c *priorityClass, demand float64, spill bool) {
	own := l.own.shares.Of(c.priority)
	if part := (1 - l.give) * demand; part > 0 {
		own = max(own, min(l.own.free/part, 1))
		l.own.free = max(l.own.free-own*part, 0)
	}
	c.own = (1 - l.give) * own
	c.others = slices.Grow(c.others[:0], len(l.others))[:len(l.others)]
	clear(c.others)
	if !spill {
		return
	}
	refused := (1 - l.give) * (1 - own)
	// excess is 1 if the own zone is busier than the others by far, and 0 if it is not: zones
	// that are equally full would only exchange their flows.
	excess := min(giveGain*l.give, 1)
	room := 0.0
	for i := range l.others {
		room += l.others[i].free
	}
	for i := range l.others {
		z := &l.others[i]
		if l.give > 0 {
			c.others[i] = l.give * l.weights[i]
		}
		if room > 0 {
			c.others[i] += refused * excess * z.free / room
		}
		if c.others[i]*demand > z.free {
			c.others[i] = z.free / demand
		}
		z.free -= c.others[i] * demand
	}
}
