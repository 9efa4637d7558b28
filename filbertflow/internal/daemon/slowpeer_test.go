package daemon

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// A slowConn writes rate bytes per second, and nothing after stopAfter bytes if that is positive.
type slowConn struct {
	net.Conn
	rate      int
	stopAfter int
	stopped   chan<- time.Time
	closed    <-chan struct{}
	sent      int
}

func (c *slowConn) Write(b []byte) (int, error) {
	if c.stopAfter > 0 && c.sent+len(b) > c.stopAfter {
		c.stopped <- time.Now()
		<-c.closed
		return 0, net.ErrClosed
	}
	const segment = 1000
	written := 0
	for written < len(b) {
		part := b[written:min(written+segment, len(b))]
		select {
		case <-time.After(time.Duration(len(part)) * time.Second / time.Duration(c.rate)):
		case <-c.closed:
			return written, net.ErrClosed
		}
		n, err := c.Conn.Write(part)
		written += n
		c.sent += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// servePeerSlowly has d call a peer whose connections are as c describes. It returns when a
// connection stops.
func servePeerSlowly(t *testing.T, d, peer *Daemon, c slowConn) <-chan time.Time {
	t.Helper()
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterDirectory(mux, &directoryServer{daemon: peer}))
	require.NoError(t, wire.DRPCRegisterPeer(mux, &peerServer{daemon: peer}))
	ctx, cancel := context.WithCancel(context.Background())
	stopped, closed := make(chan time.Time, 1), make(chan struct{})
	d.dialPeer = func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		slow := c
		slow.Conn, slow.stopped, slow.closed = server, stopped, closed
		d.tasks.Go(func() { _ = drpcserver.New(mux).ServeOne(ctx, &slow) })
		return client, nil
	}
	d.tasks.Go(func() {
		for {
			select {
			case f := <-peer.events.C():
				f(time.Now())
			case <-ctx.Done():
				return
			}
		}
	})
	t.Cleanup(func() {
		cancel()
		close(closed)
		d.tasks.Wait()
	})
	return stopped
}

// manyHosts returns a listing of n hosts.
func manyHosts(n int) *directory.Delta {
	delta := listingOf(1, uint64(n), planItem(9, 1))
	for i := range n {
		delta.Items = append(delta.Items, hostItem(fmt.Sprintf("%x", i+1), uint64(i+1)))
	}
	return delta
}

// TestSlowPeersAreReadToTheEnd guards against balancers that never get the directory or the
// membership from a peer: a response that took more than two seconds, as many others shared the
// peer's link, was given up, and asked for again.
func TestSlowPeersAreReadToTheEnd(t *testing.T) {
	const rate = 10_000
	synctest.Test(t, func(t *testing.T) {
		peer, d := newDaemon(t), newDaemon(t)
		peer.syncer.applyStoreDelta(time.Now(), manyHosts(600))
		for i := range 600 {
			peer.syncer.tracker.MergeFullState(time.Now(), []member.Record{{
				Name:        fmt.Sprintf("lb-%d", i+100),
				Zone:        "b",
				Incarnation: uint64(i + 100),
				State:       member.Alive,
			}})
		}
		servePeerSlowly(t, d, peer, slowConn{rate: rate})
		address, began := netip.MustParseAddrPort("10.0.0.1:1"), time.Now()
		delta, err := d.fetchChanges(t.Context(), address, directory.Position{}, pullTimeout)
		require.NoError(t, err)
		require.Len(t, delta.Items, 601)
		require.Greater(t, time.Since(began), pullTimeout)
		began = time.Now()
		records, err := d.fetchMembers(t.Context(), address)
		require.NoError(t, err)
		require.Len(t, records, 601)
		require.Greater(t, time.Since(began), pullTimeout)
	})
}

// TestStoppedPeersAreNoticed checks that a peer whose response stops is given up in the time in which
// it must go on.
func TestStoppedPeersAreNoticed(t *testing.T) {
	for _, stopAfter := range []int{1, 5000, 20_000} {
		t.Run(fmt.Sprintf("after %d bytes", stopAfter), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer, d := newDaemon(t), newDaemon(t)
				peer.syncer.applyStoreDelta(time.Now(), manyHosts(600))
				stopped := servePeerSlowly(t, d, peer, slowConn{
					rate:      1_250_000,
					stopAfter: stopAfter,
				})
				_, err := d.fetchChanges(t.Context(), netip.MustParseAddrPort("10.0.0.1:1"), directory.Position{}, pullTimeout)
				require.ErrorIs(t, err, errPeerStopped)
				require.LessOrEqual(t, time.Since(<-stopped), pullTimeout)
			})
		})
	}
}
