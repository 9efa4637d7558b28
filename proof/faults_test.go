package proof

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/internal/system"
)

// Durations of faults.
const (
	// propagationTimeout is the longest time until an accepted configuration
	// version is in force at every balancer.
	propagationTimeout = 3 * time.Second
	// pauseDuration is longer than the time after which a silent member counts
	// as dead.
	pauseDuration = 6 * time.Second
	// freezeDuration is shorter than the time without updates after which a
	// caller counts a watch as broken.
	freezeDuration = 5 * time.Second
	// zoneOutDuration is the time for which a zone that is out must receive no
	// requests.
	zoneOutDuration = 4 * time.Second
)

// killBalancer kills a balancer, which stays down.
func killBalancer(_ context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.Kill(s.Balancers()[0]))
}

// replaceBalancer lets a balancer leave and starts another in its place.
func replaceBalancer(ctx context.Context, t *testing.T, s *system.System) {
	replaced := s.Balancers()[1]
	require.NoError(t, s.Leave(replaced))
	_, err := s.Replace(ctx, replaced)
	require.NoError(t, err)
	require.NoError(t, s.WaitReady(ctx))
}

// replaceAndDrain patches an upstream of the desk service to draining, replaces
// a balancer and patches the upstream back to active.
func replaceAndDrain(ctx context.Context, t *testing.T, s *system.System) {
	drained := s.Upstream(s.Site().Desk, 1, s.Site().Zones[0])
	drained.State = config.UpstreamDraining
	require.NoError(t, s.Patch(ctx, 1, config.Operation{
		PutUpstream: &config.PutUpstream{
			Service:  s.Site().Desk,
			Upstream: drained,
		},
	}))
	replaceBalancer(ctx, t, s)
	drained.State = config.UpstreamActive
	require.NoError(t, s.Patch(ctx, 2, config.Operation{
		PutUpstream: &config.PutUpstream{
			Service:  s.Site().Desk,
			Upstream: drained,
		},
	}))
	awaitVersion(ctx, t, s, 3)
}

// removeUpstream removes an upstream of the desk service together with its
// watches, which must move.
func removeUpstream(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.Patch(ctx, 1, config.Operation{
		RemoveUpstream: &config.RemoveUpstream{
			Service: s.Site().Desk,
			Name:    s.Site().Desk + "-1",
		},
	}))
	awaitVersion(ctx, t, s, 2)
}

// replaceUnderStalePlatform replaces a balancer while the platform has accepted
// a version that it does not publish yet. The old version must stay in force
// until the platform publishes the new one.
func replaceUnderStalePlatform(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.SetPlatformFaults(ctx, `{"stale":true}`))
	u := s.Upstream(s.Site().Desk, 1, s.Site().Zones[0])
	u.Share = 50
	require.NoError(t, s.Patch(ctx, 1, config.Operation{
		PutUpstream: &config.PutUpstream{
			Service:  s.Site().Desk,
			Upstream: u,
		},
	}))
	replaceBalancer(ctx, t, s)
	awaitVersion(ctx, t, s, 1)
	require.NoError(t, s.SetPlatformFaults(ctx, `{"stale":false}`))
	awaitVersion(ctx, t, s, 2)
}

// zoneOutAndKill takes a zone out and at the same time kills a balancer of
// another zone. From three seconds later on, the zone must receive no requests.
func zoneOutAndKill(ctx context.Context, t *testing.T, s *system.System) {
	zones := s.Site().Zones
	require.NoError(t, s.Patch(ctx, 1, config.Operation{
		PutZone: &config.Zone{
			Name:   zones[2],
			Region: s.Site().Region,
			State:  config.ZoneOut,
		},
	}))
	require.NoError(t, s.Kill(s.BalancersInZone(zones[0])[0]))
	wait(t, propagationTimeout)
	before := zoneRequests(ctx, t, s, zones[2])
	wait(t, zoneOutDuration)
	require.Equal(t, before, zoneRequests(ctx, t, s, zones[2]), "requests into the zone")
}

// pauseBalancer pauses a balancer for longer than a member may be silent.
func pauseBalancer(_ context.Context, t *testing.T, s *system.System) {
	paused := s.Balancers()[0]
	require.NoError(t, s.Pause(paused))
	wait(t, pauseDuration)
	require.NoError(t, s.Resume(paused))
}

// killBalancerDuringOutage kills a balancer while the platform is down. The
// other balancers must keep the version in force.
func killBalancerDuringOutage(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.SetPlatformFaults(ctx, `{"down":true}`))
	killed := s.Balancers()[1]
	require.NoError(t, s.Kill(killed))
	wait(t, 4*time.Second)
	for _, name := range s.Balancers()[2:] {
		v, err := s.Status(ctx, name)
		require.NoError(t, err)
		require.EqualValues(t, 1, v.Version)
	}
}

