package daemon

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

func drainingHost(u *directory.Upstream) { u.Draining = true }

// TestRelayOfAListing checks that a follower misses no change if the balancer that it gets
// its changes from has listed all entries while they changed: entries of later pages are
// newer than the listing's revision.
func TestRelayOfAListing(t *testing.T) {
	now := time.Now()
	source, follower := directory.New(), directory.New()
	first := listingOf(1, 5, hostItem("a", 1))
	_, err := source.Apply(now, first)
	require.NoError(t, err)
	_, err = follower.Apply(now, first)
	require.NoError(t, err)
	// Host a, on the first page, begins to drain at revision 11, before the second page.
	listing := listingOf(1, 10, hostItem("a", 1))
	changes := &directory.Delta{
		Era:      1,
		Base:     10,
		Revision: 20,
		Items:    []directory.Item{hostItem("a", 11, drainingHost)},
	}
	for r := uint64(12); r <= 20; r++ {
		i := hostItem(fmt.Sprintf("b%d", r), r)
		listing.Items = append(listing.Items, i)
		changes.Items = append(changes.Items, i)
	}
	for _, delta := range []*directory.Delta{listing, changes} {
		before := source.Position()
		_, err := source.Apply(now, delta)
		require.NoError(t, err)
		for _, part := range splitDelta(source.Since(before)) {
			_, err := follower.Apply(now, &part)
			require.NoError(t, err)
		}
	}
	require.Equal(t, source.Position(), follower.Position())
	for _, u := range follower.View(now, func(*directory.Upstream) bool { return false }).Eligible("board") {
		require.NotEqual(t, "a", u.ID, "drains since revision 11")
	}
}

// TestReaderThatWasBehindLearnsOfANewerPlan checks that a balancer that enters an era by the
// copy, without a plan that its peers know from before, takes it over from them, although
// they name the same position, and nobody writes the plan again.
func TestReaderThatWasBehindLearnsOfANewerPlan(t *testing.T) {
	now := time.Now()
	peer := newDaemon(t)
	copied := listingOf(2, 3, planItem(5, 3))
	peer.syncer.applyStoreDelta(now, listingOf(1, 5, planItem(9, 5)))
	peer.syncer.applyStoreDelta(now, copied)
	address := serveDirectory(t, peer)
	d := newDaemon(t)
	s := d.syncer
	s.applyStoreDelta(now, listingOf(1, 3, planItem(5, 3)))
	s.applyStoreDelta(now, copied)
	for range 10 {
		now = now.Add(pullDelay)
		s.notePosition(now, copied.Position(), address)
		s.tick(t.Context(), now)
		pulled(t, d)
	}
	require.Equal(t, uint64(9), s.dir.View(now, func(*directory.Upstream) bool { return false }).Plan.Version)
}

// TestFailedPullsAreRepeatedAfterARestore checks that pulls that fail do not use up those for
// what peers retain.
func TestFailedPullsAreRepeatedAfterARestore(t *testing.T) {
	now := time.Now()
	copied := listingOf(2, 3, planItem(5, 3))
	peer := newDaemon(t)
	peer.syncer.applyStoreDelta(now, listingOf(1, 5, planItem(9, 5)))
	peer.syncer.applyStoreDelta(now, copied)
	address := serveDirectory(t, peer)
	d := newDaemon(t)
	s := d.syncer
	s.applyStoreDelta(now, listingOf(1, 3, planItem(5, 3)))
	s.applyStoreDelta(now, copied)
	for i := range 4 * maxMergePulls {
		now = now.Add(pullDelay)
		a := address
		if i < maxMergePulls {
			a = netip.MustParseAddrPort("127.0.0.1:1")
		}
		s.notePosition(now, copied.Position(), a)
		s.tick(t.Context(), now)
		pulled(t, d)
	}
	require.Equal(t, uint64(9), s.dir.View(now, func(*directory.Upstream) bool { return false }).Plan.Version)
}

// TestRetentionOutlastsAnOutage checks that a host that drains is not eligible again because
// the store went away once more before the host could write its entry again.
func TestRetentionOutlastsAnOutage(t *testing.T) {
	d := newDaemon(t)
	s, now := d.syncer, time.Now()
	written := func(n int64) func(*directory.Upstream) {
		return func(u *directory.Upstream) { u.Sequence = n }
	}
	s.applyStoreDelta(now, listingOf(1, 5, hostItem("1", 5, written(4), drainingHost)))
	s.applyStoreDelta(now, listingOf(2, 3, hostItem("1", 3, written(2))))
	for end := now.Add(2 * directory.RetentionPeriod); now.Before(end); now = now.Add(tick) {
		s.tick(t.Context(), now)
	}
	require.True(t, s.outage)
	require.Empty(t, d.view.Load().Eligible("board"), "nothing was heard of the store since")
}
