package balancer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
)

// TestLaterBlocks checks that all blocks of an answer come from one upstream:
// if that upstream can't serve a later block, the caller is told so.
func TestLaterBlocks(t *testing.T) {
	cases := []struct {
		name string
		// change may make the upstream of the first block unusable.
		change func(sm *simulation, u *config.Upstream)
		want   verdict.Verdict
		reason verdict.Reason
	}{
		{
			name:   "same upstream",
			change: func(*simulation, *config.Upstream) {},
			want:   verdict.Answered,
		},
		{
			name: "busy",
			change: func(sm *simulation, u *config.Upstream) {
				for _, n := range sm.nodes {
					for range u.Slots {
						n.balancer.Keeper().Limiter(u).AdmitRequest(sm.now)
					}
				}
			},
			reason: verdict.ReasonBusy,
			want:   verdict.NotRun,
		},
		{
			name: "shed",
			change: func(sm *simulation, u *config.Upstream) {
				sm.hosts[u.Address].answer = func() (time.Duration, bool, bool) { return 0, true, false }
			},
			reason: verdict.ReasonShed,
			want:   verdict.NotRun,
		},
		{
			name: "removed",
			change: func(sm *simulation, u *config.Upstream) {
				sm.patch(config.Operation{RemoveUpstream: &config.RemoveUpstream{
					Service: "photos",
					Name:    u.Name,
				}})
			},
			reason: verdict.ReasonNoUpstream,
			want:   verdict.NotRun,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sm := newSimulation(1, reliable, largeLimits, "a", "a", "b")
			d := &driver{simulation: sm}
			d.serve(document())
			at := make(map[uint64]netip.AddrPort)
			for a, h := range sm.hosts {
				h.answer = func() (time.Duration, bool, bool) { return 0, false, false }
				h.run = func(content []byte) { at[uint64(content[12])] = a }
			}
			var last *message
			sm.receive = func(_ netip.AddrPort, m *message) { last = m }
			sm.install(snapshot(t, document()), 0)
			sm.run(sm.now.Add(holdDeadline)) // new keepers count all slots as taken
			sm.fetchBlock(1, nil)
			require.Equal(t, verdict.Answered, last.verdict)
			s := sm.config.Document.Services[1]
			for i := range s.Upstreams {
				if s.Upstreams[i].Address == at[1] {
					c.change(sm, &s.Upstreams[i])
				}
			}
			sm.run(sm.now.Add(maxConfigDelay))
			sm.fetchBlock(2, last.ticket)
			require.Equal(t, c.want, last.verdict)
			require.Equal(t, c.reason, last.reason)
			if c.want == verdict.Answered {
				require.Equal(t, at[1], at[2])
			}
		})
	}
}

// fetchBlock requests a block of an answer and waits for the block or for the
// refusal after its time in a queue.
func (sm *simulation) fetchBlock(number uint64, ticket []byte) {
	b := datagramOf(photos, packet.KindIdempotent, number, 0, number, ticket)
	h := headerOf(b)
	h.Caller = netip.MustParseAddrPort("10.0.0.1:5683")
	sm.sendToAnyNode(h, b)
	sm.run(sm.now.Add(holdDeadline + time.Second))
}
