package daemon

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/rollout"
	"filbertworks.example/filbertworks/wire"
)

// Sizes of publications between peers, in bytes.
const (
	// pageSize is the size of the largest part of an encoded publication in one
	// message.
	pageSize = 512 << 10
	// maxPublicationSize is the size of the largest publication that is accepted
	// from a peer, both encoded and decoded.
	maxPublicationSize = 64 << 20
)

// maxBootstrapPeers is the number of peers that one attempt asks for their
// member records before it gives up.
const maxBootstrapPeers = 3

// bootstrapTimeout is the timeout of the call that fetches a peer's member
// records.
const bootstrapTimeout = 2 * time.Second

// A peerServer implements the Peer service that other balancers call.
type peerServer struct {
	daemon *Daemon
}

// Members returns the member records of all known processes.
func (s *peerServer) Members(ctx context.Context, _ *wire.MembersRequest) (*wire.MembersReply, error) {
	reply := &wire.MembersReply{}
	s.daemon.call(ctx, func(time.Time) {
		reply.Records = wire.AppendRecords(nil, s.daemon.tracker.Records())
	})
	return reply, ctx.Err()
}

// Since streams the publication that leads from the calling peer's version to the
// one in force here, in pages. If there is nothing newer, it sends one empty page.
func (s *peerServer) Since(r *wire.SinceRequest, stream wire.DRPCPeer_SinceStream) error {
	var p *config.Publication
	s.daemon.call(stream.Context(), func(time.Time) {
		p = s.daemon.history.Since(config.Version(r.GetBase()), r.GetDigest())
	})
	if p == nil {
		return stream.Send(&wire.Page{Last: true})
	}
	data, err := encodePublication(p)
	if err != nil {
		return err
	}
	for len(data) > pageSize {
		if err := stream.Send(&wire.Page{Data: data[:pageSize]}); err != nil {
			return eris.Wrap(err, "send page")
		}
		data = data[pageSize:]
	}
	return stream.Send(&wire.Page{
		Data: data,
		Last: true,
	})
}

// serveControl serves peers' calls until ctx ends.
func (d *Daemon) serveControl(ctx context.Context) {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, &peerServer{daemon: d}); err != nil {
		d.log.WithError(err).Error("control: can't register the peer service")
		return
	}
	if err := drpcserver.New(mux).Serve(ctx, d.newPeerListener(ctx)); err != nil && ctx.Err() == nil {
		d.log.WithError(err).Error("control: can't serve peers")
	}
}

// pull starts to pull a newer version from a peer that has one, if a pull is
// due.
func (d *Daemon) pull(now time.Time) {
	version, digest := d.history.Current()
	peer, ok := d.puller.Next(now, version)
	if !ok {
		return
	}
	current := d.balancer.Config()
	d.tasks.Go(func() { d.pullFrom(peer, current, digest) })
}

// pullFrom fetches a peer's configuration and installs it if it is newer.
func (d *Daemon) pullFrom(peer netip.AddrPort, current *config.Snapshot, digest uint64) {
	ctx, cancel := context.WithTimeout(d.ctx, rollout.PullTimeout)
	defer cancel()
	next, patches, err := fetchConfig(ctx, d.options.Control.Addr(), peer, current, digest)
	if err != nil {
		d.counters.add("pull", "failed")
		d.log.WithError(err).Warnf("config: can't pull a newer version from %v", peer)
	}
	d.call(d.ctx, func(now time.Time) {
		if next != nil {
			d.counters.add("pull", pullKind(patches))
			d.installConfig(now, next, patches)
		}
		d.puller.Done(now, peer, next != nil)
	})
}

// pullKind returns the counter reason for the form in which a version was
// pulled.
func pullKind(patches []config.Patch) string {
	if len(patches) > 0 {
		return "patches"
	}
	return "document"
}

