package daemon

import (
	"context"
	"time"

	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
)

// Timing of a process's start and leave.
const (
	// MaxLeaveDuration bounds a leave, whatever the services' refresh intervals.
	MaxLeaveDuration = 10 * time.Minute
	// refreshJitter is the fraction of the refresh interval by which callers'
	// refreshes vary.
	refreshJitter = 0.1
	// startupGrace is the time after the start in which peers learn of the
	// process: four heartbeat intervals.
	startupGrace = 4 * member.HeartbeatInterval
	// leaveCheckInterval is the interval at which a leave checks the remaining
	// work.
	leaveCheckInterval = 250 * time.Millisecond
)

// A leave holds the time limits of a graceful leave, in which a balancer
// finishes its work.
type leave struct {
	// lastExecution is when the last request that an execution ticket of this
	// process allows has passed its deadline.
	lastExecution time.Time
	// limit is when the process exits regardless of its remaining work.
	limit time.Time
}

// newLeave returns the time limits of a leave that begins at now.
// lastTicketExpiry is when the last execution ticket expires; maxDeadline and
// maxRefresh are the greatest deadline and refresh interval of the services.
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

// finished reports whether the process may exit at now with the given work left.
func (l *leave) finished(now time.Time, work keeper.ActiveWork) bool {
	if !now.Before(l.limit) {
		return true
	}
	return !now.Before(l.lastExecution) && work.Watches == 0 && work.Requests == 0
}

// runLeave waits for the start of a graceful leave and runs it. It calls exit
// when the leave has finished.
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

// startLeave stops the issue of execution tickets, announces the leave to peers
// and returns its time limits.
func (d *Daemon) startLeave(now time.Time) leave {
	work := d.balancer.Keeper().ActiveWork()
	d.log.Infof("leave: started with %d watches and %d requests", work.Watches, work.Requests)
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

// tryFinishLeave reports whether the leave has finished. If so, it ends the
// remaining watches, so that their callers register again elsewhere.
func (d *Daemon) tryFinishLeave(now time.Time, l *leave) bool {
	work := d.balancer.Keeper().ActiveWork()
	if !l.finished(now, work) {
		return false
	}
	d.log.Infof("leave: finished with %d watches and %d requests left", work.Watches, work.Requests)
	d.balancer.Keeper().EndWatches(now)
	return true
}
