package daemon

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseLimit is the shortest suspension that is told of.
const pauseLimit = 300 * time.Millisecond

// pauseClock finds times in which the VM was suspended: the steady clock stands
// still meanwhile, the boot clock does not.
type pauseClock struct {
	steady time.Time
	boot   time.Duration
}

func newPauseClock(now time.Time) *pauseClock {
	return &pauseClock{
		steady: now,
		boot:   bootTime(),
	}
}

// Tick returns for how long the VM was suspended since the last call.
func (c *pauseClock) Tick(now time.Time) time.Duration {
	boot := bootTime()
	pause := boot - c.boot - now.Sub(c.steady)
	c.steady, c.boot = now, boot
	if pause < pauseLimit {
		return 0
	}
	return pause
}

// bootTime returns the time since the VM started, or zero where the system does
// not tell: no suspension is found then.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
