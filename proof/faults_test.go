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

// Times of faults.
const (
	// propagationTimeout bounds the spread of a configuration version.
	propagationTimeout = 3 * time.Second
	// pauseDuration is longer than a member may be unheard.
	pauseDuration = 6 * time.Second
	// freezeDuration is shorter than the silence that breaks a watch.
	freezeDuration = 5 * time.Second
	// zoneOutDuration is how long a zone stays taken out.
	zoneOutDuration = 4 * time.Second
)

func killBalancer(_ context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.Kill(s.Balancers()[0]))
}

func replaceBalancer(ctx context.Context, t *testing.T, s *system.System) {
	replaced := s.Balancers()[1]
	require.NoError(t, s.Leave(replaced))
	_, err := s.Replace(ctx, replaced)
	require.NoError(t, err)
	require.NoError(t, s.Ready(ctx))
}

func replaceAndDrain(ctx context.Context, t *testing.T, s *system.System) {
	added := s.Upstream(s.Place().Desk, 1, s.Place().Zones[0])
	added.State = config.UpstreamDraining
	require.NoError(t, s.Patch(ctx, 1, config.Operation{
		PutUpstream: &config.PutUpstream{
			Service:  s.Place().Desk,
			Upstream: added,
		},
	}))
	replaceBalancer(ctx, t, s)
	added.State = config.UpstreamActive
	require.NoError(t, s.Patch(ctx, 2, config.Operation{
		PutUpstream: &config.PutUpstream{
			Service:  s.Place().Desk,
			Upstream: added,
		},
	}))
	awaitVersion(ctx, t, s, 3)
}

func removeUpstream(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.Patch(ctx, 1, config.Operation{
		RemoveUpstream: &config.RemoveUpstream{
			Service: s.Place().Desk,
			Name:    s.Place().Desk + "-1",
		},
	}))
	awaitVersion(ctx, t, s, 2)
}

// replaceUnderStalePlatform starts a balancer while the platform accepts a
// version that it does not publish: the versions in force stay.
func replaceUnderStalePlatform(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.FaultPlatform(ctx, `{"stale":true}`))
	u := s.Upstream(s.Place().Desk, 1, s.Place().Zones[0])
	u.Share = 50
	require.NoError(t, s.Patch(ctx, 1, config.Operation{
		PutUpstream: &config.PutUpstream{
			Service:  s.Place().Desk,
			Upstream: u,
		},
	}))
	replaceBalancer(ctx, t, s)
	awaitVersion(ctx, t, s, 1)
	require.NoError(t, s.FaultPlatform(ctx, `{"stale":false}`))
	awaitVersion(ctx, t, s, 2)
}

// zoneOutAndKill takes a zone out at the moment in which a balancer of another
// zone dies: within three seconds the zone receives nothing.
func zoneOutAndKill(ctx context.Context, t *testing.T, s *system.System) {
	zones := s.Place().Zones
	require.NoError(t, s.Patch(ctx, 1, config.Operation{
		PutZone: &config.Zone{
			Name:   zones[2],
			Region: s.Place().Region,
			State:  config.ZoneOut,
		},
	}))
	require.NoError(t, s.Kill(s.InZone(zones[0])[0]))
	wait(t, propagationTimeout)
	before := zoneRequests(ctx, t, s, zones[2])
	wait(t, zoneOutDuration)
	require.Equal(t, before, zoneRequests(ctx, t, s, zones[2]), "requests into the zone")
}

func pauseBalancer(_ context.Context, t *testing.T, s *system.System) {
	paused := s.Balancers()[0]
	require.NoError(t, s.Pause(paused))
	wait(t, pauseDuration)
	require.NoError(t, s.Resume(paused))
}

func killBalancerDuringOutage(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.FaultPlatform(ctx, `{"down":true}`))
	killed := s.Balancers()[1]
	require.NoError(t, s.Kill(killed))
	wait(t, 4*time.Second)
	for _, name := range s.Balancers()[2:] {
		v, err := s.Status(ctx, name)
		require.NoError(t, err)
		require.EqualValues(t, 1, v.Version)
	}
}

// isolateZone leaves one zone alone: the platform and the balancers of all
// other zones stop. It serves on, and the others join again.
func isolateZone(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.FaultPlatform(ctx, `{"down":true}`))
	others := s.Place().Zones[1:]
	for _, z := range others {
		for _, name := range s.InZone(z) {
			require.NoError(t, s.Pause(name))
		}
	}
	wait(t, pauseDuration)
	for _, z := range others {
		for _, name := range s.InZone(z) {
			require.NoError(t, s.Resume(name))
		}
	}
	require.NoError(t, s.FaultPlatform(ctx, `{"down":false}`))
	require.NoError(t, s.Ready(ctx))
}

func restartUpstream(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.FaultUpstream(ctx, `{"upstream":"`+s.Place().Desk+`-1","restart":true}`))
}

func resetUpstreamsToCold(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.FaultUpstream(ctx, `{"cold":true}`))
}

// reportIdleUpstreams makes all upstreams report that they are idle.
func reportIdleUpstreams(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.FaultUpstream(ctx, `{"mislead":true}`))
}

// freezeUpstream has one upstream read and answer nothing for a while, its
// reports among it.
func freezeUpstream(ctx context.Context, t *testing.T, s *system.System) {
	name := s.Place().Desk + "-1"
	require.NoError(t, s.FaultUpstream(ctx, `{"upstream":"`+name+`","frozen":true}`))
	wait(t, freezeDuration)
	require.NoError(t, s.FaultUpstream(ctx, `{"upstream":"`+name+`","frozen":false}`))
}

func silenceOpenPaths(ctx context.Context, t *testing.T, s *system.System) {
	require.NoError(t, s.FaultUpstream(ctx, `{"silent":true}`))
}

// submitConflictingPatches submits two patches on the same version: one is accepted whole
// and the other not at all.
func submitConflictingPatches(ctx context.Context, t *testing.T, s *system.System) {
	results := make(chan error, 2)
	for i := range 2 {
		go func() {
			u := s.Upstream(s.Place().Desk, i+1, s.Place().Zones[i])
			u.Share = 50
			results <- s.Patch(ctx, 1, config.Operation{
				PutUpstream: &config.PutUpstream{
					Service:  s.Place().Desk,
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

// zoneOutAndBack requires that a zone taken out receives no packets three
// seconds after its version was accepted, and that it serves again afterwards.
func zoneOutAndBack(ctx context.Context, t *testing.T, s *system.System) {
	zone := config.Zone{
		Name:   s.Place().Zones[2],
		Region: s.Place().Region,
		State:  config.ZoneOut,
	}
	require.NoError(t, s.Patch(ctx, 1, config.Operation{PutZone: &zone}))
	awaitVersion(ctx, t, s, 2)
	before := zoneRequests(ctx, t, s, s.Place().Zones[2])
	wait(t, zoneOutDuration)
	require.Equal(t, before, zoneRequests(ctx, t, s, s.Place().Zones[2]), "requests into the zone")
	zone.State = config.ZoneIn
	require.NoError(t, s.Patch(ctx, 2, config.Operation{PutZone: &zone}))
	awaitVersion(ctx, t, s, 3)
	require.NoError(t, s.Until(ctx, 10*time.Second, "requests into the returned zone", func() bool {
		return zoneRequests(ctx, t, s, s.Place().Zones[2]) > before
	}))
}

// zoneRequests returns the number of requests that a zone's upstreams received.
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

// wait lets a fault last for a time.
func wait(t *testing.T, d time.Duration) {
	t.Helper()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.Context().Done():
	}
}
