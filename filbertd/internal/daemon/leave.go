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
	// startupGrace is the time after the start in which peers hear of the process:
	// four heartbeats.
	startupGrace = 4 * member.HeartbeatInterval
	// leaveCheckInterval is the interval at which a leave looks at what is left.
	leaveCheckInterval = 250 * time.Millisecond
)

// A leave is the bounded time in which a balancer finishes what it holds.
type leave struct {
	// lastExecution is when the last right to an execution that this process gave is
	// over, with the wait for its answer.
	lastExecution time.Time
	// limit is when the process exits with whatever it holds.
	limit time.Time
}

// newLeave returns the leave that begins at now, where the last right to an
// execution ends at rights and services have a greatest deadline and refresh
// interval.
func newLeave(now, lastTicketExpiry time.Time, maxDeadline, maxRefresh time.Duration) leave {
	jittered := time.Duration((1 + refreshJitter) * float64(maxRefresh))
	limit := now.Add(keeper.ExecutionTicketLifetime + maxDeadline + jittered)
	if latest := now.Add(MaxLeaveDuration); limit.After(latest) {
		limit = latest
	}
	return leave{
		lastExecution: lastTicketExpiry.Add(maxDeadline),
		limit:         limit,
	}
}

// finished reports whether the process may exit at now.
func (l *leave) finished(now time.Time, work keeper.ActiveWork) bool {
	if !now.Before(l.limit) {
		return true
	}
	return !now.Before(l.lastExecution) && work.Watches == 0 && work.Requests == 0
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
	ticker := time.NewTicker(leaveCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			finished := false
			d.call(ctx, func(now time.Time) { finished = d.tryFinishLeave(now, &l) })
			if finished {
				exit()
				return
			}
		case <-ctx.Done():
		}
	}
}

// startLeave announces the leave.
func (d *Daemon) startLeave(now time.Time) leave {
	work := d.balancer.Keeper().ActiveWork()
	d.log.Infof("leave: begun with %d watches and %d requests", work.Watches, work.Requests)
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
	return newLeave(now, work.LastTicketExpiry, deadline, refresh)
}

// tryFinishLeave reports whether the leave is over; the callers of watches that are
// left are then told to register anew.
func (d *Daemon) tryFinishLeave(now time.Time, l *leave) bool {
	work := d.balancer.Keeper().ActiveWork()
	if !l.finished(now, work) {
		return false
	}
	d.log.Infof("leave: over with %d watches and %d requests held", work.Watches, work.Requests)
	d.balancer.Keeper().EndWatches(now)
	return true
}
