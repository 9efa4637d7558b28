// Package ring provides bounded queues that join goroutines.
package ring

import "sync/atomic"

// A Ring is a bounded queue between goroutines; a full ring refuses and counts
// what it is offered, so that load never grows memory.
type Ring[T any] struct {
	// items is never closed: producers may outlive the consumer.
	items   chan T
	refused atomic.Uint64
}

// New returns a ring that holds size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// C returns the channel on which items arrive.
func (r *Ring[T]) C() <-chan T {
	return r.items
}

// Len returns the number of items held.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Offer adds v and reports whether there was room.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Refused returns how many items were refused so far.
func (r *Ring[T]) Refused() uint64 {
	return r.refused.Load()
}
