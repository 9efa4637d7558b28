package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
)

func TestTrust(t *testing.T) {
	woken := epoch.Add(time.Hour)
	for _, c := range []struct {
		name    string
		told    func(*Freshness)
		after   time.Duration
		inForce uint64
		want    bool
	}{
		{name: "nobody answered yet", after: ConfirmationTimeout - 1},
		{name: "alone for the limit", after: ConfirmationTimeout, want: true},
		{name: "a peer has the same version", told: func(t *Freshness) { t.PeerConfirmed(7) }, inForce: 7, want: true},
		{name: "a peer has a higher version", told: func(t *Freshness) { t.PeerConfirmed(8) }, inForce: 7, after: time.Hour},
		{name: "the higher version came", told: func(t *Freshness) { t.PeerConfirmed(8) }, inForce: 8, want: true},
		{name: "the platform alone, too early", told: func(t *Freshness) { t.PlatformConfirmed(woken, 7) }, inForce: 7},
		{name: "the platform alone", told: func(t *Freshness) { t.PlatformConfirmed(woken, 7) }, inForce: 7, after: PeerGrace, want: true},
		{name: "a call of the platform from before the pause", told: func(t *Freshness) { t.PlatformConfirmed(epoch, 7) }, inForce: 7, after: PeerGrace},
		{name: "a stale platform, a peer ahead of it", told: func(t *Freshness) {
			t.PlatformConfirmed(woken, 6)
			t.PeerConfirmed(8)
		}, inForce: 7, after: PeerGrace},
	} {
		t.Run(c.name, func(t *testing.T) {
			trust := NewFreshness(epoch)
			trust.PeerConfirmed(1)
			require.True(t, trust.Confirmed(epoch, 1))
			_, paused := trust.Tick(epoch.Add(PauseLimit - 1))
			require.False(t, paused)
			require.True(t, trust.Confirmed(epoch, 1))
			since, paused := trust.Tick(woken)
			require.True(t, paused)
			require.Equal(t, epoch.Add(PauseLimit-1), since)
			if c.told != nil {
				c.told(trust)
			}
			require.Equal(t, c.want, trust.Confirmed(woken.Add(c.after), config.Version(c.inForce)))
		})
	}
}
