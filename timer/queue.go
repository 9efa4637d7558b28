// Package timer provides timers for many points in time that need neither
// goroutines nor a clock of their own: their owner passes in the time.
package timer

import (
	"container/heap"
	"time"
)

// A Handler is called when a subscription is due.
type Handler interface {
	// Expire is given the key of the subscription.
	Expire(now time.Time, key uint64)
}

// A Queue holds subscriptions in the order of their times. It has no clock: its
// owner calls Advance with the current time. It is not safe for concurrent use.
type Queue struct {
	entries entries
	// sequence is the number of subscriptions made so far. It orders
	// subscriptions with equal times by when they were made.
	sequence uint64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{}
}

// Advance calls the handlers of all subscriptions due at now in the order of
// their times, and returns how many it called. Handlers may make new
// subscriptions.
func (q *Queue) Advance(now time.Time) int {
	n := 0
	for len(q.entries) > 0 && !q.entries[0].at.After(now) {
		e := heap.Pop(&q.entries).(entry)
		e.handler.Expire(now, e.key)
		n++
	}
	return n
}

// Len returns the number of subscriptions.
func (q *Queue) Len() int {
	return len(q.entries)
}

// Next returns the time of the earliest subscription; ok is false if there is
// none.
func (q *Queue) Next() (at time.Time, ok bool) {
	if len(q.entries) == 0 {
		return time.Time{}, false
	}
	return q.entries[0].at, true
}

// Subscribe makes Advance call h with key once the time at is reached. A
// subscription can't be cancelled: the handler checks whether the key is still
// relevant.
func (q *Queue) Subscribe(at time.Time, h Handler, key uint64) {
	q.sequence++
	heap.Push(&q.entries, entry{
		at:       at,
		sequence: q.sequence,
		handler:  h,
		key:      key,
	})
}

type entry struct {
	at       time.Time
	sequence uint64
	handler  Handler
	key      uint64
}

// entries implements heap.Interface.
type entries []entry

func (e entries) Len() int { return len(e) }

func (e entries) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

func (e *entries) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry{}
	*e = old[:len(old)-1]
	return last
}

func (e *entries) Push(x any) { *e = append(*e, x.(entry)) }

func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
