package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/rollout"
)

// Times of reading from the platform.
const (
	// watchWait is how long the platform holds a watch.
	watchWait = 30 * time.Second
	// platformRetry is the pause after a failed call.
	platformRetry = time.Second
	// vmInterval is the time between two readings of the list of VMs.
	vmInterval = 2 * time.Second
	// roleInterval is the time between two looks at who reads the platform.
	roleInterval = 500 * time.Millisecond
)

// smallFleet is the number of VMs up to which a balancer without a
// configuration asks those of all zones for one.
const smallFleet = 64

// followConfig reads published configurations while this process is one of its
// zone's readers, or has none in force.
func (d *Daemon) followConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.reads(ctx) {
			pause(ctx, roleInterval)
			continue
		}
		if err := d.readConfig(ctx); err != nil {
			d.counters.add("platform", "config")
			d.log.WithError(err).Warn("platform: can't read the configuration")
			pause(ctx, platformRetry)
		}
	}
}

// reads reports whether this process reads the platform now.
func (d *Daemon) reads(ctx context.Context) bool {
	var reads bool
	d.call(ctx, func(now time.Time) {
		reads = rollout.Reads(d.tracker.Table(), d.options.Name, d.options.Zone,
			d.tracker.PlatformAge(now), d.balancer.Config() != nil && d.tracker.Settled(now))
	})
	return reads
}

// readConfig waits for the configuration after the one in force and installs
// it.
func (d *Daemon) readConfig(ctx context.Context) error {
	var current *config.Snapshot
	d.call(ctx, func(time.Time) { current = d.balancer.Config() })
	began := time.Now()
	next, patches, version, err := d.nextConfig(ctx, current)
	if err != nil {
		return err
	}
	d.call(ctx, func(now time.Time) {
		d.tracker.PlatformAnswered(now)
		d.trust.PlatformConfirmed(began, version)
		if next != nil && next != current {
			d.install(now, next, patches)
		}
	})
	return nil
}

// nextConfig returns the configuration after current, nil where there is none
// yet, the patches that led to it, and the version that the platform told.
func (d *Daemon) nextConfig(ctx context.Context, current *config.Snapshot) (*config.Snapshot, []config.Patch, config.Version, error) {
	if current == nil {
		return d.wholeConfig(ctx, nil)
	}
	p, err := d.options.Platform.Watch(ctx, current.Version, watchWait)
	if err != nil || p == nil {
		return nil, nil, 0, err
	}
	next, err := p.Follow(current)
	if eris.Is(err, config.ErrBaseMismatch) {
		return d.wholeConfig(ctx, current)
	}
	return next, p.Patches, p.Version, err
}

func (d *Daemon) wholeConfig(ctx context.Context, current *config.Snapshot) (*config.Snapshot, []config.Patch, config.Version, error) {
	p, err := d.options.Platform.Snapshot(ctx)
	if err != nil {
		return nil, nil, 0, err
	}
	next, err := p.Follow(current)
	return next, nil, p.Version, err
}

// followVMs keeps the member view seeded with the platform's list while this
// process is one of its zone's readers, or the view is not settled.
func (d *Daemon) followVMs(ctx context.Context) {
	introduced := false
	for ctx.Err() == nil {
		if d.reads(ctx) {
			vms, err := d.options.Platform.VMs(ctx)
			switch {
			case err != nil:
				d.counters.add("platform", "vms")
			default:
				d.call(ctx, func(now time.Time) {
					d.tracker.PlatformAnswered(now)
					c := d.balancer.Config()
					vms = rollout.RegionVMs(c, d.options.Zone, vms, len(vms) <= smallFleet || now.Sub(d.started) >= member.DeadAfter)
					d.tracker.SetVMs(now, vms)
				})
				introduced = introduced || d.introduce(ctx, vms)
			}
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
