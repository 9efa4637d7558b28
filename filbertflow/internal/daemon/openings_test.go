package daemon

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// TestAmbiguousFlowsAreKeptForNewBalancers checks that a balancer which starts learns of the
// ambiguous flows of the last ambiguityLifetime: it knows none of their hosts.
func TestAmbiguousFlowsAreKeptForNewBalancers(t *testing.T) {
	now := time.Now()
	var a ambiguousFlows
	opening := flow.Opening{Ticket: 7}
	a.add([]flow.Opening{opening})
	require.Empty(t, a.known(), "the zone is told first")
	require.Equal(t, []flow.Opening{opening}, a.take(now))
	require.Empty(t, a.take(now))
	require.Equal(t, []flow.Opening{opening}, a.known())
	a.take(now.Add(ambiguityLifetime))
	require.Empty(t, a.known())
	a.add(make([]flow.Opening, 2*maxAmbiguousFlows))
	a.take(now)
	require.Len(t, a.known(), maxAmbiguousFlows)
}

// TestNewBalancersAreWelcomed checks that only balancers of the own zone are told.
func TestNewBalancersAreWelcomed(t *testing.T) {
	for _, test := range []struct {
		name string
		zone string
		told bool
	}{
		{
			name: "of the zone",
			zone: "a",
			told: true,
		},
		{
			name: "of another zone",
			zone: "b",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, peer := newDaemon(t), newEndpoint(t)
			d.syncer.ambiguous.add([]flow.Opening{{
				Flow: flow.ID{
					Client:  netip.MustParseAddrPort("100.64.0.7:40001"),
					Service: serviceAddress,
				},
				Ticket: 7,
			}})
			d.syncer.shareAmbiguous(time.Now())
			d.syncer.welcome(&member.Member{
				Zone:        test.zone,
				Incarnation: d.incarnation + 1,
				Relay:       peer.address(),
			})
			require.Equal(t, test.told, peer.receive(200*time.Millisecond) > 0)
		})
	}
}

// TestInvalidLookupsAreIgnored checks that a datagram with flows between invalid addresses
// reaches no forwarder.
func TestInvalidLookupsAreIgnored(t *testing.T) {
	d := newDaemon(t)
	d.syncer.handleOpenings(netip.AddrPort{}, &wire.Health{
		Lookups:   []*wire.Flow{{Client: []byte{1}}},
		Openings:  []*wire.Opening{{}},
		Ambiguous: []*wire.Opening{{Flow: &wire.Flow{}}},
	})
	notices, _ := d.peerNotices.drain()
	require.Empty(t, notices)
}
