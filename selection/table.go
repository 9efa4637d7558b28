// Package selection chooses the host that gets a new flow, by weights that many balancers
// compute from the same knowledge of load without choosing the same host.
package selection

import (
	"math"
	"slices"

	"filbertworks.example/filbertworks/rendezvous"
)

const (
	// maxDraws bounds the draws of one choice, refused ones included.
	maxDraws = 8

	// leastShare is the share of new flows that is spread by capacity alone, so that a host
	// without room still gets enough work to show when it has recovered.
	leastShare = 0.05

	// mostShare bounds a host's share of the new flows that go by room, relative to its share
	// by capacity. A host that has just come is empty, and what fills it to the level of the
	// others within a digest is more than it can work on: flows bring their first requests at
	// once.
	mostShare = 2

	// boundSteps is the number of bisections that find the level of bounded rooms.
	boundSteps = 24

	// maxValue bounds loads and capacities, so that sums and products stay finite.
	maxValue = 1e12

	// minCapacity is the least capacity that counts; less is taken as 0. It keeps the load
	// per capacity finite.
	minCapacity = 1e-9

	// increment separates the draws of one hash (the increment of SplitMix64).
	increment = 0x9e3779b97f4a7c15
)

// A Host is one choice of a table. Load and Capacity have the same unit.
type Host struct {
	// Load is in weighted flows and requests. A negative load is taken as 0; one that is
	// NaN or infinite is taken as a host without room.
	Load float64
	// Capacity is the load that the host handles well. A capacity that is negative, NaN or
	// infinite is taken as 0.
	Capacity float64
}

// A fill is the load of one host per capacity.
type fill struct {
	level    float64
	load     float64
	capacity float64
}

// A Table holds the weights of the hosts of one list. The zero value is an empty table.
// It is not safe for concurrent use.
type Table struct {
	capacities []float64
	cumulative []float64 // sums of weights; a host's weight is the step at its index
	rooms      []float64 // load expected to arrive at each host
	bounded    []float64 // rooms, each bounded by mostShare
	fills      []fill
	last       int // last host with a weight
}

// Pick returns the index of the host that gets the flow with the given hash, or -1 if the
// table is empty or 8 draws give no accepted host. It draws two accepted hosts by weight
// and takes the one with less load per capacity, the first one if they are equal. The
// result depends only on the table, the hash and the functions.
//
// The function accept tells whether host i may get the flow; nil accepts all. The function
// load returns the load of host i as the caller knows it now, in the unit of Host.Load:
// that given to Reset and what the caller has placed since. The load that is expected to
// arrive at the host is added to it, so that two hosts differ only by what Reset did not
// know. With nil, the first accepted host is taken.
func (t *Table) Pick(hash uint64, accept func(i int) bool, load func(i int) float64) int {
	if len(t.cumulative) == 0 {
		return -1
	}
	chosen := -1
	for range maxDraws {
		hash += increment
		i := t.draw(rendezvous.Mix(hash))
		if accept != nil && !accept(i) {
			continue
		}
		if chosen < 0 {
			if load == nil {
				return i
			}
			chosen = i
			continue
		}
		if i != chosen && t.expected(i, load(i)) < t.expected(chosen, load(chosen)) {
			chosen = i
		}
		break
	}
	return chosen
}

