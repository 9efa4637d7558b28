package upstream

import "time"

// A hold is a period in which a limiter admits no requests or few watches.
type hold struct {
	// pending is the length of a hold that has not started, or zero.
	pending time.Duration
	until   time.Time
}

// active reports whether the hold is in force at now.
func (h *hold) active(now time.Time) bool {
	h.start(now)
	return now.Before(h.until)
}

// startOnUse makes a hold of length d start with the first use.
func (h *hold) startOnUse(d time.Duration) {
	h.pending = d
}

// start starts a pending hold.
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
