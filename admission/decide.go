package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// standingPart and returnedPart are the parts of MaxWait that a first attempt and a
	// client's first return may wait once pressure has lasted for MaxWait: a queue that
	// stands for longer than a burst only delays what goes anyway. A return may wait
	// longer than a first attempt, so that not all refused clients come back at once.
	standingPart = 8
	returnedPart = 4
)

// A victim is a waiting request that may be replaced.
type victim struct {
	class, index int
}

// allowedWait returns how long a request may be expected to wait.
func (q *Queue[K]) allowedWait(now time.Time, c *class[K], a attempt, maxWait time.Duration) time.Duration {
	switch {
	case now.Sub(c.pressedSince) < maxWait:
		return maxWait
	case a == attemptReturned:
		return maxWait / returnedPart
	}
	return maxWait / standingPart
}

// best returns the index of the waiting request that goes next: that of the caller with the
// fewest recent admissions, then the oldest. The queue of the class must not be empty.
func (q *Queue[K]) best(c *class[K]) (index int, count uint32) {
	if !q.short {
		return 0, 0
	}
	count = math.MaxUint32
	for i := range c.waiting {
		if n := q.sketch.count(c.waiting[i].key); n < count {
			index, count = i, n
		}
	}
	return index, count
}

// decide returns the verdict on a request that doesn't wait yet.
func (q *Queue[K]) decide(now time.Time, c *class[K], w *waiter[K], maxWait time.Duration) Verdict {
	if c.share == 1 {
		return Admit
	}
	if q.sketch.excessive(w.key) {
		if c.tokens < 1+reservedTokens {
			return Reject
		}
		c.tokens--
		return Admit
	}
	count := q.sketch.count(w.key)
	for c.tokens >= 1 {
		c.tokens--
		if len(c.waiting) == 0 {
			return Admit
		}
		i, fewest := q.best(c)
		if count < fewest {
			return Admit
		}
		q.settle(now, c, i, Admit)
	}
	c.press(now)
	if q.expectedWait(now, c, count) > q.allowedWait(now, c, w.attempt, maxWait) || !q.makeRoom(now, c, w.size, count) {
		return Reject
	}
	return Wait
}

// expectedWait returns how long a request of a caller with count admissions would wait at
// the current rate.
func (q *Queue[K]) expectedWait(now time.Time, c *class[K], count uint32) time.Duration {
	missing := 1 - c.tokens
	for i := range c.waiting {
		if q.sketch.count(c.waiting[i].key) <= count {
			missing++
		}
	}
	seconds := missing / (c.earning() * c.rate(now))
	if !(seconds < math.MaxInt32) {
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}

// makeRoom reports whether a request may wait. If the queue is full, it replaces requests of
// less urgent priorities, then those of its own of callers with more admissions.
func (q *Queue[K]) makeRoom(now time.Time, c *class[K], size int, count uint32) bool {
	requests, bytes := len(q.waiting)+1, q.bytes+size
	if size > q.limits.MaxBytes || q.limits.MaxRequests < 1 {
		return false
	}
	q.victims = q.victims[:0]
	for requests > q.limits.MaxRequests || bytes > q.limits.MaxBytes {
		v, ok := q.victim(c, count)
		if !ok {
			return false
		}
		q.victims = append(q.victims, v)
		requests--
		bytes -= q.classes[v.class].waiting[v.index].size
	}
	// Higher indexes go first, so that the others stay valid.
	slices.SortFunc(q.victims, func(a, b victim) int { return b.index - a.index })
	for _, v := range q.victims {
		q.settle(now, q.classes[v.class], v.index, Reject)
	}
	return true
}

// refuse remembers a refused request for the time when its client comes back.
func (q *Queue[K]) refuse(now time.Time, c *class[K], w *waiter[K]) {
	if w.attempt == attemptFirst {
		c.refused++
	}
	q.returns.add(now, w.key, w.attempt)
}

// victim returns the waiting request to replace by one of class c whose caller has count
// admissions; none of those in q.victims.
func (q *Queue[K]) victim(c *class[K], count uint32) (victim, bool) {
	for i, other := range slices.Backward(q.classes) {
		if other.priority < c.priority {
			break
		}
		found, most := -1, uint32(0)
		if other == c {
			most = count + 1
		}
		for j := range other.waiting {
			v := victim{
				class: i,
				index: j,
			}
			// Of equal callers the youngest is replaced.
			if n := q.sketch.count(other.waiting[j].key); n >= most && !slices.Contains(q.victims, v) {
				found, most = j, n
			}
		}
		if found >= 0 {
			return victim{
				class: i,
				index: found,
			}, true
		}
	}
	return victim{}, false
}
