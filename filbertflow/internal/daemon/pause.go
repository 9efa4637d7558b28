package daemon

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is told of.
const minSuspension = 300 * time.Millisecond

// suspensionClock finds times in which the VM was suspended: the steady clock stands
// still meanwhile, the boot clock does not.
type suspensionClock struct {
	monotonic time.Time
	boot      time.Duration
}

func newSuspensionClock(now time.Time) *suspensionClock {
	return &suspensionClock{
		monotonic: now,
		boot:      bootTime(),
	}
}

// SuspendedFor returns for how long the VM was suspended since the last call.
func (c *suspensionClock) SuspendedFor(now time.Time) time.Duration {
	boot := bootTime()
	pause := boot - c.boot - now.Sub(c.monotonic)
	c.monotonic, c.boot = now, boot
	if pause < minSuspension {
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

// minStall is the shortest time between two ticks that is taken for a pause of
// the process: a core's share may keep it from running for a tenth of a second.
const minStall = 300 * time.Millisecond

// sinceStart returns a time as nanoseconds since the daemon's start.
func (d *Daemon) sinceStart(at time.Time) int64 {
	return int64(at.Sub(d.counters.latency.start))
}

// checkStall takes that the process runs at now, and reports whether it had not
// for a while; tick tells that the goroutine of the directory calls.
func (d *Daemon) checkStall(now time.Time, fromTick bool) (stalled bool) {
	at := d.sinceStart(now)
	last := d.ranAt.Load()
	stalled = last != 0 && at-last >= int64(minStall)
	if stalled {
		d.resumedAt.Store(at)
	}
	if stalled || fromTick {
		d.ranAt.Store(at)
	}
	return stalled
}
