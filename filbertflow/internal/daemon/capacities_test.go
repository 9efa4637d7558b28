package daemon

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/load"
)

// TestCapacityChangesAreLogged checks that an upstream that turns slow and one that recovers are
// told of once each, also by a balancer that collects several groups. Recoveries were left out, and
// the digest of one group made those of the others look like changes.
func TestCapacityChangesAreLogged(t *testing.T) {
	d := newDaemon(t)
	var out strings.Builder
	d.log = logs.New(&out, "lb-1", logrus.InfoLevel, 100)
	now := time.Now()
	_, err := d.syncer.dir.Apply(now, &directory.Delta{
		Revision: 2,
		Items: []directory.Item{
			{
				Key: directory.Key{
					Kind: directory.KindUpstream,
					Name: "i-0a",
				},
				Revision: 1,
				Upstream: &directory.Upstream{
					ID:      "i-0a",
					Service: "board",
					Zone:    "a",
					Slots:   8,
				},
			},
			{
				Key: directory.Key{
					Kind: directory.KindUpstream,
					Name: "i-0b",
				},
				Revision: 2,
				Upstream: &directory.Upstream{
					ID:      "i-0b",
					Service: "board",
					Zone:    "a",
					Slots:   8,
				},
			},
		},
	})
	require.NoError(t, err)
	hosts := d.syncer.dir.View(now, func(*directory.Upstream) bool { return false }).InZone("a")
	require.Len(t, hosts, 2)
	e := newLoadExchange(d.syncer)
	groups := []*groupCollector{{}, {}}
	// Each step is the capacity of the upstreams in their digests; zero is usual.
	for _, capacities := range [][]float64{{0, 0}, {2, 2}, {2.2, 2}, {1.9, 2}, {0, 2}, {7, 2}} {
		for i, c := range capacities {
			digest := &load.Digest{Balancers: 3}
			if c > 0 {
				digest.Totals = []load.Total{{
					Ticket:   hosts[i].Ticket(),
					Capacity: c,
					Answers:  40,
				}}
			}
			e.logCapacities(now, groups[i], hosts[i:i+1], digest)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.log.Run(ctx)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 3)
	require.EqualValues(t, 3, d.counters.capacityChanges.Load())
	for i, parts := range [][]string{
		{`"before":8`, `"capacity":2`, `"answers":40`, `"balancers":3`, `"upstream":"` + hosts[0].ID + `"`},
		{`"before":8`, `"capacity":2`, `"upstream":"` + hosts[1].ID + `"`},
		{`"before":2`, `"capacity":8`, `"upstream":"` + hosts[0].ID + `"`},
	} {
		for _, p := range parts {
			require.Contains(t, lines[i], p)
		}
	}
}
