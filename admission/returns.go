package admission

import "time"

const (
	// returnsSize is the number of callers whose refusals are remembered; a power of two.
	// A caller that takes the place of another only makes a return look like a new request.
	returnsSize = 2048
	// returnWindow is the time within which a refused client comes back: clients open a
	// new flow within about 10 ms, plus a round trip between zones and some delay of a
	// small VM.
	returnWindow = 50 * time.Millisecond
)

// An attempt says which try of a client a request is.
type attempt uint8

const (
	attemptFirst attempt = iota
	attemptReturned
	attemptAgain // returned more than once
)

// returns remembers which callers were refused a moment ago. It takes 48 kB.
type returns struct {
	entries [returnsSize]refusal
}

// A refusal counts the refused requests of one caller that haven't come back yet.
type refusal struct {
	key   uint64
	until int64 // in Unix nanoseconds
	// first counts refused first attempts, later those of clients that had returned.
	first, later uint16
}

// add records a refused request.
func (r *returns) add(now time.Time, key uint64, a attempt) {
	e := r.entry(key)
	t := now.UnixNano()
	if e.key != key || e.until < t {
		*e = refusal{key: key}
	}
	e.until = t + int64(returnWindow)
	switch {
	case a == attemptFirst && e.first < 1<<16-1:
		e.first++
	case a == attemptReturned && e.later < 1<<16-1:
		e.later++
	}
}

// entry returns the place of a key, which may hold another one.
func (r *returns) entry(key uint64) *refusal {
	return &r.entries[key%returnsSize]
}

// take returns which attempt an arriving request is, and counts its refusal as returned.
func (r *returns) take(now time.Time, key uint64) attempt {
	e := r.entry(key)
	if e.key != key || e.until < now.UnixNano() {
		return attemptFirst
	}
	switch {
	case e.first > 0:
		e.first--
		return attemptReturned
	case e.later > 0:
		e.later--
		return attemptAgain
	}
	return attemptFirst
}
