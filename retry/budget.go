// Package retry limits how often a service's idempotent requests are sent
// again, so that retries never amplify an overload.
package retry

import "time"

// Parameters of a budget.
const (
	// SuccessesPerRetry is the number of recent successes that allow one retry.
	SuccessesPerRetry = 10
	// Window is how long a success counts as recent.
	Window = buckets * bucketWidth
	// InitialSuccesses is the number of successes that a new budget starts
	// with, so that a process that has just started can retry.
	InitialSuccesses = 100

	buckets     = 10
	bucketWidth = time.Second
)

// A Budget allows retries in a fixed proportion to recent successes. Invariant:
// the number of retries allowed so far is at most 1/SuccessesPerRetry of the
// sum of InitialSuccesses and the successes so far. It is not safe for
// concurrent use.
type Budget struct {
	start time.Time
	// current is the number of the newest bucket, counted from start.
	current int64
	counts  [buckets]bucket
}

// A bucket counts the events of one period of bucketWidth.
type bucket struct {
	successes uint64
	retries   uint64
}

// NewBudget returns a budget that starts at now.
func NewBudget(now time.Time) *Budget {
	b := &Budget{start: now}
	b.counts[0].successes = InitialSuccesses
	return b
}

// Spend reports whether a retry is allowed at now, and counts it if so.
func (b *Budget) Spend(now time.Time) bool {
	b.advance(now)
	var sum bucket
	for _, c := range b.counts {
		sum.successes += c.successes
		sum.retries += c.retries
	}
	if (sum.retries+1)*SuccessesPerRetry > sum.successes {
		return false
	}
	b.counts[b.current%buckets].retries++
	return true
}

// RecordSuccess counts a success.
func (b *Budget) RecordSuccess(now time.Time) {
	b.advance(now)
	b.counts[b.current%buckets].successes++
}

// advance clears the buckets that have left the window. Time never runs
// backwards: an earlier now counts as the latest one.
func (b *Budget) advance(now time.Time) {
	next := int64(now.Sub(b.start) / bucketWidth)
	if next-b.current >= buckets {
		b.counts = [buckets]bucket{}
		b.current = next
		return
	}
	for b.current < next {
		b.current++
		b.counts[b.current%buckets] = bucket{}
	}
}
