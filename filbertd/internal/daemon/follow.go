package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// Times of reading from the platform.
const (
	// watchWait is how long the platform holds a watch.
	watchWait = 30 * time.Second
	// platformRetry is the pause after a failed call.
	platformRetry = time.Second
	// vmInterval is the time between two readings of the list of VMs.
	vmInterval = 2 * time.Second
)

// followConfig keeps the newest published configuration in force.
func (d *Daemon) followConfig(ctx context.Context) {
	var current *config.Snapshot
	for ctx.Err() == nil {
		next, err := d.nextConfig(ctx, current)
		if err != nil {
			d.counters.add("platform", "config")
			d.log.WithError(err).Warn("platform: can't read the configuration")
			pause(ctx, platformRetry)
			continue
		}
		if next != nil && next != current {
			current = next
			d.call(ctx, func(now time.Time) { d.install(now, next) })
		}
	}
}

// nextConfig returns the configuration after current, or nil where there is
// none yet.
func (d *Daemon) nextConfig(ctx context.Context, current *config.Snapshot) (*config.Snapshot, error) {
	if current == nil {
		p, err := d.options.Platform.Snapshot(ctx)
		if err != nil {
			return nil, err
		}
		return p.Follow(nil)
	}
	p, err := d.options.Platform.Watch(ctx, current.Version, watchWait)
	if err != nil || p == nil {
		return nil, err
	}
	next, err := p.Follow(current)
	if eris.Is(err, config.ErrBase) {
		if p, err = d.options.Platform.Snapshot(ctx); err != nil {
			return nil, err
		}
		return p.Follow(nil)
	}
	return next, err
}

// followVMs keeps the member view seeded with the platform's list.
func (d *Daemon) followVMs(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := d.options.Platform.VMs(ctx)
		if err != nil {
			d.counters.add("platform", "vms")
		} else {
			d.call(ctx, func(now time.Time) { d.tracker.Seed(now, vms) })
		}
		pause(ctx, vmInterval)
	}
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
