package balancer_test

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
)

// TestRetryAmplification checks that retries and offers to other upstreams add
// at most a tenth to the offered load, and that callers don't notice a low rate
// of sheds.
func TestRetryAmplification(t *testing.T) {
	cases := []struct {
		name string
		// rate is the number of requests per second, shed the fraction that upstreams
		// shed.
		rate int
		shed float64
		// answered is the minimum fraction of answered requests.
		answered float64
	}{
		{
			name:     "few sheds",
			rate:     5,
			shed:     0.05,
			answered: 0.975, // at least half of the sheds are hidden
		},
		{
			name: "most are shed",
			rate: 20,
			shed: 0.8,
		},
		{
			name: "more than the slots can serve",
			rate: 400,
		},
		{
			name: "overload with sheds",
			rate: 400,
			shed: 0.5,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sm := newSimulation(1, reliable, keeper.Limits{Exchanges: 1000, LedgerEntries: 1000}, "a", "a", "b")
			d := &driver{simulation: sm}
			d.serve(document())
			for _, h := range sm.hosts {
				h.run = func([]byte) {}
				h.answer = func() (time.Duration, bool, bool) {
					return sm.randomUpTo(100 * time.Millisecond), sm.random.Float64() < c.shed, false
				}
			}
			answered, offered := make(map[uint64]bool), 0
			sm.receive = func(_ netip.AddrPort, m *message) {
				if m.verdict != verdict.Answered {
					return
				}
				id := binary.BigEndian.Uint64(m.content[5:])
				require.Equal(t, binary.BigEndian.Uint64(m.token.Bytes[:]), id, "a caller got the answer to another request")
				answered[id] = true
			}
			sm.install(snapshot(t, document()), 0)
			const seconds = 60
			for offered < c.rate*seconds {
				id := uint64(offered)
				sm.after(sm.randomUpTo(seconds*time.Second), func() { sm.sendRequest(id) })
				offered++
			}
			sm.run(epoch.Add(2 * seconds * time.Second))
			t.Logf("offered %d, answered %d, at upstreams %d, retried %d", offered, len(answered), sm.arrived, sm.retried)
			require.LessOrEqual(t, float64(sm.retried), 0.1*float64(offered))
			require.LessOrEqual(t, float64(sm.arrived), 1.1*float64(offered))
			require.GreaterOrEqual(t, float64(len(answered)), c.answered*float64(offered))
		})
	}
}

// sendRequest sends an idempotent request once.
func (sm *simulation) sendRequest(id uint64) {
	b := datagramOf(photos, packet.KindIdempotent, id, 0, id, nil)
	h := headerOf(b)
	h.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, 0, 0}), uint16(1+id%60000))
	sm.sendToAnyNode(h, b)
}
