package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// peer is another balancer that answers calls with fixed records and changes, and
// counts the calls for changes.
type peer struct {
	wire.DRPCPeerUnimplementedServer
	address      netip.AddrPort
	revision     uint64
	records      []member.Record
	changesCalls atomic.Int64
}

func (p *peer) Members(context.Context, *wire.MembersRequest) (*wire.MembersReply, error) {
	return &wire.MembersReply{Records: wire.AppendRecords(nil, p.records)}, nil
}

func (p *peer) Changes(_ *wire.ChangesRequest, stream wire.DRPCDirectory_ChangesStream) error {
	p.changesCalls.Add(1)
	if p.revision == 0 {
		return stream.CloseSend()
	}
	err := stream.Send(wire.NewDelta(time.Now(), &directory.Delta{
		Revision: p.revision,
		Items: []directory.Item{{
			Key: directory.Key{
				Kind: directory.KindZoneOut,
				Name: "b",
			},
			Revision: p.revision,
		}},
	}))
	if err != nil {
		return err
	}
	return stream.CloseSend()
}

// newPeer starts a peer at an IP address of this machine; port 0 selects a free
// port.
func newPeer(t *testing.T, ip string, port uint16, revision uint64) *peer {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", netip.AddrPortFrom(netip.MustParseAddr(ip), port).String())
	require.NoError(t, err)
	p := &peer{
		address:  listener.Addr().(*net.TCPAddr).AddrPort(),
		revision: revision,
	}
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterPeer(mux, p))
	require.NoError(t, wire.DRPCRegisterDirectory(mux, p))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = drpcserver.New(mux).Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	return p
}

// record returns the record of p, as a member of zone a, that a seed answers
// with.
func (p *peer) record(name string) member.Record {
	return member.Record{
		Name:        name,
		Zone:        "a",
		Incarnation: uint64(len(name)) + uint64(p.address.Port())<<8 + uint64(p.address.Addr().As4()[3]),
		Relay:       p.address,
		Control:     p.address,
		Admin:       p.address,
	}
}

// TestBootstrapSources checks whom a starting balancer asks for the directory:
// one member of its zone, and a seed if no member has it. Earlier, each asked all
// three seeds, which are the same for the hundreds of balancers that may start at
// once.
func TestBootstrapSources(t *testing.T) {
	for _, test := range []struct {
		name string
		// seeds are the revisions that the seeds know, and members those of the
		// members that the seeds know.
		seeds    []uint64
		members  []uint64
		joining  bool
		revision uint64
		// fromSeeds and fromMembers are how often these are asked for the
		// directory; a negative number is not checked.
		fromSeeds   int64
		fromMembers int64
	}{
		{
			name:        "a member of the zone",
			seeds:       []uint64{7, 7, 7},
			members:     []uint64{7},
			revision:    7,
			fromMembers: 1,
		},
		{
			name:        "a member that knows nothing, then a seed",
			seeds:       []uint64{7},
			members:     []uint64{0},
			revision:    7,
			fromMembers: 1,
			fromSeeds:   1,
		},
		{
			name:      "members that have just started are not asked",
			seeds:     []uint64{7},
			members:   []uint64{7},
			joining:   true,
			revision:  7,
			fromSeeds: 1,
		},
		{
			name:      "a seed that knows nothing, then another one",
			seeds:     []uint64{0, 7},
			revision:  7,
			fromSeeds: -1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDaemon(t)
			var seeds, members []*peer
			port := uint16(0)
			for i, r := range test.seeds {
				p := newPeer(t, netip.AddrFrom4([4]byte{127, 0, 0, byte(11 + i)}).String(), port, r)
				port = p.address.Port()
				seeds = append(seeds, p)
				d.options.Seeds = append(d.options.Seeds, p.address)
			}
			d.options.Peers = netip.AddrPortFrom(d.options.Peers.Addr(), port)
			for i, r := range test.members {
				members = append(members, newPeer(t, netip.AddrFrom4([4]byte{127, 0, 0, byte(21 + i)}).String(), 0, r))
			}
			for _, s := range seeds {
				for _, m := range members {
					record := m.record("lb-2")
					record.Joining = test.joining
					s.records = append(s.records, record)
				}
			}
			ctx, cancel := context.WithCancel(context.Background())
			d.tasks.Go(func() { d.syncer.run(ctx) })
			t.Cleanup(d.tasks.Wait)
			t.Cleanup(cancel)
			d.bootstrap(ctx)
			require.Eventually(t, func() bool {
				v := d.view.Load()
				return v != nil && v.Position.Revision == test.revision
			}, 5*time.Second, time.Millisecond)
			require.Equal(t, test.fromMembers, totalChangesCalls(members))
			if test.fromSeeds >= 0 {
				require.Equal(t, test.fromSeeds, totalChangesCalls(seeds))
			}
		})
	}
}

func totalChangesCalls(peers []*peer) int64 {
	var n int64
	for _, p := range peers {
		n += p.changesCalls.Load()
	}
	return n
}
