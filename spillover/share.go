// Package spillover decides which share of a zone's new flows goes to other zones, and to
// which ones.
package spillover

import "math"

const (
	// fullLevel is the work per capacity from which a zone gives flows away. Below it, most
	// requests find a free slot, and another zone costs time and money; flows between zones
	// are lost, too, when their zones are cut off from each other. Work is measured with the
	// clients' round trip, so that slots are somewhat freer than it says.
	fullLevel = 1

	// maxValue bounds work and capacities, so that sums and products stay finite.
	maxValue = 1e12

	// minCapacity is the least capacity that counts. It keeps the work per capacity finite.
	minCapacity = 1e-9

	// usualZones is the number of other zones up to which Share does not allocate.
	usualZones = 8
)

// A Zone is the load of one zone.
type Zone struct {
	// Working is the number of requests in progress, those that wait at hosts included, so
	// it may exceed Capacity several times. A negative number is taken as 0.
	Working float64
	// Capacity is in slots' worth of work. A zone whose capacity is 0 or invalid, as one
	// that has been taken out, is taken as unknown.
	Capacity float64
	// Known tells whether the load is known and the zone may be used.
	Known bool
}

// Share returns the share of new flows that go to other zones, from 0 to below 1, and for
// each of the other zones the part of these that goes there. The parts sum up to 1 if the
// share is above 0, else all are 0.
//
// The zones are compared by a common level: the work per capacity of all known zones
// together, and at least 1. The own zone gives its excess over the level, as a share of
// its work, and zones below the level get parts in proportion to their room up to it.
func Share(own Zone, others []Zone) (give float64, weights []float64) {
	// Share is inlined, so that the array is on the caller's stack.
	var buffer [usualZones]float64
	return share(buffer[:0], own, others)
}

func share(buffer []float64, own Zone, others []Zone) (give float64, weights []float64) {
	if len(others) > cap(buffer) {
		buffer = make([]float64, len(others))
	}
	weights = buffer[:len(others)]
	clear(weights)
	if !own.usable() {
		return 0, weights
	}
	working, capacity := own.working(), own.Capacity
	for i := range others {
		if others[i].usable() {
			working += others[i].working()
			capacity += others[i].Capacity
		}
	}
	level := max(fullLevel, working/capacity)
	excess := own.working()/own.Capacity - level
	if excess <= 0 {
		return 0, weights
	}
	room := 0.0
	for i := range others {
		if others[i].usable() {
			weights[i] = max(0, level*others[i].Capacity-others[i].working())
			room += weights[i]
		}
	}
	if room <= 0 {
		return 0, weights
	}
	for i := range weights {
		weights[i] /= room
	}
	// This share of the flows brings the zone down to the level, as its work is in proportion
	// to them. With a steeper rise, the share jumps between 0 and 1, since a queue grows by
	// several capacities before a digest shows what was given. The excess of all zones is never
	// more than the room of all, as the level is at least the mean.
	return excess / (level + excess), weights
}

// usable tells whether the load of a zone is a valid basis for a decision.
func (z *Zone) usable() bool {
	return z.Known && z.Capacity >= minCapacity && z.Capacity <= maxValue && !math.IsNaN(z.Working)
}

func (z *Zone) working() float64 {
	return min(max(z.Working, 0), maxValue)
}
