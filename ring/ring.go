// Package ring provides bounded queues between goroutines.
package ring

import "sync/atomic"

// A Ring is a bounded first-in, first-out queue between goroutines. A full ring
// refuses new items and counts them, so that overload does not grow memory. It
// is safe for concurrent use.
type Ring[T any] struct {
	// items is never closed, because producers may outlive the consumer.
	items   chan T
	refused atomic.Uint64
}

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// C returns the channel from which the consumer receives items.
func (r *Ring[T]) C() <-chan T {
	return r.items
}

// Len returns the number of items held.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Offer adds v without blocking and reports whether there was room for it.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Refused returns the number of items refused so far.
func (r *Ring[T]) Refused() uint64 {
	return r.refused.Load()
}
