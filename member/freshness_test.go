package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
)

func TestFreshness(t *testing.T) {
	resumed := epoch.Add(time.Hour)
	for _, c := range []struct {
		name    string
		report  func(*Freshness)
		after   time.Duration
		inForce uint64
		want    bool
	}{
		{name: "no answer yet", after: ConfirmationTimeout - 1},
		{name: "no answer within the timeout", after: ConfirmationTimeout, want: true},
		{name: "a peer has the same version", report: func(t *Freshness) { t.PeerConfirmed(7) }, inForce: 7, want: true},
		{name: "a peer has a higher version", report: func(t *Freshness) { t.PeerConfirmed(8) }, inForce: 7, after: time.Hour},
		{name: "the higher version is in force", report: func(t *Freshness) { t.PeerConfirmed(8) }, inForce: 8, want: true},
		{name: "only the platform answered, before the grace period ended", report: func(t *Freshness) { t.PlatformConfirmed(resumed, 7) }, inForce: 7},
		{name: "only the platform answered", report: func(t *Freshness) { t.PlatformConfirmed(resumed, 7) }, inForce: 7, after: PeerGrace, want: true},
		{name: "a call of the platform from before the suspension", report: func(t *Freshness) { t.PlatformConfirmed(epoch, 7) }, inForce: 7, after: PeerGrace},
		{name: "the platform is stale, a peer has a higher version", report: func(t *Freshness) {
			t.PlatformConfirmed(resumed, 6)
			t.PeerConfirmed(8)
		}, inForce: 7, after: PeerGrace},
	} {
		t.Run(c.name, func(t *testing.T) {
			freshness := NewFreshness(epoch)
			freshness.PeerConfirmed(1)
			require.True(t, freshness.Confirmed(epoch, 1))
			_, paused := freshness.Tick(epoch.Add(PauseLimit - 1))
			require.False(t, paused)
			require.True(t, freshness.Confirmed(epoch, 1))
			since, paused := freshness.Tick(resumed)
			require.True(t, paused)
			require.Equal(t, epoch.Add(PauseLimit-1), since)
			if c.report != nil {
				c.report(freshness)
			}
			require.Equal(t, c.want, freshness.Confirmed(resumed.Add(c.after), config.Version(c.inForce)))
		})
	}
}
