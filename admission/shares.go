package admission

import (
	"math"
	"slices"
)

// Utilization is the work in progress over the limit. A priority's share falls linearly
// from 1 at the start of its ramp to leastShare at the end.
const (
	// leastShare keeps every priority from starving.
	leastShare = 0.1
	// urgentStart and urgentEnd bound the ramp of the most urgent priority: hosts answer
	// late or refuse work from the limit on.
	urgentStart = 0.9
	urgentEnd   = 1.2
	// otherStart and otherEnd bound the ramp of the least urgent priority, which is at its
	// least share before the most urgent one is reduced at all.
	otherStart = 0.5
	otherEnd   = 0.9
)

// Shares maps a priority to the share of its arrivals that may go. The zero value lets all
// go. It is immutable.
type Shares struct {
	// reduced holds the priorities whose share is below 1, the most urgent first.
	reduced []priorityShare
}

// A priorityShare is the share of one priority.
type priorityShare struct {
	priority int
	share    float64
}

// SharesFor returns how much of each priority may go. The argument working is the number of
// requests in progress at all usable hosts, and limit that up to which they answer in time.
// Priorities may be in any order and repeat; a single one counts as the most urgent. If the
// limit isn't positive, it isn't known, and all may go. SharesFor has no state: a Queue
// damps the changes between calls.
func SharesFor(working, limit float64, priorities []int) Shares {
	utilization := working / limit
	if !(limit > 0) || math.IsNaN(utilization) || utilization <= otherStart {
		return Shares{}
	}
	sorted := slices.Clone(priorities)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	var s Shares
	for i, p := range sorted {
		position := 0.0
		if len(sorted) > 1 {
			position = float64(i) / float64(len(sorted)-1)
		}
		start := urgentStart + position*(otherStart-urgentStart)
		end := urgentEnd + position*(otherEnd-urgentEnd)
		fall := min((utilization-start)/(end-start), 1)
		if fall > 0 {
			s.reduced = append(s.reduced, priorityShare{
				priority: p,
				share:    1 - fall*(1-leastShare),
			})
		}
	}
	return s
}

// Of returns the share of a priority, between 0 and 1; 1 for a priority that is missing.
func (s Shares) Of(priority int) float64 {
	for _, r := range s.reduced {
		if r.priority == priority {
			return r.share
		}
	}
	return 1
}