// Reset computes the weights of a list of hosts and reuses the table's memory. The argument
// arriving is the load expected from all balancers until they know of it by a later digest,
// in the unit of Host.Load. The weight of a host is its room below the level at which the
// room of all hosts equals arriving, except for a share of 0.05 that is spread by capacity. The
// share of a host by its room is at most twice that by its capacity.
//
// Hosts without capacity get nothing, unless no host has any: then all count alike. Without
// a positive number in arriving, hosts are weighted by capacity alone.
func (t *Table) Reset(hosts []Host, arriving float64) {
	t.capacities = t.capacities[:0]
	t.cumulative = t.cumulative[:0]
	t.rooms = t.rooms[:0]
	t.fills = t.fills[:0]
	t.last = 0
	if len(hosts) == 0 {
		return
	}
	total := 0.0
	for i := range hosts {
		c := validCapacity(hosts[i].Capacity)
		t.capacities = append(t.capacities, c)
		total += c
	}
	if total == 0 {
		for i := range t.capacities {
			t.capacities[i] = 1
		}
		total = float64(len(hosts))
	}
	level := math.Inf(1)
	if arriving > 0 && arriving <= maxValue {
		level = t.level(hosts, arriving)
	}
	t.rooms = t.fillTo(t.rooms[:0], hosts, level, math.Inf(1))
	t.bounded = append(t.bounded[:0], t.rooms...)
	if most := mostShare * arriving / total; slices.ContainsFunc(t.fills, func(f fill) bool { return level-f.level > most }) {
		t.fillBounded(hosts, level, arriving, most)
	}
	all := sum(t.bounded)
	weights := 0.0
	for i, c := range t.capacities {
		weight := c / total
		// An arriving load far below the others is lost by rounding, and no room is left.
		if all > 0 {
			weight = (1-leastShare)*t.bounded[i]/all + leastShare*weight
		}
		if c > 0 {
			t.last = i
		}
		weights += weight
		t.cumulative = append(t.cumulative, weights)
	}
}

// fillTo appends the rooms of the hosts below a level to buffer, each most per capacity at the most.
func (t *Table) fillTo(buffer []float64, hosts []Host, level, most float64) []float64 {
	for i, c := range t.capacities {
		room := 0.0
		if !math.IsInf(level, 1) {
			room = min(max(0, level*c-validLoad(hosts[i].Load)), most*c)
		}
		buffer = append(buffer, room)
	}
	return buffer
}

// sum returns the sum of values.
func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// fillBounded raises the level until the bounded rooms have place for what arrives.
func (t *Table) fillBounded(hosts []Host, level, arriving, most float64) {
	high := level
	for i := range t.fills {
		if l := t.fills[i]; l.load < maxValue {
			high = max(high, l.level)
		}
	}
	high += most
	for range boundSteps {
		middle := (level + high) / 2
		t.bounded = t.fillTo(t.bounded[:0], hosts, middle, most)
		if sum(t.bounded) < arriving {
			level = middle
		} else {
			high = middle
		}
	}
	t.bounded = t.fillTo(t.bounded[:0], hosts, high, most)
}

// draw returns the host at the given point of the cumulative weights.
func (t *Table) draw(point uint64) int {
	r := float64(point>>11) / (1 << 53) * t.cumulative[len(t.cumulative)-1]
	low, high := 0, len(t.cumulative)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if t.cumulative[middle] > r {
			high = middle
		} else {
			low = middle + 1
		}
	}
	// The product may be rounded up to the sum of all weights.
	return min(low, t.last)
}

// expected returns the load per capacity of host i once its share of the load that is to
// arrive has been placed. Loads alone would be compared twice, by the weights and by the
// choice, and the emptiest hosts would get too much.
func (t *Table) expected(i int, load float64) float64 {
	return (validLoad(load) + t.rooms[i]) / t.capacities[i]
}

// level returns the load per capacity at which the room of all hosts equals arriving.
func (t *Table) level(hosts []Host, arriving float64) float64 {
	for i, c := range t.capacities {
		if c == 0 {
			continue
		}
		l := validLoad(hosts[i].Load)
		t.fills = append(t.fills, fill{
			level:    l / c,
			load:     l,
			capacity: c,
		})
	}
	slices.SortFunc(t.fills, func(a, b fill) int {
		switch {
		case a.level < b.level:
			return -1
		case a.level > b.level:
			return 1
		}
		return 0
	})
	// The hosts up to the n-th are below the level if the level that they reach together
	// is not above the next host's.
	load, capacity := arriving, 0.0
	level := math.Inf(1)
	for i := range t.fills {
		if t.fills[i].level >= level {
			break
		}
		load += t.fills[i].load
		capacity += t.fills[i].capacity
		level = load / capacity
	}
	return level
}

func validCapacity(c float64) float64 {
	if !(c >= minCapacity) || math.IsInf(c, 1) {
		return 0
	}
	return min(c, maxValue)
}

func validLoad(l float64) float64 {
	if math.IsNaN(l) {
		return maxValue
	}
	return min(max(l, 0), maxValue)
}
