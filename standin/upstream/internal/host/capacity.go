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
	inFlight  int
	// sheds are the times of refusals within window.
	sheds  []time.Time
	window time.Duration
	// pausedUntil is the end of the pause after an overload.
	pausedUntil time.Time
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
	c.expireSheds(now)
	if c.inFlight < c.limit {
		c.inFlight++
		return admitted
	}
	c.sheds = append(c.sheds, now)
	if c.inFlight+len(c.sheds) > overloadFactor*c.limit {
		c.resetLimit()
		c.inFlight = 0
		c.pausedUntil = now.Add(overloadPause)
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

// resetLimit makes the capacity cold.
func (c *capacity) resetLimit() {
	c.limit = 1
	c.completed = 0
	c.sheds = nil
}

// expireSheds forgets the refusals before the window.
func (c *capacity) expireSheds(now time.Time) {
	expired := 0
	for expired < len(c.sheds) && now.Sub(c.sheds[expired]) > c.window {
		expired++
	}
	c.sheds = c.sheds[expired:]
}

// paused reports whether the host answers nothing.
func (c *capacity) paused(now time.Time) bool {
	return now.Before(c.pausedUntil)
}

// release ends a request without an answer.
func (c *capacity) release() {
	c.inFlight = max(0, c.inFlight-1)
}
