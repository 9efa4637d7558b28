package admission

import (
	"math"
	"slices"
	"time"
)

// Damping of shares that follow the hosts' work. Hosts fill in a tenth of a second, while their
// work is known 250 to 500 ms late, so that shares taken as they are would swing between their
// ends. Instead, a fall is given time to show before the next change, and rises start small. They
// are ratios, since a change of a share by a ratio changes the admitted load by the same ratio,
// whatever the overload.
const (
	// fallInterval is the time from a fall to the next change: the lag of the shares, and the
	// time in which hosts get through what they have.
	fallInterval = 700 * time.Millisecond
	// fallGain is the part of the way to a lower share, as a logarithm, that a fall takes. A
	// fall from 1 is to onsetFall at the most, the n-th fall in a row to firstFall to the power
	// of n, which comes near to onsetFall for less urgent priorities while the share of the most
	// urgent one should fall: hosts refuse urgent requests by then. Falls to 0.4 took work from
	// urgent requests that hosts had room for.
	fallGain  = 0.5
	onsetFall = 0.7
	firstFall = 0.85
	// risePause is the least time between two rises.
	risePause = 200 * time.Millisecond
	// quickRise is a rise up to near the share before the last fall. Beyond that, each rise is
	// larger than the one before by riseStep, up to largestRise.
	quickRise   = 1.1
	riseStep    = 0.01
	largestRise = 1.3
	// lowShare is the share that all less urgent priorities must have come down to before
	// one falls.
	lowShare = 1.2 * leastShare
)

// A Damper damps the changes of shares that come from SharesFor. The least urgent priority falls
// first, and the most urgent one rises first. The zero value lets all go. It is not safe for
// concurrent use.
type Damper struct {
	// classes are the priorities, the most urgent first.
	classes []dampedShare
	// holdUntil is the time until which the shares don't change.
	holdUntil time.Time
}

// A dampedShare is the share of one priority.
type dampedShare struct {
	priority int
	share    float64
	// top is the share before the last fall.
	top float64
	// falls and rises count the changes of the share in the same direction, rises only those
	// above top.
	falls, rises int
}

// Damp returns the shares to use while target is what SharesFor gives for the priorities. It
// should be called about four times a second, or more often.
func (d *Damper) Damp(now time.Time, target Shares, priorities []int) Shares {
	d.update(priorities)
	for i := range d.classes {
		d.classes[i].endBurst(target)
	}
	switch {
	case now.Before(d.holdUntil):
	case d.fall(target):
		d.holdUntil = now.Add(fallInterval)
	case d.rise(target):
		d.holdUntil = now.Add(risePause)
	}
	var shares Shares
	for i := range d.classes {
		shares = shares.With(d.classes[i].priority, d.classes[i].share)
	}
	return shares
}

// update adds new priorities, and forgets those that are gone.
func (d *Damper) update(priorities []int) {
	d.classes = slices.DeleteFunc(d.classes, func(c dampedShare) bool { return !slices.Contains(priorities, c.priority) })
	for _, p := range priorities {
		if !slices.ContainsFunc(d.classes, func(c dampedShare) bool { return c.priority == p }) {
			d.classes = append(d.classes, dampedShare{
				priority: p,
				share:    1,
				top:      1,
			})
		}
	}
	slices.SortFunc(d.classes, func(a, b dampedShare) int { return a.priority - b.priority })
}

// fall lowers the shares that are above what they should be, and reports whether there were
// any.
func (d *Damper) fall(target Shares) bool {
	fell := false
	urgent := 1.0
	if len(d.classes) > 0 {
		urgent = target.Of(d.classes[0].priority)
	}
	for i := range slices.Backward(d.classes) {
		c := &d.classes[i]
		before := c.share
		if t := target.Of(c.priority); t < before {
			step := firstFall
			if i > 0 {
				step = onsetFall + (firstFall-onsetFall)*urgent
			}
			c.fall(t, step)
			fell = true
		}
		if before > lowShare {
			break
		}
	}
	return fell
}

// rise raises the share of the most urgent priority that is below what it should be, and
// reports whether there was any.
func (d *Damper) rise(target Shares) bool {
	for i := range d.classes {
		c := &d.classes[i]
		if c.share == 1 {
			continue
		}
		t := target.Of(c.priority)
		if t <= c.share {
			return false
		}
		c.rise(t)
		return true
	}
	return false
}

// endBurst takes back a fall that answered a burst: hosts have room again at the first look
// after it.
func (c *dampedShare) endBurst(target Shares) {
	if c.share < 1 && c.top == 1 && c.falls == 1 && target.Of(c.priority) == 1 {
		c.falls = 0
		c.share = 1
	}
}

// fall lowers the share towards a target below it, further for each fall that follows another.
// The argument step is the least ratio of a first fall from a share below 1.
func (c *dampedShare) fall(target, step float64) {
	limit := onsetFall
	if c.share < 1 {
		limit = math.Pow(step, float64(c.falls+1))
	}
	c.top = c.share
	c.falls++
	c.rises = 0
	c.share *= max(math.Pow(target/c.share, fallGain), limit)
}

// rise raises the share towards a target above it: quickly up to near the share from which it
// fell, then slowly, then faster with each rise.
func (c *dampedShare) rise(target float64) {
	c.falls = 0
	step := quickRise
	if c.share*quickRise > c.top {
		c.rises++
		if target == 1 {
			c.rises++
		}
		step = min(1+riseStep*float64(c.rises), largestRise)
	}
	c.share = min(c.share*step, target)
	if c.share >= fullShare {
		c.share = 1
	}
}
