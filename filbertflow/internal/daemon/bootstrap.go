package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/member"
)

const (
	// maxBootstrapSources is the number of members, besides the seed that named
	// them, that a starting balancer asks for the directory, one after the other.
	maxBootstrapSources = 3
	// bootstrapDialTimeout bounds the time to connect to one of them: some round
	// trips between zones. A VM that is powered off does not answer at all.
	bootstrapDialTimeout = 100 * time.Millisecond
)

// bootstrap asks the seeds for the membership, and one of the members for the
// directory. All starting balancers share the same seeds, and the directory is a
// hundred times larger than the membership of a zone.
func (d *Daemon) bootstrap(ctx context.Context) {
	seeds := d.peerAddresses(d.options.Seeds)
	sources := make(chan []netip.AddrPort, len(seeds))
	for _, a := range seeds {
		d.tasks.Go(func() { sources <- d.askSeed(ctx, a) })
	}
	for range seeds {
		select {
		case s := <-sources:
			if d.fetchDirectory(ctx, s) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// askSeed fetches the membership from a seed and returns the addresses to ask for
// the directory, or nil if the seed does not answer.
func (d *Daemon) askSeed(ctx context.Context, seed netip.AddrPort) []netip.AddrPort {
	records, err := d.fetchMembers(ctx, seed)
	if err != nil {
		d.log.Info(time.Now(), "peer: seed does not answer", logs.F("peer_address", seed), logs.F("error", err.Error()))
		return nil
	}
	d.postWait(ctx, func(now time.Time) { d.syncer.tracker.MergeFullState(now, records) })
	return append(d.directorySources(records), seed)
}

// directorySources returns the addresses of members of the own zone that are
// alive, not suspected and no longer joining, in random order.
func (d *Daemon) directorySources(records []member.Record) []netip.AddrPort {
	var sources []netip.AddrPort
	for _, i := range rand.Perm(len(records)) {
		r := &records[i]
		if r.Zone != d.options.Zone || r.Name == d.options.Name || r.Joining || r.Suspected || r.State != member.Alive {
			continue
		}
		sources = append(sources, r.Control)
		if len(sources) == maxBootstrapSources {
			break
		}
	}
	return sources
}

// fetchDirectory fetches the directory from the first of the sources that has
// one, and reports whether any had.
func (d *Daemon) fetchDirectory(ctx context.Context, sources []netip.AddrPort) bool {
	for _, a := range sources {
		delta, err := d.fetchChanges(ctx, a, directory.Position{}, bootstrapDialTimeout)
		if err != nil {
			d.log.Info(time.Now(), "peer: can't get the directory", logs.F("peer_address", a), logs.F("error", err.Error()))
			continue
		}
		if delta.Revision > 0 {
			d.postWait(ctx, func(now time.Time) { d.syncer.applyPeerDelta(now, delta) })
			return true
		}
	}
	return false
}
