package daemon

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/wire"
)

var loopback = netip.MustParseAddr("127.0.0.1")

// A fakePeer is a peer server that answers Since with fixed pages.
type fakePeer struct {
	wire.DRPCPeerUnimplementedServer
	pages []*wire.Page
}

func (p *fakePeer) Since(_ *wire.SinceRequest, stream wire.DRPCPeer_SinceStream) error {
	for _, page := range p.pages {
		if err := stream.Send(page); err != nil {
			return err
		}
	}
	return nil
}

// servePeer serves pages to Since until the test ends and returns the server's
// address.
func servePeer(t *testing.T, pages ...*wire.Page) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterPeer(mux, &fakePeer{pages: pages}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.New(mux).Serve(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

func smallDocument() *config.Document {
	return &config.Document{
		Keys: []config.Key{{
			ID:     1,
			Secret: make([]byte, config.MinSecretSize),
		}},
		Zones: []config.Zone{{
			Name:   "bolzano",
			Region: "alto-adige",
			State:  config.ZoneIn,
		}},
	}
}

func encoded(t *testing.T, p *config.Publication) []byte {
	t.Helper()
	data, err := encodePublication(p)
	require.NoError(t, err)
	return data
}

func TestFetch(t *testing.T) {
	current, err := config.NewSnapshot(7, smallDocument())
	require.NoError(t, err)
	out := smallDocument().Zones[0]
	out.State = config.ZoneOut
	change := config.Patch{
		Base:       7,
		Operations: []config.Operation{{PutZone: &out}},
	}
	patches := encoded(t, &config.Publication{
		Version: 8,
		Patches: []config.Patch{change},
	})
	document := encoded(t, &config.Publication{
		Version:  9,
		Document: smallDocument(),
	})
	broken := encoded(t, &config.Publication{
		Version:  9,
		Document: &config.Document{},
	})
	gap := encoded(t, &config.Publication{
		Version: 10,
		Patches: []config.Patch{{
			Base:       9,
			Operations: change.Operations,
		}},
	})
	old := encoded(t, &config.Publication{
		Version:  6,
		Document: smallDocument(),
	})
	for _, tt := range []struct {
		name  string
		pages []*wire.Page
		// want is the fetched version, or zero if there is none.
		want   config.Version
		failed bool
	}{
		{name: "patches", pages: []*wire.Page{{Data: patches, Last: true}}, want: 8},
		{name: "document", pages: []*wire.Page{{Data: document, Last: true}}, want: 9},
		{name: "in pages", pages: []*wire.Page{{Data: document[:20]}, {Data: document[20:40]}, {Data: document[40:], Last: true}}, want: 9},
		{name: "nothing newer", pages: []*wire.Page{{Last: true}}},
		{name: "an older document", pages: []*wire.Page{{Data: old, Last: true}}},
		{name: "a page is missing", pages: []*wire.Page{{Data: document[:20]}, {Data: document[40:], Last: true}}, failed: true},
		{name: "the stream ends early", pages: []*wire.Page{{Data: document}}, failed: true},
		{name: "no pages", failed: true},
		{name: "a document with faults", pages: []*wire.Page{{Data: broken, Last: true}}, failed: true},
		{name: "patches of another base", pages: []*wire.Page{{Data: gap, Last: true}}, failed: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			peer := servePeer(t, tt.pages...)
			next, _, err := fetchConfig(t.Context(), loopback, peer, current, current.Document.Digest())
			require.Equal(t, tt.failed, err != nil, "%v", err)
			if tt.want == 0 {
				require.Nil(t, next)
				return
			}
			require.Equal(t, tt.want, next.Version, fmt.Sprint(err))
		})
	}
}

func TestFetchFromUnreachablePeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peer := netip.MustParseAddrPort(l.Addr().String())
	require.NoError(t, l.Close())
	_, _, err = fetchConfig(t.Context(), loopback, peer, nil, 0)
	require.Error(t, err)
}

// Peers' calls are answered only if they come from hosts of listed VMs or known
// members.
func TestControlIsForKnownHosts(t *testing.T) {
	vm := testVM(t, "lb-1", "bolzano")
	other := testVM(t, "lb-2", "bolzano")
	other.Control = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), 1)
	d := runDaemon(t, &vm, &scriptedPlatform{
		version: 2,
		vms:     []config.VM{vm, other},
	})
	require.Eventually(t, func() bool { return d.Status().Version == 2 }, waitTimeout, pollInterval)
	require.Eventually(t, func() bool {
		next, _, err := fetchConfig(t.Context(), other.Control.Addr(), vm.Control, nil, 0)
		return err == nil && next.Version == 2
	}, waitTimeout, pollInterval)
	_, _, err := fetchConfig(t.Context(), netip.MustParseAddr("127.0.0.3"), vm.Control, nil, 0)
	require.Error(t, err)
}