// isolateZone isolates the first zone: the platform is down and the balancers of
// all other zones are paused. The zone must continue to serve, and the other
// balancers must become ready again when they resume.
func isolateZone(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.SetPlatformFaults(ctx, `{"down":true}`))
	others := s.Site().Zones[1:]
	for _, z := range others {
		for _, name := range s.BalancersInZone(z) {
			require.NoError(t, s.Pause(name))
		}
	}
	wait(t, pauseDuration)
	for _, z := range others {
		for _, name := range s.BalancersInZone(z) {
			require.NoError(t, s.Resume(name))
		}
	}
	require.NoError(t, s.SetPlatformFaults(ctx, `{"down":false}`))
	require.NoError(t, s.WaitReady(ctx))
}

// restartUpstream restarts an upstream, which loses its watches and requests
// without notice to the balancers.
func restartUpstream(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.SetUpstreamFaults(ctx, `{"upstream":"`+s.Site().Desk+`-1","restart":true}`))
}

// resetUpstreamsToCold makes all upstreams cold at once.
func resetUpstreamsToCold(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.SetUpstreamFaults(ctx, `{"cold":true}`))
}

// reportIdleUpstreams makes all upstreams report that they are idle.
func reportIdleUpstreams(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.SetUpstreamFaults(ctx, `{"mislead":true}`))
}

// freezeUpstream freezes one upstream for freezeDuration: it ignores all
// messages, including requests for its reports.
func freezeUpstream(ctx context.Context, t *testing.T, s *system.System) {
	name := s.Site().Desk + "-1"
	require.NoError(t, s.SetUpstreamFaults(ctx, `{"upstream":"`+name+`","frozen":true}`))
	wait(t, freezeDuration)
	require.NoError(t, s.SetUpstreamFaults(ctx, `{"upstream":"`+name+`","frozen":false}`))
}

// silenceOpenPaths makes all upstreams ignore the source addresses that they
// have received from so far.
func silenceOpenPaths(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.SetUpstreamFaults(ctx, `{"silent":true}`))
}

// submitConflictingPatches submits two patches with the same base concurrently.
// One must be applied and the other rejected with a conflict, as a whole.
func submitConflictingPatches(ctx context.Context, t *testing.T, s *system.System) {
	results := make(chan error, 2)
	for i := range 2 {
		go func() {
			u := s.Upstream(s.Site().Desk, i+1, s.Site().Zones[i])
			u.Share = 50
			results <- s.Patch(ctx, 1, config.Operation{
				PutUpstream: &config.PutUpstream{
					Service:  s.Site().Desk,
					Upstream: u,
				},
			})
		}()
	}
	first, second := <-results, <-results
	if first != nil {
		first, second = second, first
	}
	require.NoError(t, first)
	require.True(t, errors.Is(second, system.ErrConflict), "%v", second)
	awaitVersion(ctx, t, s, 2)
}

// zoneOutAndBack takes a zone out and in again. The zone must receive no packets
// from three seconds after its version was accepted, and serve again when it is
// back in.
func zoneOutAndBack(ctx context.Context, t *testing.T, s *system.System) {
	zone := config.Zone{
		Name:   s.Site().Zones[2],
		Region: s.Site().Region,
		State:  config.ZoneOut,
	}
	require.NoError(t, s.Patch(ctx, 1, config.Operation{PutZone: &zone}))
	awaitVersion(ctx, t, s, 2)
	before := zoneRequests(ctx, t, s, s.Site().Zones[2])
	wait(t, zoneOutDuration)
	require.Equal(t, before, zoneRequests(ctx, t, s, s.Site().Zones[2]), "requests into the zone")
	zone.State = config.ZoneIn
	require.NoError(t, s.Patch(ctx, 2, config.Operation{PutZone: &zone}))
	awaitVersion(ctx, t, s, 3)
	require.NoError(t, s.WaitUntil(ctx, 10*time.Second, "requests into the returned zone", func() bool {
		return zoneRequests(ctx, t, s, s.Site().Zones[2]) > before
	}))
}

// zoneRequests returns the number of requests that the upstreams of a zone have
// received.
func zoneRequests(ctx context.Context, t *testing.T, s *system.System, zone string) uint64 {
	t.Helper()
	counts, err := s.Counts(ctx)
	require.NoError(t, err)
	var n uint64
	for _, v := range s.Document().Services {
		for i := range v.Upstreams {
			if v.Upstreams[i].Zone == zone {
				n += counts[v.Upstreams[i].Name].Requests
			}
		}
	}
	return n
}

// wait waits for d or until the test ends.
func wait(t *testing.T, d time.Duration) {
	t.Helper()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.Context().Done():
	}
}
