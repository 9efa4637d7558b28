package daemon

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is reported.
const minSuspension = 300 * time.Millisecond

// A suspensionClock detects suspensions of the VM: the monotonic clock stops
// meanwhile, and the boot-time clock does not. It is safe for concurrent use.
type suspensionClock struct {
	// bootTime returns the time on the boot-time clock.
	bootTime func() time.Duration

	mu        sync.Mutex
	monotonic time.Time
	boot      time.Duration
}

func newSuspensionClock(now time.Time, bootTime func() time.Duration) *suspensionClock {
	return &suspensionClock{
		bootTime:  bootTime,
		monotonic: now,
		boot:      bootTime(),
	}
}

// SuspendedFor returns for how long the VM was suspended since the last call.
func (c *suspensionClock) SuspendedFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	boot := c.bootTime()
	pause := boot - c.boot - now.Sub(c.monotonic)
	c.monotonic, c.boot = now, boot
	if pause < minSuspension {
		return 0
	}
	return pause
}

// bootTime returns the time since the VM booted, or zero if the system does not
// provide it: no suspension is detected then.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// checkSuspension records that the VM was suspended before now, if it was.
func (d *Daemon) checkSuspension(now time.Time) {
	if pause := d.clock.SuspendedFor(now); pause > 0 {
		d.suspendedFor.Add(int64(pause))
		d.resumedAt.Store(d.sinceStart(now))
	}
}

// minStall is the shortest time without periodic work that counts as a stall of
// the process: CPU quota may keep it from running for a tenth of a second.
const minStall = 300 * time.Millisecond

// sinceStart returns a time as nanoseconds since the daemon's start.
func (d *Daemon) sinceStart(at time.Time) int64 {
	return int64(at.Sub(d.counters.latency.start))
}

// checkStall records that the process runs at now, and reports whether it was
// stalled before. The argument fromTick tells that the syncer's periodic work
// calls it.
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
