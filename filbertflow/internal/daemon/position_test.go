package daemon

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/wire"
)

// TestRelayOfOneRevisionInSeveralDatagrams guards against a follower that names a revision before it
// has all of its changes: a listing deletes many hosts at one revision, and the second datagram with
// them was dropped, so that hosts that were gone stayed listed.
func TestRelayOfOneRevisionInSeveralDatagrams(t *testing.T) {
	for _, test := range []struct {
		name string
		// deleted is the number of hosts that one listing no longer has, and changed that of
		// hosts that change before.
		deleted int
		changed int
	}{
		{
			name:    "fits a datagram",
			deleted: itemsPerDatagram,
		},
		{
			name:    "begins in a datagram of earlier changes",
			deleted: itemsPerDatagram - 1,
			changed: itemsPerDatagram - 1,
		},
		{
			name:    "is larger than a datagram",
			deleted: 3 * itemsPerDatagram,
			changed: 2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			source, follower := directory.New(), directory.New()
			const known = 100
			first := listingOf(1, known, hostItem("kept", 1))
			for i := range test.deleted {
				first.Items = append(first.Items, hostItem(fmt.Sprintf("i-%x", i), uint64(i+2)))
			}
			for _, d := range []*directory.Directory{source, follower} {
				_, err := d.Apply(now, first)
				require.NoError(t, err)
			}
			before := source.Position()
			changes := &directory.Delta{
				Era:      1,
				Base:     known,
				Revision: known + 20,
			}
			for i := range test.changed {
				changes.Items = append(changes.Items, hostItem(fmt.Sprintf("j-%x", i), known+uint64(i)+1))
			}
			for i := range test.deleted {
				changes.Items = append(changes.Items, hostDeleted(fmt.Sprintf("i-%x", i), changes.Revision))
			}
			_, err := source.Apply(now, changes)
			require.NoError(t, err)
			upstreams := func(d *directory.Directory) int {
				return d.View(now, func(*directory.Upstream) bool { return false }).Upstreams()
			}
			for _, part := range splitDelta(source.Since(before)) {
				require.LessOrEqual(t, len(part.Items), itemsPerDatagram)
				_, err := follower.Apply(now, &part)
				if follower.Position() == source.Position() {
					require.Equal(t, upstreams(source), upstreams(follower))
				}
				if err != nil {
					require.ErrorIs(t, err, directory.ErrRevisionGap)
				}
			}
			// What did not fit is fetched.
			_, err = follower.Apply(now, source.Since(follower.Position()))
			require.NoError(t, err)
			require.Equal(t, source.Position(), follower.Position())
			require.Equal(t, upstreams(source), upstreams(follower))
		})
	}
}

// cutServer loses the connection after the first message of an answer.
type cutServer struct {
	directoryServer
	cut func()
}

func (s *cutServer) Changes(r *wire.ChangesRequest, stream wire.DRPCDirectory_ChangesStream) error {
	return s.directoryServer.Changes(r, &cutStream{
		DRPCDirectory_ChangesStream: stream,
		cut:                         s.cut,
	})
}

type cutStream struct {
	wire.DRPCDirectory_ChangesStream
	cut func()
}

func (s *cutStream) Send(m *wire.Delta) error {
	err := s.DRPCDirectory_ChangesStream.Send(m)
	s.cut()
	return err
}

// cutListener keeps its connections, so that a test can close them.
type cutListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *cutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.conns = append(l.conns, c)
	}
	return c, err
}

func (l *cutListener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// TestCutStreamIsNoDirectory guards against a part of a peer's directory that is taken for all of
// it, because the peer exits while it sends it: the hosts of the other parts would count as gone.
func TestCutStreamIsNoDirectory(t *testing.T) {
	listing := listingOf(1, 3*itemsPerMessage)
	for i := range 3 * itemsPerMessage {
		listing.Items = append(listing.Items, hostItem(fmt.Sprintf("i-%x", i), uint64(i+1)))
	}
	source := newDaemon(t)
	source.syncer.applyStoreDelta(time.Now(), listing)
	server := &cutServer{directoryServer: directoryServer{daemon: source}}
	address := serveChanges(t, source, server, func(l net.Listener) net.Listener {
		c := &cutListener{Listener: l}
		server.cut = c.cut
		return c
	})
	_, err := newDaemon(t).fetchChanges(t.Context(), address, directory.Position{}, pullTimeout)
	require.Error(t, err)
}
