package upstream

import "time"

// A hold is a time in which all slots count as taken.
type hold struct {
	// pending is a hold that has not begun; zero where there is none.
	pending time.Duration
	until   time.Time
}

// active reports whether the hold is in force at now.
func (h *hold) active(now time.Time) bool {
	h.start(now)
	return now.Before(h.until)
}

// startOnUse begins a hold with the first use.
func (h *hold) startOnUse(d time.Duration) {
	h.pending = d
}

// start starts a hold that is pending.
func (h *hold) start(now time.Time) {
	if h.pending > 0 {
		h.extend(now, h.pending)
		h.pending = 0
	}
}

func (h *hold) extend(now time.Time, d time.Duration) {
	if end := now.Add(d); end.After(h.until) {
		h.until = end
	}
}
