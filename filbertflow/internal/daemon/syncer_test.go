package daemon

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/platform"
	"filbertworks.example/filbertworks/wire"
)

// emptySource is a source without changes.
type emptySource struct{}

func (emptySource) Close() {}

func (emptySource) List(context.Context, bool) (*directory.Delta, error) {
	return &directory.Delta{}, nil
}

func (emptySource) Watch(context.Context, uint64, time.Duration) (*directory.Delta, error) {
	return &directory.Delta{}, nil
}

// newDaemon returns a daemon with sockets of its own, after applying the changes to its options.
func newDaemon(t *testing.T, change ...func(*Options)) *Daemon {
	t.Helper()
	o := Options{
		Name:                "lb-1",
		Zone:                "a",
		Packets:             netip.MustParseAddrPort("127.0.0.1:1"),
		Readiness:           netip.MustParseAddrPort("127.0.0.1:2"),
		Peers:               netip.MustParseAddrPort("127.0.0.1:3"),
		LogLevel:            logrus.InfoLevel,
		LogRate:             100,
		LogOutput:           io.Discard,
		Codec:               platform.Codec{},
		Headroom:            platform.Headroom,
		NewSource:           func(SourceObserver) Source { return emptySource{} },
		NewReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
	}
	for _, f := range change {
		f(&o)
	}
	d := New(o)
	require.NoError(t, d.openSockets(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.0.0.1:0")))
	t.Cleanup(func() {
		_ = d.packets.Close()
		_ = d.peerDatagrams.Close()
	})
	return d
}

// TestDatagramsBeforeTheFirstTick checks that no datagram of a peer crashes a
// process that has just started. Reports on an upstream used to.
func TestDatagramsBeforeTheFirstTick(t *testing.T) {
	r := flow.Report{
		Ticket:          7,
		SilentFlows:     3,
		Retransmissions: 3,
		Silence:         time.Second,
	}
	health, err := wire.AppendHealth(nil, &wire.Health{
		Reports:     []*wire.Silence{wire.NewSilence(&r)},
		Refutations: []*wire.Refutation{{Ticket: 7}},
		Inquiries: []*wire.Inquiry{{
			Ticket: 7,
			Id:     1,
		}},
		Answers: []*wire.Answer{{
			Ticket: 7,
			Id:     1,
		}},
		Confirmations: []*wire.Confirmation{{
			Ticket: 7,
			Id:     1,
		}},
	})
	require.NoError(t, err)
	outOfRange, err := wire.AppendHealth(nil, &wire.Health{
		Reports: []*wire.Silence{{
			Ticket: 7,
			Late:   math.MaxUint32,
		}},
		Refutations: []*wire.Refutation{{
			Ticket: 7,
			Age:    math.MaxUint32,
		}},
		Busy: []uint32{0, 7},
	})
	require.NoError(t, err)
	delta, err := wire.AppendDelta(nil, time.Now(), &directory.Delta{
		Base:     3,
		Revision: 3,
	}, 9)
	require.NoError(t, err)
	for _, test := range []struct {
		name string
		data []byte
	}{
		{
			name: "reports, inquiries, answers and their outcomes",
			data: health,
		},
		{
			name: "late requests and ages out of range",
			data: outOfRange,
		},
		{
			name: "changes after a gap",
			data: delta,
		},
		{
			name: "a truncated report",
			data: health[:len(health)-1],
		},
		{
			name: "a malformed heartbeat",
			data: bytes.Repeat([]byte{0xf2}, 30),
		},
		{name: "an empty datagram"},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDaemon(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer d.tasks.Wait()
			defer cancel()
			require.NotPanics(t, func() {
				d.syncer.handleDatagram(ctx, time.Now(), netip.MustParseAddrPort("127.0.0.1:9"), test.data)
				d.syncer.sendReport(time.Now(), &r)
			})
		})
	}
}

// TestSplitDeltaPartsApplyInOrder checks that the parts of a delta can be applied
// one after the other.
func TestSplitDeltaPartsApplyInOrder(t *testing.T) {
	source := &directory.Delta{
		Base:     4,
		Revision: 40,
	}
	for i := range 20 {
		source.Items = append(source.Items, directory.Item{
			Key: directory.Key{
				Kind: directory.KindZoneOut,
				Name: string(rune('a' + i)),
			},
			Revision: uint64(5 + i),
		})
	}
	d := directory.New()
	_, err := d.Apply(time.Now(), &directory.Delta{Revision: 4})
	require.NoError(t, err)
	for _, p := range splitDelta(source) {
		_, err := d.Apply(time.Now(), &p)
		require.NoError(t, err)
	}
	require.Equal(t, uint64(40), d.Position().Revision)
	require.Len(t, d.Since(directory.Position{}).Items, 20)
}

// TestLapsedUpstreamsStayEligibleAfterOutage checks that a host whose entry
// lapsed during an outage of the store stays eligible until it has had time to
// come back, also at a balancer that learns of both from a peer. A host whose
// entry lapsed before the outage does not.
func TestLapsedUpstreamsStayEligibleAfterOutage(t *testing.T) {
	for _, test := range []struct {
		name string
		// silence is the time without an answer of the store.
		silence time.Duration
		// before tells that the entry lapsed before that.
		before   bool
		eligible int
	}{
		{
			name:     "after an outage",
			silence:  2 * outageThreshold,
			eligible: 1,
		},
		{
			name:    "while the store answers",
			silence: time.Second,
		},
		{
			name:    "before an outage",
			silence: 2 * outageThreshold,
			before:  true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDaemon(t)
			s := d.syncer
			ctx := context.Background()
			now := time.Now()
			key := directory.Key{
				Kind: directory.KindUpstream,
				Name: "1",
			}
			change := func(revision uint64, i directory.Item) {
				i.Key, i.Revision = key, revision
				require.NoError(t, s.apply(now, &directory.Delta{
					Base:     revision - 1,
					Revision: revision,
					Items:    []directory.Item{i},
				}, 0, "peer"))
			}
			change(1, directory.Item{Upstream: &directory.Upstream{
				ID:      "1",
				Service: "board",
				Zone:    "a",
				Address: netip.MustParseAddrPort("127.0.0.1:80"),
			}})
			s.tracker.PlatformAnswered(now)
			s.tick(ctx, now)
			if test.before {
				change(2, directory.Item{Deleted: true})
			}
			for range int(test.silence / time.Second) {
				now = now.Add(time.Second)
				s.tick(ctx, now)
			}
			if !test.before {
				change(2, directory.Item{Deleted: true})
				s.tick(ctx, now)
			}
			require.Len(t, d.view.Load().Eligible("board"), test.eligible)
			s.tracker.PlatformAnswered(now)
			s.tick(ctx, now)
			require.Len(t, d.view.Load().Eligible("board"), test.eligible)
			now = now.Add(directory.LapseGracePeriod + tick)
			s.tick(ctx, now)
			require.Empty(t, d.view.Load().Eligible("board"))
		})
	}
}

