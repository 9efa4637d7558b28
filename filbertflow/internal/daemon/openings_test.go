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

// TestAmbiguousFlowsAreKeptForNewBalancers guards against the reset of a flow by a balancer that has
// just started. It knows none of the hosts of ambiguous flows, and a client may send the ticket of the
// wrong one as long as that repeats its answer (9.4 s) and the flow is idle after that (15 s).
func TestAmbiguousFlowsAreKeptForNewBalancers(t *testing.T) {
	now := time.Now()
	var a ambiguousFlows
	opening := flow.Opening{Ticket: 7}
	a.add([]flow.Opening{opening})
	require.Empty(t, a.known(), "the zone is told first")
	require.Equal(t, []flow.Opening{opening}, a.take(now))
	require.Empty(t, a.take(now))
	require.Equal(t, []flow.Opening{opening}, a.known())
	a.take(now.Add(9400*time.Millisecond + 15*time.Second))
	require.Equal(t, []flow.Opening{opening}, a.known())
	a.take(now.Add(flow.AmbiguityLifetime))
	require.Empty(t, a.known())
	a.add(make([]flow.Opening, 2*maxAmbiguousFlows))
	a.take(now)
	require.Len(t, a.known(), maxAmbiguousFlows)
}

// TestNewBalancersAreWelcomed guards against resets of flows that come to a balancer which has just
// started, and which does not know that a host has got their first packet in vain. Balancers of
// another zone are told only if the flows of their zone may have been here.
func TestNewBalancersAreWelcomed(t *testing.T) {
	for _, test := range []struct {
		name string
		zone string
		// inRotation reports whether the zone has another balancer, and vacantFor is how long ago it
		// had none.
		inRotation bool
		vacantFor  time.Duration
		told       bool
	}{
		{
			name:       "of the zone",
			zone:       "a",
			inRotation: true,
			told:       true,
		},
		{
			name:       "of another zone",
			zone:       "b",
			inRotation: true,
		},
		{
			name: "of another zone that has no other balancer",
			zone: "b",
			told: true,
		},
		{
			name:       "of another zone that had no balancer lately",
			zone:       "b",
			inRotation: true,
			vacantFor:  flow.AmbiguityLifetime,
			told:       true,
		},
		{
			name:       "of another zone that had no balancer long ago",
			zone:       "b",
			inRotation: true,
			vacantFor:  flow.AmbiguityLifetime + time.Second,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, peer := newDaemon(t), newEndpoint(t)
			now := time.Now()
			if test.vacantFor > 0 {
				addMember(t, d, peer, &member.Record{
					Zone:        test.zone,
					Incarnation: 7,
					State:       member.Leaving,
				})
				d.syncer.updateVacancies(now.Add(-test.vacantFor))
			}
			if test.inRotation {
				addPeer(t, d, newEndpoint(t), test.zone, 8)
			}
			d.syncer.updateVacancies(now)
			d.syncer.logMembers(now, d.syncer.tracker.Table())
			d.syncer.ambiguous.add(openingsOf(40001))
			d.syncer.ambiguous.take(now)
			addMember(t, d, peer, &member.Record{
				Zone:        test.zone,
				Incarnation: 9,
				Joining:     true,
			})
			d.syncer.updateVacancies(now)
			d.syncer.logMembers(now, d.syncer.tracker.Table())
			require.Equal(t, test.told, peer.receive(200*time.Millisecond) > 0)
		})
	}
}

// openingsOf returns what is known of one flow, of a client's port.
func openingsOf(port uint16) []flow.Opening {
	return []flow.Opening{{
		Flow: flow.ID{
			Client:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port),
			Service: serviceAddress,
		},
		Ticket: 7,
	}}
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
