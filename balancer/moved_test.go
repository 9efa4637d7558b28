package balancer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/packet"
)

// TestMovedUpstream states that nothing of a service is sent to an upstream whose
// id belongs to another one by now, in whatever state the work is.
func TestMovedUpstream(t *testing.T) {
	for _, kind := range []packet.Kind{packet.KindWatchOpen, packet.KindIdempotent} {
		t.Run(kind.String(), func(t *testing.T) {
			w := newWorld(1, smooth, roomy, "a")
			d := &driver{world: w}
			first := document()
			first.Services[0].Upstreams = first.Services[0].Upstreams[:1]
			d.serve(first)
			for _, h := range w.hosts {
				h.answer = func() (time.Duration, bool, bool) { return 0, false, true }
				h.run = func([]byte) {}
			}
			w.receive = func(netip.AddrPort, *message) {}
			w.install(snapshot(t, first), 0)
			w.run(w.now)
			send := func(kind packet.Kind, token uint64) {
				b := datagramOf(holds, kind, 1, 0, token, nil)
				h := headerOf(b)
				h.Caller = netip.MustParseAddrPort("10.0.0.1:5683")
				w.fabric(h, b)
				w.run(w.now.Add(time.Second / 2))
			}
			// The new keeper holds requests back until the deadline has passed.
			send(packet.KindIdempotent, 2)
			w.run(w.now.Add(holdDeadline))
			w.arrived = 0
			send(kind, 1)
			require.Equal(t, 1, w.arrived)
			second := document()
			second.Services[1].Upstreams = first.Services[0].Upstreams
			second.Services[0].Upstreams = nil
			s, err := config.NewSnapshot(3, second)
			require.NoError(t, err)
			w.hosts[second.Services[1].Upstreams[0].Address].service = photos
			w.install(s, 0)
			w.run(w.now)
			canceled := w.canceled
			send(kind, 1)
			w.run(w.now.Add(5 * time.Minute))
			require.Zero(t, w.wrong)
			require.Equal(t, canceled, w.canceled, "a cancel at the other service")
		})
	}
}
