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
	// platformRetryDelay is the pause after a failed call.
	platformRetryDelay = time.Second
	// vmInterval is the time between two readings of the list of VMs.
	vmInterval = 2 * time.Second
	// readerCheckInterval is the time between two looks at who reads the platform.
	readerCheckInterval = 500 * time.Millisecond
)

// maxBootstrapVMs is the number of VMs up to which a balancer without a
// configuration asks those of all zones for one.
const maxBootstrapVMs = 64

// followConfig reads published configurations while this process is one of its
// zone's readers, or has none in force.
func (d *Daemon) followConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.readsPlatform(ctx) {
			sleep(ctx, readerCheckInterval)
			continue
		}
		if err := d.readConfig(ctx); err != nil {
			d.counters.add("platform", "config")
			d.log.WithError(err).Warn("platform: can't read the configuration")
			sleep(ctx, platformRetryDelay)
		}
	}
}

// readsPlatform reports whether this process readsPlatform the platform now.
func (d *Daemon) readsPlatform(ctx context.Context) bool {
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
	start := time.Now()
	next, patches, version, err := d.nextConfig(ctx, current)
	if err != nil {
		return err
	}
	d.call(ctx, func(now time.Time) {
		d.tracker.PlatformAnswered(now)
		d.freshness.PlatformConfirmed(start, version)
		if next != nil && next != current {
			d.installConfig(now, next, patches)
		}
	})
	return nil
}

// nextConfig returns the configuration after current, nil where there is none
// yet, the patches that led to it, and the version that the platform told.
func (d *Daemon) nextConfig(ctx context.Context, current *config.Snapshot) (*config.Snapshot, []config.Patch, config.Version, error) {
	if current == nil {
		return d.fetchSnapshot(ctx, nil)
	}
	p, err := d.options.Platform.Watch(ctx, current.Version, watchWait)
	if err != nil || p == nil {
		return nil, nil, 0, err
	}
	next, err := p.Follow(current)
	if eris.Is(err, config.ErrBase) {
		return d.fetchSnapshot(ctx, current)
	}
	return next, p.Patches, p.Version, err
}

func (d *Daemon) fetchSnapshot(ctx context.Context, current *config.Snapshot) (*config.Snapshot, []config.Patch, config.Version, error) {
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
	bootstrapped := false
	for ctx.Err() == nil {
		if d.readsPlatform(ctx) {
			vms, err := d.options.Platform.VMs(ctx)
			switch {
			case err != nil:
				d.counters.add("platform", "vms")
			default:
				d.call(ctx, func(now time.Time) {
					d.tracker.PlatformAnswered(now)
					c := d.balancer.Config()
					vms = rollout.RegionVMs(c, d.options.Zone, vms, len(vms) <= maxBootstrapVMs || now.Sub(d.startedAt) >= member.DeadAfter)
					d.tracker.SetVMs(now, vms)
				})
				bootstrapped = bootstrapped || d.bootstrapMembers(ctx, vms)
			}
		}
		sleep(ctx, vmInterval)
	}
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
