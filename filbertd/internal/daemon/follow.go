package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/rollout"
)

// Timing of reads from the platform.
const (
	// watchWait is how long the platform may hold a watch without a newer
	// version.
	watchWait = 30 * time.Second
	// platformRetryDelay is the delay before a failed call is retried.
	platformRetryDelay = time.Second
	// vmInterval is the interval at which the list of VMs is read.
	vmInterval = 2 * time.Second
	// readerCheckInterval is the interval at which a process that does not read
	// the platform checks whether it should.
	readerCheckInterval = 500 * time.Millisecond
)

// maxBootstrapVMs is the greatest number of listed VMs for which a balancer
// without a configuration takes the VMs of all zones into its view at once. With
// more it starts with those of its own zone and adds the others after
// member.DeadAfter.
const maxBootstrapVMs = 64

// followConfig reads published configurations from the platform while this
// process is one of its zone's readers or has no configuration in force.
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

// readsPlatform reports whether this process should read the platform now.
func (d *Daemon) readsPlatform(ctx context.Context) bool {
	var reads bool
	d.call(ctx, func(now time.Time) {
		reads = rollout.Reads(d.tracker.Table(), d.options.Name, d.options.Zone,
			d.tracker.PlatformAge(now), d.balancer.Config() != nil && d.tracker.Settled(now))
	})
	return reads
}

// readConfig waits for a configuration newer than the one in force and installs
// it. An answer without a newer one confirms that the platform is reachable.
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

// nextConfig returns a configuration newer than current, or nil if there is none
// yet, the patches that led to it, and the version that the platform reported.
func (d *Daemon) nextConfig(ctx context.Context, current *config.Snapshot) (*config.Snapshot, []config.Patch, config.Version, error) {
	if current == nil {
		return d.fetchSnapshot(ctx, nil)
	}
	p, err := d.options.Platform.Watch(ctx, current.Version, watchWait)
	if err != nil || p == nil {
		return nil, nil, 0, err
	}
	next, err := p.ApplyTo(current)
	if eris.Is(err, config.ErrBaseMismatch) {
		return d.fetchSnapshot(ctx, current)
	}
	return next, p.Patches, p.Version, err
}

// fetchSnapshot returns the same as nextConfig, from the platform's whole
// document.
func (d *Daemon) fetchSnapshot(ctx context.Context, current *config.Snapshot) (*config.Snapshot, []config.Patch, config.Version, error) {
	p, err := d.options.Platform.Snapshot(ctx)
	if err != nil {
		return nil, nil, 0, err
	}
	next, err := p.ApplyTo(current)
	return next, nil, p.Version, err
}

// followVMs updates the member view with the platform's list of VMs while this
// process is one of its zone's readers or its view is not settled. It fetches the
// records of a peer once.
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

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
