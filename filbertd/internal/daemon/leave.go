package daemon

import (
	"context"
	"time"

	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
)

// Times of a process's start and leave.
const (
	// MaxLeaveDuration bounds a leave, whatever the services' refresh intervals.
	MaxLeaveDuration = 10 * time.Minute
	// refreshJitter is the part by which callers' refreshes vary.
	refreshJitter = 0.1
	// settleTime is the time after the start in which peers hear of the process:
	// four heartbeats.
	settleTime = 4 * member.HeartbeatInterval
	// leaveTick is the interval at which a leave looks at what is left.
	leaveTick = 250 * time.Millisecond
)

// A leave is the bounded time in which a balancer finishes what it holds.
type leave struct {
	// rights is when the last right to an execution that this process gave is
	// over, with the wait for its answer.
	rights time.Time
	// limit is when the process exits with whatever it holds.
	limit time.Time
}

// newLeave returns the leave that begins at now, where the last right to an
// execution ends at rights and services have a greatest deadline and refresh
// interval.
func newLeave(now, rights time.Time, deadline, refresh time.Duration) leave {
	jittered := time.Duration((1 + refreshJitter) * float64(refresh))
	limit := now.Add(keeper.ExecutionTicketLifetime + deadline + jittered)
	if last := now.Add(MaxLeaveDuration); limit.After(last) {
		limit = last
	}
	return leave{
		rights: rights.Add(deadline),
		limit:  limit,
	}
}

// over reports whether the process may exit at now.
func (l *leave) over(now time.Time, held keeper.ActiveWork) bool {
	if !now.Before(l.limit) {
		return true
	}
	return !now.Before(l.rights) && held.Watches == 0 && held.Requests == 0
}

// runLeave waits for the start of a graceful leave and then for its end, when
// it calls exit.
func (d *Daemon) runLeave(ctx context.Context, exit func()) {
	select {
	case <-d.draining:
	case <-ctx.Done():
		return
	}
	var l leave
	d.call(ctx, func(now time.Time) { l = d.startLeave(now) })
	ticker := time.NewTicker(leaveTick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			over := false
			d.call(ctx, func(now time.Time) { over = d.stepLeave(now, &l) })
			if over {
				exit()
				return
			}
		case <-ctx.Done():
		}
	}
}

// startLeave announces the leave.
func (d *Daemon) startLeave(now time.Time) leave {
	held := d.balancer.Keeper().ActiveWork()
	d.log.Infof("leave: begun with %d watches and %d requests", held.Watches, held.Requests)
	d.balancer.Leave()
	d.tracker.Leave()
	d.advance(now)
	var deadline, refresh time.Duration
	if c := d.balancer.Config(); c != nil {
		for i := range c.Document.Services {
			s := &c.Document.Services[i]
			deadline = max(deadline, time.Duration(s.Deadline))
			refresh = max(refresh, time.Duration(s.Refresh))
		}
	}
	return newLeave(now, held.LastTicketExpiry, deadline, refresh)
}

// stepLeave reports whether the leave is over; the callers of watches that are
// left are then told to register anew.
func (d *Daemon) stepLeave(now time.Time, l *leave) bool {
	held := d.balancer.Keeper().ActiveWork()
	if !l.over(now, held) {
		return false
	}
	d.log.Infof("leave: over with %d watches and %d requests held", held.Watches, held.Requests)
	d.balancer.Keeper().EndWatches(now)
	return true
}
