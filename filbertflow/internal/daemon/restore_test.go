package daemon

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/wire"
)

func planItem(version, revision uint64) directory.Item {
	return directory.Item{
		Key:      directory.Key{Kind: directory.KindPlan},
		Revision: revision,
		Plan: &directory.Plan{
			Version: version,
			Services: []directory.Service{{
				Name:            "board",
				WarmupPerSecond: 5,
			}},
		},
	}
}

func hostItem(id string, revision uint64, change ...func(*directory.Upstream)) directory.Item {
	u := &directory.Upstream{
		ID:      id,
		Service: "board",
		Zone:    "a",
		Address: netip.MustParseAddrPort("127.0.0.1:80"),
		Slots:   2,
	}
	for _, f := range change {
		f(u)
	}
	return directory.Item{
		Key: directory.Key{
			Kind: directory.KindUpstream,
			Name: id,
		},
		Revision: revision,
		Upstream: u,
	}
}

func hostDeleted(id string, revision uint64) directory.Item {
	return directory.Item{
		Key: directory.Key{
			Kind: directory.KindUpstream,
			Name: id,
		},
		Revision: revision,
		Deleted:  true,
	}
}

// listingOf returns a complete listing of an era.
func listingOf(era, revision uint64, items ...directory.Item) *directory.Delta {
	return &directory.Delta{
		Era:      era,
		Revision: revision,
		Items:    items,
	}
}

// serveDirectory serves d's directory as a peer does, and returns its address.
func serveDirectory(t *testing.T, d *Daemon) netip.AddrPort {
	t.Helper()
	return serveChanges(t, d, &directoryServer{daemon: d})
}

// serveChanges lets a server answer calls for changes, with d's events handled, and returns
// its address. The listener is wrapped before it is used.
func serveChanges(t *testing.T, d *Daemon, server wire.DRPCDirectoryServer, wrap ...func(net.Listener) net.Listener) netip.AddrPort {
	t.Helper()
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterDirectory(mux, server))
	var config net.ListenConfig
	p, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	for _, w := range wrap {
		p = w(p)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = drpcserver.New(mux).Serve(ctx, p)
	}()
	ran := make(chan struct{})
	go func() {
		defer close(ran)
		for {
			select {
			case f := <-d.events.C():
				f(time.Now())
			case <-ctx.Done():
				return
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-served
		<-ran
	})
	return netip.MustParseAddrPort(p.Addr().String())
}

// TestRestoreKeepsLongLapsedUpstreamsOut checks that a host whose entry lapsed long before
// the store was restored gets no flows again: only entries that the copy lacks may be
// missing by mistake.
func TestRestoreKeepsLongLapsedUpstreamsOut(t *testing.T) {
	for _, test := range []struct {
		name   string
		copied []directory.Item
	}{
		{
			name: "the copy lacks it",
		},
		{
			name:   "the copy lists it",
			copied: []directory.Item{hostItem("1", 1)},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDaemon(t)
			s, now := d.syncer, time.Now()
			s.applyStoreDelta(now, listingOf(1, 1, hostItem("1", 1)))
			s.applyStoreDelta(now, &directory.Delta{
				Era:      1,
				Base:     1,
				Revision: 2,
				Items:    []directory.Item{hostDeleted("1", 2)},
			})
			for range 60 {
				now = now.Add(time.Second)
				s.tracker.PlatformAnswered(now)
				s.tick(t.Context(), now)
			}
			require.Empty(t, d.view.Load().Eligible("board"))
			s.applyStoreDelta(now, listingOf(2, 1, test.copied...))
			s.tick(t.Context(), now.Add(tick))
			require.Empty(t, d.view.Load().Eligible("board"), "gone for 60 s")
		})
	}
}

