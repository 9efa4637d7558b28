package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// TestForwarderKeepsFlowsOfHostsThatACopyLacks checks that a flow of a living host, which
// the store's copy lacks, is not reset because the copy lists an older host, which is dead,
// at its address.
func TestForwarderKeepsFlowsOfHostsThatACopyLacks(t *testing.T) {
	for _, test := range []struct {
		name string
		// knewOlder tells that the balancer has seen the older host leave.
		knewOlder bool
	}{
		{
			name:      "the balancer has seen the older host leave",
			knewOlder: true,
		},
		{
			name: "the balancer started since then",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 0)
			older := func(u *directory.Upstream) { u.StartedAt = f.now.Add(-time.Hour) }
			f.host("b0", "a", "plans", older)
			copied := f.dir.Since(directory.Position{})
			copied.Era = 2
			if test.knewOlder {
				f.remove("b0")
			} else {
				f.dir = directory.New()
				f.revision = 0
				f.set(directory.Item{
					Key:  directory.Key{Kind: directory.KindPlan},
					Plan: plan(1, boardAddress, plansAddress),
				})
			}
			address := copied.Items[1].Upstream.Address
			f.host("a9", "a", "board", func(u *directory.Upstream) {
				u.Address = address
				u.StartedAt = f.now.Add(-time.Minute)
			})
			c := f.client(boardAddress).establish()
			require.Equal(t, "a9", c.host.ID)
			_, err := f.dir.Apply(f.now, copied)
			require.NoError(t, err)
			require.Equal(t, Forward, c.request().Action)
			f.advance(200 * time.Millisecond)
			d := c.retransmit()
			require.Equal(t, Forward, d.Action, "%v", d.Reason)
			require.Equal(t, "a9", d.Upstream.ID)
		})
	}
}

// TestNewFlowsGoToTheFallback checks that a flow is placed by the store's own items where
// those that are retained from before a restore leave no host.
func TestNewFlowsGoToTheFallback(t *testing.T) {
	f := newFixture(t, 0)
	f.host("a9", "a", "board")
	copied := f.dir.Since(directory.Position{})
	copied.Era = 2
	f.set(directory.Item{Key: directory.Key{
		Kind: directory.KindZoneOut,
		Name: "a",
	}})
	require.Equal(t, ReasonNoUpstream, f.client(boardAddress).open().Reason)
	_, err := f.dir.Apply(f.now, copied)
	require.NoError(t, err)
	d := f.client(boardAddress).open()
	require.Equal(t, ReasonPlaced, d.Reason)
	require.Equal(t, "a9", d.Upstream.ID)
}