// TestBootstrapDoesNotEndPull checks that changes fetched during the bootstrap do
// not end a pull in progress, as a second one would then start in parallel.
func TestBootstrapDoesNotEndPull(t *testing.T) {
	d := newDaemon(t)
	d.syncer.pulling = true
	d.syncer.applyPeerDelta(time.Now(), &directory.Delta{Revision: 1})
	require.True(t, d.syncer.pulling)
	require.Equal(t, uint64(1), d.syncer.dir.Position().Revision)
	d.syncer.finishPull(time.Now(), nil)
	require.False(t, d.syncer.pulling)
}

// TestStallIsDetectedOnce checks that whichever goroutine runs first after a
// stall detects it, and that it is detected once.
func TestStallIsDetectedOnce(t *testing.T) {
	for _, tick := range []bool{true, false} {
		d := newDaemon(t)
		now := time.Now().Add(time.Second)
		d.checkStall(now, true)
		require.Zero(t, d.resumedAt.Load())
		now = now.Add(2 * time.Duration(100) * time.Millisecond)
		require.False(t, d.checkStall(now, false))
		now = now.Add(4 * time.Second)
		require.True(t, d.checkStall(now, tick))
		require.Equal(t, d.sinceStart(now), d.resumedAt.Load())
		require.False(t, d.checkStall(now, !tick))
	}
}

// TestViewUpdatesAreBatched checks that a series of changes leads to two views,
// and that the second one has all of them by the next tick.
func TestViewUpdatesAreBatched(t *testing.T) {
	d := newDaemon(t)
	s := d.syncer
	now := time.Now()
	views := make(map[*directory.View]bool)
	for i := range uint64(20) {
		require.NoError(t, s.apply(now, &directory.Delta{
			Base:     i,
			Revision: i + 1,
			Items: []directory.Item{{
				Key: directory.Key{
					Kind: directory.KindZoneOut,
					Name: string(rune('a' + i)),
				},
				Revision: i + 1,
			}},
		}, 0, "peer"))
		views[d.view.Load()] = true
	}
	s.tick(context.Background(), now.Add(tick))
	views[d.view.Load()] = true
	require.Len(t, views, 2)
	require.True(t, d.view.Load().ZoneOut("t"))
}

// TestLaggardsAskDifferentPeers checks that balancers that are behind do not all
// ask the reader, which is always ahead of all others. They used to: its link was
// saturated, and the packets that it forwarded were delayed.
func TestLaggardsAskDifferentPeers(t *testing.T) {
	const laggards, peers = 50, 10
	asked := make(map[netip.AddrPort]int)
	for range laggards {
		d := newDaemon(t)
		for i := range peers {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7)
			d.syncer.notePosition(time.Now(), directory.Position{Revision: uint64(100 + i)}, address)
		}
		asked[d.syncer.pullPeer]++
	}
	reader := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, peers - 1}), 7)
	require.Less(t, asked[reader], laggards/2)
	require.Greater(t, len(asked), peers/2)
}
