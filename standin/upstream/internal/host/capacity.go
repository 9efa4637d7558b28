package host

import "time"

const (
	// completionsPerSlot is the number of completed requests after which a
	// cold host's limit grows by one.
	completionsPerSlot = 8
	// overloadFactor is the multiple of the limit above which the load, in
	// requests in flight and recent sheds, overloads a host.
	overloadFactor = 2
	// overloadPause is the time for which an overloaded host ignores messages.
	overloadPause = 2 * time.Second
)

// A capacity limits a host's requests in flight. The limit starts at one and
// grows with completed requests up to the host's slots; below that, the host is
// cold.
type capacity struct {
	// slots is the greatest number of requests in flight of a warm host.
	slots int
	// limit is the present limit of requests in flight, from 1 to slots.
	limit int
	// completed is the number of completed requests since the limit was one.
	completed int
	inFlight  int
	// sheds are the times of the sheds within window.
	sheds []time.Time
	// window is the time for which a shed counts towards an overload.
	window time.Duration
	// pausedUntil is the end of the pause after the last overload.
	pausedUntil time.Time
}

// An admission is a capacity's decision on a request.
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

// admit decides whether an arriving request runs. An admitted request is in
// flight until complete or release is called. An overload makes the capacity
// cold, drops all requests in flight and starts a pause.
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

// cold reports whether the limit is below the slots.
func (c *capacity) cold() bool {
	return c.limit < c.slots
}

// complete ends a request that has run and raises the limit after every
// completionsPerSlot of them.
func (c *capacity) complete() {
	c.release()
	c.completed++
	if c.completed%completionsPerSlot == 0 && c.limit < c.slots {
		c.limit++
	}
}

// resetLimit makes the host cold: its limit is one again.
func (c *capacity) resetLimit() {
	c.limit = 1
	c.completed = 0
	c.sheds = nil
}

// expireSheds removes the sheds that are older than the window.
func (c *capacity) expireSheds(now time.Time) {
	expired := 0
	for expired < len(c.sheds) && now.Sub(c.sheds[expired]) > c.window {
		expired++
	}
	c.sheds = c.sheds[expired:]
}

// paused reports whether the host is in the pause after an overload.
func (c *capacity) paused(now time.Time) bool {
	return now.Before(c.pausedUntil)
}

// release ends a request without counting it as completed.
func (c *capacity) release() {
	c.inFlight = max(0, c.inFlight-1)
}
