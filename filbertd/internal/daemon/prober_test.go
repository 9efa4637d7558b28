package daemon

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/upstream"
)

func TestProberBoundsItsRate(t *testing.T) {
	const upstreams, seconds = 50, 60
	p := newProber(rand.New(rand.NewPCG(1, 1)))
	limiters := make([]*upstream.Limiter, upstreams)
	for i := range limiters {
		limiters[i] = upstream.NewLimiter(&config.Upstream{Slots: 4})
	}
	start := time.Unix(0, 0)
	sent, most := 0, 0
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(probeCheckInterval) {
		atOnce := 0
		for id, l := range limiters {
			if q := p.next(now, uint32(id), l); q != nil {
				q.pending = false
				atOnce++
			}
		}
		sent += atOnce
		most = max(most, atOnce)
	}
	// Each upstream is probed once per second on average and never more often than
	// twice per second, and the upstreams are not all probed at the same time.
	require.LessOrEqual(t, sent, 2*upstreams*seconds)
	require.GreaterOrEqual(t, sent, upstreams*seconds/2)
	require.Less(t, most, upstreams/2)
	for _, l := range limiters {
		require.False(t, l.Down())
	}
}

func TestProberNoticesSilence(t *testing.T) {
	p := newProber(rand.New(rand.NewPCG(1, 1)))
	limiter := upstream.NewLimiter(&config.Upstream{Slots: 4})
	start := time.Unix(0, 0)
	// The first probe is sent within one interval, and each later one, which
	// reports the one before as lost, within one and a half intervals.
	due := probeInterval + upstream.DownAfter*probeInterval*3/2 + upstream.DownAfter*probeCheckInterval
	for now := start; !now.After(start.Add(due + probeCheckInterval)); now = now.Add(probeCheckInterval) {
		p.next(now, 1, limiter)
	}
	require.True(t, limiter.Down())
	p.sweep()
	p.sweep()
	require.Empty(t, p.probes)
}
