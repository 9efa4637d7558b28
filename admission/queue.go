// Package admission decides which first packets of flows go to a host, wait at the balancer
// or are refused while no host has room.
package admission

import (
	"net/netip"
	"slices"
	"time"
)

// sharesLifetime is how long shares count without news: as long as a digest does. Without
// knowledge of the hosts all may go.
const sharesLifetime = 2 * time.Second

// fullShare is taken for 1.
const fullShare = 0.97

// A Request is one first packet that asks for admission.
type Request[K comparable] struct {
	ID K
	// Priority is 0 for the most urgent.
	Priority int
	// Caller is the client's address.
	Caller netip.Addr
	// Size is in bytes.
	Size int
	// MaxWait is the time after which the request is rejected if it still waits. It is
	// rejected at once if that is to be expected; if MaxWait isn't positive, it never
	// waits.
	MaxWait time.Duration
}

// A Verdict is the decision on a request.
type Verdict uint8

// Verdicts.
const (
	// Admit lets the request go to a host now.
	Admit Verdict = iota
	// Wait keeps the request; Release gives the decision on it.
	Wait
	// Reject refuses the request: no host has seen it.
	Reject
)

// A Released is a request that waits no longer.
type Released[K comparable] struct {
	ID K
	// Verdict is Admit or Reject.
	Verdict Verdict
}

// Limits bound the waiting requests of a queue.
type Limits struct {
	MaxRequests int
	// MaxBytes bounds the sum of Request.Size.
	MaxBytes int
}

// A Queue admits the first packets of one service at one balancer. Invariants: what waits is
// within the limits; every request for which Offer returned Wait appears exactly once in a
// result of Release or RejectAll, unless Remove, Clear or a copy for which Offer returned
// Reject dropped it. While all shares are 1 and nothing waits, Offer admits everything. It is
// not safe for concurrent use.
type Queue[K comparable] struct {
	limits Limits
	shares Shares
	// sharesAt is the time of the last SetShares.
	sharesAt time.Time
	// short reports whether a share in force is below 1.
	short bool
	// classes are sorted by priority.
	classes []*class[K]
	// waiting holds the priority of each waiting request.
	waiting map[K]int
	bytes   int
	sketch  sketch
	returns returns
	// decided holds decisions for the next Release, the first of which fell at decidedAt.
	decided, spare []Released[K]
	decidedAt      time.Time
	// victims is scratch memory of makeRoom.
	victims []victim
}

// NewQueue returns an empty queue that lets all go until SetShares says otherwise.
func NewQueue[K comparable](l Limits) *Queue[K] {
	return &Queue[K]{
		limits:  l,
		waiting: make(map[K]int),
	}
}

// Clear drops all waiting requests and undelivered decisions without an answer, after a pause
// of the process. Shares and measured rates are out of date then, and all may go until the
// next SetShares.
func (q *Queue[K]) Clear() {
	q.classes = nil
	clear(q.waiting)
	q.bytes = 0
	q.decided = q.decided[:0]
	q.shares = Shares{}
	q.sharesAt = time.Time{}
	q.short = false
	q.sketch.reset(time.Time{})
	q.returns = returns{}
}

// NextTimer returns when Release should be called at the latest; the zero time if nothing
// is due. It changes with every other call.
func (q *Queue[K]) NextTimer() time.Time {
	if len(q.decided) > 0 {
		return q.decidedAt
	}
	var next time.Time
	for _, c := range q.classes {
		if len(c.waiting) == 0 {
			continue
		}
		for i := range c.waiting {
			next = earlier(next, c.waiting[i].deadline)
		}
		if c.share == 1 {
			next = earlier(next, c.drainAt)
		} else if at, ok := c.payAt(); ok {
			next = earlier(next, at)
		}
	}
	if !next.IsZero() && q.short {
		next = earlier(next, q.sharesAt.Add(sharesLifetime))
	}
	return next
}

