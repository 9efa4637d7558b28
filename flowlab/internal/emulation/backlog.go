package emulation

import "time"

// backlog is a queue of a balancer's work, which is done in order.
type backlog struct {
	schedule *schedule
	// delay is the time that each piece of work takes.
	delay time.Duration
	// freeAt is when the queued work is done.
	freeAt time.Time
}

// add does a piece of work after the work that is queued.
func (b *backlog) add(do func()) {
	now := b.schedule.now
	if b.delay == 0 && !b.freeAt.After(now) {
		do()
		return
	}
	if b.freeAt.Before(now) {
		b.freeAt = now
	}
	b.freeAt = b.freeAt.Add(b.delay)
	b.schedule.after(b.freeAt.Sub(now), do)
}
