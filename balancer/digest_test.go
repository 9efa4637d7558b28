package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/balancer"
	"filbertworks.example/filbertworks/wire"
)

// controlBudget is the maximum rate of control traffic of a daemon, in bytes
// per second.
const controlBudget = 29000

func TestDigestSchedulerLimitsRate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := balancer.NewDigestScheduler()
		peers := rapid.IntRange(0, 1000).Draw(r, "peers")
		loads := make([]wire.Load, rapid.IntRange(0, 150).Draw(r, "upstreams"))
		for i := range loads {
			loads[i].Upstream = uint32(i + 1)
		}
		bytes := 0
		const seconds = 20
		next := 0
		for now := epoch; now.Before(epoch.Add(seconds * time.Second)); now = now.Add(balancer.DigestInterval) {
			for i := range loads {
				loads[i].Requests = wire.Level(rapid.Byte().Draw(r, "level"))
			}
			b, first, end := d.Next(now, loads, peers)
			bytes += (end - first) * (len(b) + 28)
			if end > first {
				require.Equal(r, next, first, "peers are not served in turn")
				next = end % peers
			}
		}
		require.LessOrEqual(r, bytes, controlBudget*seconds)
	})
}

func TestDigestSchedulerSendsChanges(t *testing.T) {
	d := balancer.NewDigestScheduler()
	tests := []struct {
		name  string
		after time.Duration
		level wire.Level
		sent  bool
	}{
		{
			name:  "new",
			level: 50,
			sent:  true,
		},
		{
			name:  "small change",
			after: time.Second,
			level: 55,
		},
		{
			name:  "material change",
			after: time.Second,
			level: 65,
			sent:  true,
		},
		{
			name:  "unchanged",
			after: 2500 * time.Millisecond,
			level: 65,
		},
		{
			name:  "unchanged for long",
			after: 3500 * time.Millisecond,
			level: 65,
			sent:  true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b, first, end := d.Next(epoch.Add(test.after), []wire.Load{{
				Upstream: 1,
				Requests: test.level,
			}}, 8)
			require.Equal(t, test.sent, len(b) > 0)
			if test.sent {
				require.Equal(t, 8, end-first)
			}
		})
	}
}