// Offer asks for admission of a first packet. After Wait, Release tells the decision. A copy
// of a waiting request replaces it and keeps its place, priority and deadline; if it is larger
// and exceeds Limits.MaxBytes, the result is Reject and nothing waits any longer.
func (q *Queue[K]) Offer(now time.Time, r Request[K]) Verdict {
	q.expireShares(now)
	if q.decidedIndex(r.ID) >= 0 {
		return Wait
	}
	c := q.class(now, r.Priority)
	if !q.short && len(q.waiting) == 0 {
		c.arrive(now)
		return Admit
	}
	if priority, ok := q.waiting[r.ID]; ok {
		return q.replaceCopy(priority, &r)
	}
	q.sketch.advance(now)
	w := waiter[K]{
		id:       r.ID,
		key:      q.sketch.key(r.Caller),
		size:     r.Size,
		deadline: now.Add(r.MaxWait),
	}
	w.attempt = q.returns.take(now, w.key)
	switch w.attempt {
	case attemptFirst:
		// Returns earn nothing: they are the same demand once more.
		c.pay(now)
		c.arrive(now)
		if c.share < 1 {
			c.earn(c.earning())
		}
	case attemptReturned:
		c.returned++
	case attemptAgain:
	}
	v := q.decide(now, c, &w, r.MaxWait)
	switch v {
	case Admit:
		q.sketch.add(w.key)
	case Reject:
		q.refuse(now, c, &w)
	case Wait:
		c.waiting = append(c.waiting, w)
		q.waiting[w.id] = c.priority
		q.bytes += w.size
	}
	return v
}

// RejectAll rejects all that waits, because the process stops. Decisions that Release has
// not returned yet come first.
func (q *Queue[K]) RejectAll() []Released[K] {
	all := slices.Clone(q.decided)
	q.decided = q.decided[:0]
	for _, c := range q.classes {
		for i := range c.waiting {
			all = append(all, Released[K]{
				ID:      c.waiting[i].id,
				Verdict: Reject,
			})
		}
		c.waiting = c.waiting[:0]
	}
	clear(q.waiting)
	q.bytes = 0
	return all
}

// Release returns the decisions that are due: requests that are admitted, or rejected at
// their MaxWait or by one that replaces them. The result is valid until the next call.
func (q *Queue[K]) Release(now time.Time) []Released[K] {
	q.expireShares(now)
	q.sketch.advance(now)
	for _, c := range q.classes {
		if len(c.waiting) == 0 {
			continue
		}
		q.drain(now, c)
		q.expire(now, c)
	}
	result := q.decided
	q.decided, q.spare = q.spare[:0], result
	return result
}

// Remove drops a waiting request without a decision, and reports whether it was there.
func (q *Queue[K]) Remove(id K) bool {
	if i := q.decidedIndex(id); i >= 0 {
		q.decided = slices.Delete(q.decided, i, i+1)
		return true
	}
	priority, ok := q.waiting[id]
	if !ok {
		return false
	}
	c := q.find(priority)
	q.take(c, c.index(id))
	return true
}

// SetSeed sets the seed by which callers are hashed; call it before the first Offer. The seed
// should be random for each process, so that nobody can choose addresses that collide with
// another caller's.
func (q *Queue[K]) SetSeed(seed uint64) {
	q.sketch = sketch{seed: seed}
	q.returns = returns{}
}

// SetShares sets how much of each priority may go. It should be called about four times a
// second or more often; shares that are older than 2 s lapse, and all may go. They are in force at
// once: a Damper smooths those that come from SharesFor.
func (q *Queue[K]) SetShares(now time.Time, shares Shares) {
	q.expireShares(now)
	q.shares = shares
	q.sharesAt = now
	q.classes = slices.DeleteFunc(q.classes, func(c *class[K]) bool {
		return len(c.waiting) == 0 && now.Sub(c.at) > classLifetime
	})
	for _, c := range q.classes {
		c.setShare(now, shares.Of(c.priority))
	}
	q.updateShort()
}

