package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// TestNoUsableHost guards against new flows that are rejected because none of the own zone's hosts
// counts as capacity: it is not known then what they take, and flows go as without sharing.
func TestNoUsableHost(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(*sharedZone)
	}{
		{
			name: "all hosts are cold",
			prepare: func(z *sharedZone) {
				for _, id := range []string{"a0", "a1", "a2", "a3"} {
					z.host(id, "a", "board", func(u *directory.Upstream) {
						u.StartedAt, u.WarmAt = z.now, z.now.Add(time.Minute)
					})
				}
				// Without a limit for cold hosts they take all.
				p := plan(100, boardAddress, plansAddress)
				p.Services[0].WarmupPerSecond = 0
				for i := range p.Routes {
					p.Routes[i].LatencyGoal, p.Routes[i].Targets[0].Service = goal, "board"
				}
				z.set(directory.Item{
					Key:  directory.Key{Kind: directory.KindPlan},
					Plan: p,
				})
			},
		},
		{
			name: "no host has answered the last first packet yet",
			prepare: func(z *sharedZone) {
				opened := make(map[string]bool)
				for len(opened) < 4 {
					opened[z.client(boardAddress).open().Upstream.ID] = true
				}
				z.advance(lateOpeningAfter)
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newSharedZone(t, 4, allSharing)
			z.zoneOut("b")
			test.prepare(z)
			z.tell(z.all(2))
			for range 100 {
				d := z.client(boardAddress).open()
				require.Equal(t, Forward, d.Action, d.Reason)
			}
		})
	}
}
