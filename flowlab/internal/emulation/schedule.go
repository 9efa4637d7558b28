package emulation

import (
	"container/heap"
	"time"
)

// event is a function that runs at a time. Events of the same time run in the
// order in which they were scheduled.
type event struct {
	at     time.Time
	serial int
	run    func()
}

// eventHeap is a heap of events by time. It implements heap.Interface.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventHeap) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

func (e *eventHeap) Push(v any) { *e = append(*e, v.(event)) }

// schedule is a simulated clock with pending events.
type schedule struct {
	now    time.Time
	serial int
	events eventHeap
}

// after schedules a call of do after d.
func (s *schedule) after(d time.Duration, do func()) {
	s.serial++
	heap.Push(&s.events, event{
		at:     s.now.Add(d),
		serial: s.serial,
		run:    do,
	})
}

// runUntil runs all events up to a time, which becomes the current time.
func (s *schedule) runUntil(until time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}
