package balancer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/packet"
)

// TestMovedUpstream checks that no message of a service is sent to an upstream
// whose id has been moved to another service, for each kind of open work.
func TestMovedUpstream(t *testing.T) {
	for _, kind := range []packet.Kind{packet.KindWatchOpen, packet.KindIdempotent} {
		t.Run(kind.String(), func(t *testing.T) {
			sm := newSimulation(1, reliable, largeLimits, "a")
			d := &driver{simulation: sm}
			first := document()
			first.Services[0].Upstreams = first.Services[0].Upstreams[:1]
			d.serve(first)
			for _, h := range sm.hosts {
				h.answer = func() (time.Duration, bool, bool) { return 0, false, true }
				h.run = func([]byte) {}
			}
			sm.receive = func(netip.AddrPort, *message) {}
			sm.install(snapshot(t, first), 0)
			sm.run(sm.now)
			send := func(kind packet.Kind, token uint64) {
				b := datagramOf(holds, kind, 1, 0, token, nil)
				h := headerOf(b)
				h.Caller = netip.MustParseAddrPort("10.0.0.1:5683")
				sm.sendToAnyNode(h, b)
				sm.run(sm.now.Add(time.Second / 2))
			}
			// The new keeper holds requests back until the deadline has passed.
			send(packet.KindIdempotent, 2)
			sm.run(sm.now.Add(holdDeadline))
			sm.arrived = 0
			send(kind, 1)
			require.Equal(t, 1, sm.arrived)
			second := document()
			second.Services[1].Upstreams = first.Services[0].Upstreams
			second.Services[0].Upstreams = nil
			s, err := config.NewSnapshot(3, second)
			require.NoError(t, err)
			sm.hosts[second.Services[1].Upstreams[0].Address].service = photos
			sm.install(s, 0)
			sm.run(sm.now)
			canceled := sm.canceled
			send(kind, 1)
			sm.run(sm.now.Add(5 * time.Minute))
			require.Zero(t, sm.wrongService)
			require.Equal(t, canceled, sm.canceled, "a cancel was sent to the other service")
		})
	}
}