// TestRestorePublishesColdUpstreams checks that a host that started again under its ID, as
// the first listing of an era tells, counts as cold at once.
func TestRestorePublishesColdUpstreams(t *testing.T) {
	d := newDaemon(t)
	s, now := d.syncer, time.Now()
	s.applyStoreDelta(now, listingOf(1, 2, planItem(1, 1), hostItem("1", 2, func(u *directory.Upstream) { u.StartedAt = now.Add(-time.Hour) })))
	now = now.Add(time.Second)
	s.tick(t.Context(), now)
	s.applyStoreDelta(now, listingOf(2, 2, planItem(1, 1), hostItem("1", 2, func(u *directory.Upstream) {
		u.StartedAt = now
		u.WarmAt = now.Add(time.Minute)
	})))
	s.tick(t.Context(), now.Add(tick))
	hosts := d.view.Load().Eligible("board")
	require.Len(t, hosts, 1)
	require.True(t, hosts[0].Cold(now))
}

// TestChangesWithoutItems checks that a peer gets retained items, and the position, if the
// items themselves are none: the store was restored from an empty copy.
func TestChangesWithoutItems(t *testing.T) {
	source := newDaemon(t)
	now := time.Now()
	source.syncer.applyStoreDelta(now, listingOf(1, 5, planItem(9, 5)))
	source.syncer.applyStoreDelta(now, listingOf(2, 3))
	require.Equal(t, uint64(9), source.syncer.dir.View(now, func(*directory.Upstream) bool { return false }).Plan.Version)
	d := newDaemon(t)
	delta, err := d.fetchChanges(t.Context(), serveDirectory(t, source), directory.Position{}, pullTimeout)
	require.NoError(t, err)
	require.Equal(t, directory.Position{
		Era:      2,
		Revision: 3,
	}, delta.Position())
	require.Len(t, delta.Retained, 1)
}

// TestPeersOfAKnownEraAfterAnOldBuild checks that a balancer that has its directory from an
// old build, which tells no era, follows peers that know the era.
func TestPeersOfAKnownEraAfterAnOldBuild(t *testing.T) {
	source := newDaemon(t)
	now := time.Now()
	source.syncer.applyStoreDelta(now, listingOf(1, 5, planItem(5, 5)))
	address := serveDirectory(t, source)
	d := newDaemon(t)
	s := d.syncer
	s.applyPeerDelta(now, listingOf(0, 5, planItem(5, 5)))
	change := &directory.Delta{
		Era:      1,
		Base:     5,
		Revision: 6,
		Items:    []directory.Item{planItem(6, 6)},
	}
	done := make(chan struct{})
	require.True(t, source.post(func(now time.Time) {
		source.syncer.applyStoreDelta(now, change)
		close(done)
	}))
	<-done
	data, err := wire.AppendDelta(nil, now, change, 9)
	require.NoError(t, err)
	for range 3 {
		// The datagram, and the pull that it leads to.
		s.handleDelta(t.Context(), now, address, data)
		pulled(t, d)
	}
	require.Equal(t, uint64(6), s.dir.View(now, func(*directory.Upstream) bool { return false }).Plan.Version)
}

// pulled waits until the pull of d's syncer has ended.
func pulled(t *testing.T, d *Daemon) {
	t.Helper()
	for d.syncer.pulling {
		select {
		case f := <-d.events.C():
			f(time.Now())
		case <-t.Context().Done():
			return
		}
	}
}

// TestStartAfterARestoreBesideAnOldBuild checks that a balancer that started after the store
// was restored does not take an old build's position, which is from before that and tells no
// era, for one of the new era: the revision of the new era would count as known.
func TestStartAfterARestoreBesideAnOldBuild(t *testing.T) {
	now := time.Now()
	d := newDaemon(t)
	s := d.syncer
	s.applyStoreDelta(now, listingOf(2, 20, planItem(9, 20)))
	s.applyPeerDelta(now, &directory.Delta{
		Base:     20,
		Revision: 40,
		Items:    []directory.Item{hostItem("2", 40)},
	})
	s.applyStoreDelta(now, &directory.Delta{
		Era:      2,
		Base:     20,
		Revision: 21,
		Items:    []directory.Item{planItem(12, 21)},
	})
	require.Equal(t, uint64(12), s.dir.View(now, func(*directory.Upstream) bool { return false }).Plan.Version)
}