// fetchConfig returns the configuration in force at a peer and the patches that
// led to it, or nil if it is not newer than current. The call comes from the
// address local, by which the peer recognizes this process.
func fetchConfig(ctx context.Context, local netip.Addr, peer netip.AddrPort, current *config.Snapshot, digest uint64) (*config.Snapshot, []config.Patch, error) {
	client, closeConn, err := dial(ctx, local, peer)
	if err != nil {
		return nil, nil, err
	}
	defer closeConn()
	request := &wire.SinceRequest{Digest: digest}
	if current != nil {
		request.Base = uint64(current.Version)
	}
	stream, err := client.Since(ctx, request)
	if err != nil {
		return nil, nil, eris.Wrap(err, "call peer")
	}
	data, err := receivePages(stream)
	if err != nil || len(data) == 0 {
		return nil, nil, err
	}
	p, err := decodePublication(data)
	if err != nil {
		return nil, nil, err
	}
	next, err := p.ApplyTo(current)
	if err != nil || next == current {
		return nil, nil, err
	}
	return next, p.Patches, nil
}

// dial connects to a peer. It returns a client and a function that closes the
// connection.
func dial(ctx context.Context, local netip.Addr, peer netip.AddrPort) (wire.DRPCPeerClient, func(), error) {
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
	socket, err := dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, nil, eris.Wrap(err, "dial peer")
	}
	conn := drpcconn.New(socket)
	return wire.NewDRPCPeerClient(conn), func() { _ = conn.Close() }, nil
}

// receivePages returns a whole encoded publication, or an error if its last page
// does not arrive.
func receivePages(stream wire.DRPCPeer_SinceClient) ([]byte, error) {
	var data []byte
	for {
		page, err := stream.Recv()
		if err != nil {
			return nil, eris.Wrap(err, "receive page")
		}
		data = append(data, page.GetData()...)
		if len(data) > maxPublicationSize {
			return nil, eris.Wrap(config.ErrTooLarge, "publication")
		}
		if page.GetLast() {
			return data, nil
		}
	}
}

// encodePublication returns a publication as gzipped JSON.
func encodePublication(p *config.Publication) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(p); err != nil {
		return nil, eris.Wrap(err, "pack publication")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "pack publication")
	}
	return b.Bytes(), nil
}

// decodePublication decodes and checks a publication from gzipped JSON. It reads
// at most maxPublicationSize bytes of JSON, so that a small message can't use up
// the memory.
func decodePublication(data []byte) (*config.Publication, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "decode publication")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxPublicationSize+1))
	if err != nil {
		return nil, eris.Wrap(err, "decode publication")
	}
	if len(plain) > maxPublicationSize {
		return nil, eris.Wrap(config.ErrTooLarge, "publication")
	}
	p := &config.Publication{}
	if err := config.Decode(plain, p); err != nil {
		return nil, err
	}
	return p, p.Check()
}

// bootstrapMembers merges the member records of one of the listed live VMs into
// the view. It reports whether this is finished: it merged records, found no
// other live VM to ask, or ctx ended. Up to maxBootstrapPeers VMs are asked.
func (d *Daemon) bootstrapMembers(ctx context.Context, vms []config.VM) bool {
	tried := 0
	for i := range vms {
		if vms[i].Name == d.options.Name || vms[i].State != config.VMLive {
			continue
		}
		if err := d.bootstrapFrom(ctx, vms[i].Control); err == nil || ctx.Err() != nil {
			return true
		}
		d.counters.add("introduction", "failed")
		tried++
		if tried == maxBootstrapPeers {
			return false
		}
	}
	return tried == 0
}

// bootstrapFrom merges a peer's member records into the view.
func (d *Daemon) bootstrapFrom(ctx context.Context, peer netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	client, closeConn, err := dial(ctx, d.options.Control.Addr(), peer)
	if err != nil {
		return err
	}
	defer closeConn()
	reply, err := client.Members(ctx, &wire.MembersRequest{})
	if err != nil {
		return eris.Wrap(err, "call peer")
	}
	records, err := wire.ParseRecords(reply.GetRecords())
	if err != nil {
		return err
	}
	d.call(ctx, func(now time.Time) {
		for i := range records {
			d.tracker.Merge(now, &records[i])
		}
	})
	return nil
}
