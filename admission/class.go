package admission

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the measured arrival rate. It is longer than the
	// lag of the shares and short enough to follow a change of load.
	rateWindow = time.Second
	// minRateAge bounds the age by which the rate of a new class is corrected.
	minRateAge = 50 * time.Millisecond
	// maxTokens bounds unused tokens, and with them the burst that they admit.
	maxTokens = 8
	// reservedTokens are kept from callers that have taken much more than their share.
	reservedTokens = 4
	// quietIntervals is the number of usual intervals after which arrivals are taken to
	// have stopped. Random arrivals exceed three of them in one case of twenty.
	quietIntervals = 3
	// pressureGap ends a period of pressure: the time in which every request had a token.
	pressureGap = 500 * time.Millisecond
	// drainTime is the time within which all that waits goes once the share is 1.
	drainTime = 100 * time.Millisecond
	// classLifetime is how long a priority without requests keeps its state.
	classLifetime = 10 * time.Second
)

// A class holds the state of one priority.
type class[K comparable] struct {
	priority int
	// share is the share in force.
	share  float64
	tokens float64
	// refused is the number of recent refusals of first attempts, and returned that of their
	// returns to this balancer, both discounted as arrivals.
	refused, returned float64
	// arrivals is the number of recent first attempts, discounted to the time at.
	arrivals  float64
	at        time.Time
	startedAt time.Time
	// paidAt is the time up to which tokens for missing arrivals were given.
	paidAt time.Time
	// pressedSince and pressedAt are the start of the period of pressure and the last time
	// at which a request found no token.
	pressedSince, pressedAt time.Time
	// drainAt is when the next request goes if the share is 1, at intervals of drainEvery.
	drainAt    time.Time
	drainEvery time.Duration
	// waiting holds the waiting requests, the oldest first.
	waiting []waiter[K]
}

// A waiter is a waiting request.
type waiter[K comparable] struct {
	id       K
	key      uint64
	size     int
	attempt  attempt
	deadline time.Time
}

// arrive counts the arrival of a first attempt.
func (c *class[K]) arrive(now time.Time) {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		discount := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		c.arrivals *= discount
		c.refused *= discount
		c.returned *= discount
		c.at = now
	}
	c.arrivals++
}

// earning returns what one arrival earns. Refused clients return, most of them at other
// balancers, where they look like new ones: if all return twice, one of
// 1 + (1-share) + (1-share)^2 arrivals is a new request. Returns that this balancer has
// recognized earn nothing; the more it recognizes, the closer the others come to the share.
func (c *class[K]) earning() float64 {
	missing := 1 - c.share
	recognized := min(c.returned/max(c.refused, 1), 1)
	return c.share / (1 + (1-recognized)*missing*(1+missing))
}

// earn adds tokens.
func (c *class[K]) earn(tokens float64) {
	c.tokens = min(c.tokens+tokens, maxTokens)
}

// pay earns the tokens of arrivals that stayed out since the last payment: the share was set
// for the recent rate, so what has stopped coming leaves room.
func (c *class[K]) pay(now time.Time) {
	from := c.quietFrom()
	if c.paidAt.After(from) {
		from = c.paidAt
	}
	if now.After(from) {
		c.earn(c.earning() * (c.recent(from) - c.recent(now)))
		c.paidAt = now
	}
}

// payAt returns when the next token is earned without arrivals; false if never.
func (c *class[K]) payAt() (time.Time, bool) {
	from := c.quietFrom()
	if c.paidAt.After(from) {
		from = c.paidAt
	}
	missing := (1 - c.tokens) / (c.earning() * c.recent(from))
	if missing >= 1 {
		return time.Time{}, false
	}
	// The millisecond covers rounding, so that the token is there at that time.
	return from.Add(time.Duration(-math.Log1p(-max(missing, 0))*float64(rateWindow)) + time.Millisecond), true
}

// press notes that a request found no token.
func (c *class[K]) press(now time.Time) {
	if now.Sub(c.pressedAt) > pressureGap {
		c.pressedSince = now
	}
	c.pressedAt = now
}

// quietFrom returns the time from which arrivals are taken to have stopped.
func (c *class[K]) quietFrom() time.Time {
	if c.arrivals <= 0 {
		return c.at
	}
	return c.at.Add(time.Duration(quietIntervals / c.rate(c.at) * float64(time.Second)))
}

// rate returns the arrivals a second.
func (c *class[K]) rate(now time.Time) float64 {
	age := max(now.Sub(c.startedAt), minRateAge)
	return c.recent(now) / (rateWindow.Seconds() * -math.Expm1(-age.Seconds()/rateWindow.Seconds()))
}

// recent returns the number of recent arrivals, discounted to now.
func (c *class[K]) recent(now time.Time) float64 {
	elapsed := now.Sub(c.at)
	if elapsed <= 0 {
		return c.arrivals
	}
	return c.arrivals * math.Exp(-elapsed.Seconds()/rateWindow.Seconds())
}

// setShare sets the share. What waits goes once all may go.
func (c *class[K]) setShare(now time.Time, share float64) {
	if share >= fullShare {
		share = 1
	}
	if share == 1 && c.share < 1 {
		c.startDrain(now)
	}
	c.share = share
}

// startDrain spreads what waits over drainTime.
func (c *class[K]) startDrain(now time.Time) {
	c.drainAt = now
	c.drainEvery = drainTime / time.Duration(max(len(c.waiting), 1))
}

// index returns the index of a waiting request, which must be there.
func (c *class[K]) index(id K) int {
	for i := range c.waiting {
		if c.waiting[i].id == id {
			return i
		}
	}
	return -1
}
