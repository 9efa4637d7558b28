package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/internal/progress"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/rollout"
	"filbertworks.example/filbertworks/wire"
)

const (
	// maxDeltaSize is the greatest size of a datagram with changes, in bytes: it
	// fits an unfragmented packet of an Ethernet link.
	maxDeltaSize = 1200
	// itemsPerMessage is the number of items in one message of a stream of
	// changes.
	itemsPerMessage = 200
	// pullTimeout bounds the time until a peer's response begins, and the time that each
	// minPullProgress bytes of it take.
	pullTimeout = 2 * time.Second
	// minPullProgress is the number of bytes of a response that must come within pullTimeout
	// unless the response ends. Many balancers may share the link of the one that they ask, such
	// as after a loss of power of all.
	minPullProgress = 8 << 10
)

// directoryServer answers peers that request changes.
type directoryServer struct {
	daemon *Daemon
}

// Changes streams the changes from a revision to the one known here.
func (s *directoryServer) Changes(r *wire.ChangesRequest, stream wire.DRPCDirectory_ChangesStream) error {
	answer := make(chan *directory.Delta, 1)
	since := directory.Position{
		Era:      r.GetEra(),
		Revision: r.GetSince(),
	}
	if !s.daemon.post(func(time.Time) { answer <- s.daemon.syncer.dir.Since(since) }) {
		return eris.New("too busy")
	}
	var delta *directory.Delta
	select {
	case delta = <-answer:
	case <-stream.Context().Done():
		return stream.Context().Err()
	}
	items := delta.Items
	for first := true; first || len(items) > 0; first = false {
		part := *delta
		part.Items = items[:min(itemsPerMessage, len(items))]
		items = items[len(part.Items):]
		if !first {
			part.Retained = nil
		}
		if err := stream.Send(wire.NewDelta(time.Now(), &part)); err != nil {
			return eris.Wrap(err, "send changes")
		}
	}
	return stream.CloseSend()
}

// peerServer answers peers that request the membership.
type peerServer struct {
	wire.DRPCPeerUnimplementedServer
	daemon *Daemon
}

// Members returns the records of all known processes.
func (s *peerServer) Members(ctx context.Context, _ *wire.MembersRequest) (*wire.MembersReply, error) {
	answer := make(chan []byte, 1)
	if !s.daemon.post(func(time.Time) { answer <- wire.AppendRecords(nil, s.daemon.syncer.tracker.Records()) }) {
		return nil, eris.New("too busy")
	}
	select {
	case records := <-answer:
		return &wire.MembersReply{Records: records}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// servePeers serves peers' calls until ctx ends.
func (d *Daemon) servePeers(ctx context.Context) {
	mux := drpcmux.New()
	err := errors.Join(
		wire.DRPCRegisterDirectory(mux, &directoryServer{daemon: d}),
		wire.DRPCRegisterPeer(mux, &peerServer{daemon: d}),
	)
	var listener net.Listener
	if err == nil {
		listen := net.ListenConfig{KeepAliveConfig: keepAlive}
		listener, err = listen.Listen(ctx, "tcp4", d.options.Peers.String())
	}
	if err == nil {
		err = drpcserver.New(mux).Serve(ctx, listener)
	}
	if err != nil && ctx.Err() == nil {
		d.log.Warn(time.Now(), "peer: RPC server failed", logs.F("error", err.Error()))
	}
}

// keepAlive detects connections whose other end has gone silent.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     5 * time.Second,
	Interval: time.Second,
	Count:    3,
}

// receiveFromPeers receives peers' datagrams until ctx ends.
func (d *Daemon) receiveFromPeers(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = d.peerDatagrams.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramSize)
	for ctx.Err() == nil {
		n, from, err := d.peerDatagrams.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				d.counters.socketErrors.Add(1)
			}
			continue
		}
		data, arrived := slices.Clone(buffer[:n]), time.Now()
		d.post(func(now time.Time) {
			d.syncer.detector.HandleBacklog(now, now.Sub(arrived))
			d.syncer.handleDatagram(ctx, now, from, data)
		})
	}
}

// sendPeer sends a datagram to a peer; later heartbeats make up for lost ones.
func (d *Daemon) sendPeer(to netip.AddrPort, data []byte) {
	if _, err := d.peerDatagrams.WriteToUDPAddrPort(data, to); err != nil {
		d.counters.socketErrors.Add(1)
		return
	}
	d.counters.peerBytes.Add(uint64(len(data)))
}

// postWait queues an event for the syncer's goroutine and waits for room if the
// queue is full.
func (d *Daemon) postWait(ctx context.Context, f func(time.Time)) {
	for !d.post(f) && ctx.Err() == nil {
		sleep(ctx, tick)
	}
}

// peerAddresses returns the peer addresses of the other balancers on the VMs of
// seeds.
func (d *Daemon) peerAddresses(seeds []netip.AddrPort) []netip.AddrPort {
	peers := make([]netip.AddrPort, 0, len(seeds))
	for _, s := range seeds {
		a := netip.AddrPortFrom(s.Addr(), d.options.Peers.Port())
		if a != d.options.Peers {
			peers = append(peers, a)
		}
	}
	return peers
}

// errPeerStopped is the cause of a call that was canceled as the peer's response did not begin in
// time, or stopped.
var errPeerStopped = eris.New("peer's response is late or has stopped")

