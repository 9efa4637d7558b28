package host

import "time"

// Pace of a host's capacity.
const (
	// completionsPerSlot is the number of completed requests that warm a host
	// by one slot.
	completionsPerSlot = 8
	// overloadFactor times the bearable requests at once make a host fall
	// over.
	overloadFactor = 2
	// overloadPause is how long a fallen host answers nothing.
	overloadPause = 2 * time.Second
)

// A capacity decides how many requests a host bears: one when cold, more with
// completed requests.
type capacity struct {
	// slots is the greatest number of requests in flight.
	slots int
	// limit is the bearable number now, 1 to slots.
	limit     int
	completed int
	flying    int
	// sheds are the times of refusals within window.
	sheds  []time.Time
	window time.Duration
	// fallen is the end of the pause after an overload.
	fallen time.Time
}

// An admission is a capacity's decision about a request.
type admission uint8

const (
	admitted admission = iota
	shed
	overloaded
)

func newCapacity(slots int, window time.Duration) *capacity {
	return &capacity{
		slots:  slots,
		limit:  1,
		window: window,
	}
}

// admit decides about a request that arrives; an admitted one is in flight
// until complete or release.
func (c *capacity) admit(now time.Time) admission {
	c.expire(now)
	if c.flying < c.limit {
		c.flying++
		return admitted
	}
	c.sheds = append(c.sheds, now)
	if c.flying+len(c.sheds) > overloadFactor*c.limit {
		c.cool()
		c.flying = 0
		c.fallen = now.Add(overloadPause)
		return overloaded
	}
	return shed
}

// cold reports whether the capacity is below its slots.
func (c *capacity) cold() bool {
	return c.limit < c.slots
}

// complete ends a request that was answered.
func (c *capacity) complete() {
	c.release()
	c.completed++
	if c.completed%completionsPerSlot == 0 && c.limit < c.slots {
		c.limit++
	}
}

// cool makes the capacity cold.
func (c *capacity) cool() {
	c.limit = 1
	c.completed = 0
	c.sheds = nil
}

// expire forgets the refusals before the window.
func (c *capacity) expire(now time.Time) {
	old := 0
	for old < len(c.sheds) && now.Sub(c.sheds[old]) > c.window {
		old++
	}
	c.sheds = c.sheds[old:]
}

// paused reports whether the host answers nothing.
func (c *capacity) paused(now time.Time) bool {
	return now.Before(c.fallen)
}

// release ends a request without an answer.
func (c *capacity) release() {
	c.flying = max(0, c.flying-1)
}
