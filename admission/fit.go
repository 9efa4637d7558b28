package admission

// A Demand is the work that the requests of one priority bring.
type Demand struct {
	Priority int
	// Open is the work of requests that can't be held back, on flows that are open, in slots.
	Open float64
	// New is the work of the requests that ask for admission, in slots.
	New float64
}

// Fit returns the share of each demand's new work that fits into a capacity, in slots. Demands are
// ordered by priority, the most urgent first; work that is less urgent takes no room from them. No
// share is below the least one. Fit needs no time to settle, as it goes by rates: the hosts' work
// shows only that they are full, not by how much. If the capacity isn't positive, it isn't known, and
// all may go, as with SharesFor.
func Fit(capacity float64, demands []Demand) Shares {
	var s Shares
	if !(capacity > 0) {
		return s
	}
	room := capacity
	for _, d := range demands {
		room -= d.Open
		if d.New > 0 && d.New > room {
			s = s.With(d.Priority, max(room/d.New, leastShare))
		}
		room -= d.New
	}
	return s
}

// Min returns the lower one of two shares of each priority.
func (s Shares) Min(other Shares) Shares {
	for _, r := range other.reduced {
		if r.share < s.Of(r.priority) {
			s = s.With(r.priority, r.share)
		}
	}
	return s
}