// class returns the class of a priority, which it adds if it is missing.
func (q *Queue[K]) class(now time.Time, priority int) *class[K] {
	if c := q.find(priority); c != nil {
		return c
	}
	c := &class[K]{
		priority:  priority,
		share:     q.shares.Of(priority),
		at:        now,
		startedAt: now,
	}
	i, _ := slices.BinarySearchFunc(q.classes, priority, func(c *class[K], p int) int { return c.priority - p })
	q.classes = slices.Insert(q.classes, i, c)
	q.updateShort()
	return c
}

// decidedIndex returns the index of a request among those that Release returns next, or -1.
func (q *Queue[K]) decidedIndex(id K) int {
	for i := range q.decided {
		if q.decided[i].ID == id {
			return i
		}
	}
	return -1
}

// drain admits what may go of a class.
func (q *Queue[K]) drain(now time.Time, c *class[K]) {
	if c.share == 1 {
		for len(c.waiting) > 0 && !c.drainAt.After(now) {
			i, _ := q.best(c)
			q.settle(now, c, i, Admit)
			c.drainAt = c.drainAt.Add(c.drainEvery)
		}
		return
	}
	c.pay(now)
	for len(c.waiting) > 0 && c.tokens >= 1 {
		c.tokens--
		i, _ := q.best(c)
		q.settle(now, c, i, Admit)
	}
}

// expire rejects the requests of a class that have waited for their MaxWait.
func (q *Queue[K]) expire(now time.Time, c *class[K]) {
	for i := 0; i < len(c.waiting); {
		if c.waiting[i].deadline.After(now) {
			i++
			continue
		}
		q.settle(now, c, i, Reject)
	}
}

// expireShares lets all go if the shares are out of date.
func (q *Queue[K]) expireShares(now time.Time) {
	if !q.short || now.Sub(q.sharesAt) < sharesLifetime {
		return
	}
	q.shares = Shares{}
	q.short = false
	for _, c := range q.classes {
		if c.share < 1 {
			c.share = 1
			c.startDrain(now)
		}
	}
}

// find returns the class of a priority, or nil.
func (q *Queue[K]) find(priority int) *class[K] {
	for _, c := range q.classes {
		if c.priority == priority {
			return c
		}
	}
	return nil
}

// replaceCopy takes the size of a copy of a waiting request. If that exceeds the limits, the
// request is rejected.
func (q *Queue[K]) replaceCopy(priority int, r *Request[K]) Verdict {
	c := q.find(priority)
	i := c.index(r.ID)
	w := &c.waiting[i]
	if bytes := q.bytes + r.Size - w.size; bytes > max(q.limits.MaxBytes, q.bytes) {
		q.take(c, i)
		return Reject
	}
	q.bytes += r.Size - w.size
	w.size = r.Size
	return Wait
}

// settle takes a request off the queue and records the decision for Release.
func (q *Queue[K]) settle(now time.Time, c *class[K], i int, v Verdict) {
	w := q.take(c, i)
	if v == Reject {
		q.refuse(now, c, &w)
	} else if q.short {
		q.sketch.add(w.key)
	}
	if len(q.decided) == 0 {
		q.decidedAt = now
	}
	q.decided = append(q.decided, Released[K]{
		ID:      w.id,
		Verdict: v,
	})
}

// take removes the request at an index of a class.
func (q *Queue[K]) take(c *class[K], i int) waiter[K] {
	w := c.waiting[i]
	c.waiting = slices.Delete(c.waiting, i, i+1)
	delete(q.waiting, w.id)
	q.bytes -= w.size
	return w
}

// updateShort sets short from the shares in force.
func (q *Queue[K]) updateShort() {
	q.short = len(q.shares.reduced) > 0 || slices.ContainsFunc(q.classes, func(c *class[K]) bool { return c.share < 1 })
}

// earlier returns the earlier of two times, of which the first may be zero.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