// callPeer connects to a peer within a timeout and makes a call, which is canceled if the response
// makes too little progress.
func (d *Daemon) callPeer(ctx context.Context, peer netip.AddrPort, timeout time.Duration, call func(context.Context, *drpcconn.Conn) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := progress.NewGuard(pullTimeout, pullTimeout, minPullProgress, func() { cancel(errPeerStopped) })
	defer guard.Stop()
	dialCtx, cancelDial := context.WithTimeout(ctx, timeout)
	defer cancelDial()
	c, err := d.dialPeer(dialCtx, "tcp4", peer.String())
	if err != nil {
		return eris.Wrap(err, "dial peer")
	}
	conn := drpcconn.New(guard.Conn(c))
	defer func() { _ = conn.Close() }()
	if err := call(ctx, conn); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return eris.Wrap(cause, err.Error())
		}
		return err
	}
	return nil
}

// fetchChanges returns the changes from a position to the one known at a peer.
// The time to connect to the peer is bounded by dial.
func (d *Daemon) fetchChanges(ctx context.Context, peer netip.AddrPort, since directory.Position, dial time.Duration) (*directory.Delta, error) {
	whole := &directory.Delta{}
	err := d.callPeer(ctx, peer, dial, func(ctx context.Context, conn *drpcconn.Conn) error {
		stream, err := wire.NewDRPCDirectoryClient(conn).Changes(ctx, &wire.ChangesRequest{
			Since: since.Revision,
			Era:   since.Era,
		})
		if err != nil {
			return eris.Wrap(err, "call peer")
		}
		for {
			m, err := stream.Recv()
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return eris.Wrap(err, "receive changes")
			}
			part, err := m.Decode(time.Now())
			if err != nil {
				return err
			}
			whole.Era, whole.Base, whole.Revision = part.Era, part.Base, part.Revision
			whole.Items = append(whole.Items, part.Items...)
			whole.Retained = append(whole.Retained, part.Retained...)
		}
	})
	if err != nil {
		return nil, err
	}
	return whole, nil
}

// fetchMembers returns the records of all processes that a peer knows.
func (d *Daemon) fetchMembers(ctx context.Context, peer netip.AddrPort) ([]member.Record, error) {
	var records []member.Record
	err := d.callPeer(ctx, peer, pullTimeout, func(ctx context.Context, conn *drpcconn.Conn) error {
		reply, err := wire.NewDRPCPeerClient(conn).Members(ctx, &wire.MembersRequest{})
		if err != nil {
			return eris.Wrap(err, "call peer")
		}
		records, err = wire.ParseRecords(reply.GetRecords())
		return eris.Wrap(err, "parse peer's records")
	})
	return records, err
}

// relayChanges sends the changes since a position, which the balancer origin has read
// from the store, to this balancer's children in the relay tree. If that takes a complete
// listing, as in a new era, the position is only announced, and the peers fetch it.
func (s *syncer) relayChanges(now time.Time, since directory.Position, origin uint64) {
	self := &member.Member{
		Zone:        s.daemon.options.Zone,
		Incarnation: s.daemon.incarnation,
	}
	peers := rollout.RelayTargets(s.tracker.Members(), self, origin, s.daemon.leads.Load())
	if len(peers) == 0 {
		return
	}
	parts := []directory.Delta{announcement(s.dir.Position())}
	if delta := s.dir.Since(since); delta.Base == since.Revision {
		parts = splitDelta(delta)
	}
	for _, part := range parts {
		data, err := wire.AppendDelta(nil, now, &part, origin)
		if err == nil && len(data) > maxDeltaSize {
			// Too large for a datagram.
			whole := announcement(part.Position())
			data, err = wire.AppendDelta(nil, now, &whole, origin)
		}
		if err != nil {
			s.daemon.log.Warn(now, "peer: can't encode changes", logs.F("error", err.Error()))
			return
		}
		for _, a := range peers {
			s.daemon.sendPeer(a, data)
		}
	}
}

// announcement returns the delta that only tells peers of a position.
func announcement(p directory.Position) directory.Delta {
	return directory.Delta{
		Era:      p.Era,
		Base:     p.Revision,
		Revision: p.Revision,
	}
}

// itemsPerDatagram is the greatest number of items in a datagram.
const itemsPerDatagram = 8

// splitDelta splits a delta into consecutive ones of itemsPerDatagram items at most. The
// items of one revision are not split, since a follower would name the revision before it has
// all of them. Where they are too many for a datagram, a delta without items announces the
// revision, and the followers fetch the items.
func splitDelta(delta *directory.Delta) []directory.Delta {
	var all []directory.Delta
	base := delta.Base
	for rest := delta.Items; len(rest) > 0; {
		items := firstRevisions(rest)
		part := directory.Delta{
			Era:  delta.Era,
			Base: base,
			// Items of a listing may be newer than the listing.
			Revision: min(items[len(items)-1].Revision, delta.Revision),
			Items:    items,
		}
		if len(rest) == len(items) {
			part.Revision = delta.Revision
		}
		rest = rest[len(items):]
		if len(items) > itemsPerDatagram {
			part = announcement(part.Position())
		}
		base = part.Revision
		all = append(all, part)
	}
	return all
}

// firstRevisions returns the items of the first revisions that fit a datagram together, or of
// the first one if that does not fit. The items are ordered by revision.
func firstRevisions(items []directory.Item) []directory.Item {
	end := 0
	for end < len(items) {
		next := end + 1
		for next < len(items) && items[next].Revision == items[end].Revision {
			next++
		}
		if end > 0 && next > itemsPerDatagram {
			break
		}
		end = next
	}
	return items[:end]
}
