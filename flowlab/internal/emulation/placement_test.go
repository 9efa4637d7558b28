package emulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// zoneLoad is that of a zone of lfl-edge's first users: 350 requests a second fill
// all slots.
func zoneLoad(faults ...Fault) *Load {
	return &Load{
		Name:   "zone",
		Length: Duration{6 * time.Second},
		Zones:  1,
		Hosts: Hosts{
			Count: 5,
			Slots: 4,
			Queue: 16,
			Work:  Duration{57 * time.Millisecond},
		},
		Users: Users{
			Count:         100,
			Rate:          135,
			Requests:      12,
			LatencyTarget: Duration{300 * time.Millisecond},
			Deadline:      Duration{10 * time.Second},
		},
		Faults: faults,
	}
}

// fault returns a fault from second 2 to 4.
func fault(kind string, share, factor float64) Fault {
	return Fault{
		Kind:   kind,
		At:     Duration{2 * time.Second},
		For:    Duration{2 * time.Second},
		Share:  share,
		Factor: factor,
	}
}

// TestPlacementUnderLoad replays loads against placements: the forwarder, which
// sees a third of the flows, serves as many in aim as placements that see all,
// within allowed, and more than hashing alone.
func TestPlacementUnderLoad(t *testing.T) {
	const (
		seeds     = 10
		tolerance = 0.03
	)
	crash := fault(KindCrash, 0.4, 0)
	crash.For = Duration{time.Hour}
	slow := fault(KindSlow, 0.2, 6)
	slow.At, slow.For = Duration{}, Duration{time.Hour}
	for _, test := range []struct {
		name  string
		load  *Load
		crash bool
	}{
		{
			name: "usual",
			load: zoneLoad(),
		},
		{
			name: "burst of 1.7",
			load: zoneLoad(fault(KindBurst, 0, 1.7)),
		},
		{
			name: "burst of 3.5",
			load: zoneLoad(fault(KindBurst, 0, 3.5)),
		},
		{
			name: "a slow host",
			load: zoneLoad(slow),
		},
		{
			name:  "two hosts crash",
			load:  zoneLoad(crash),
			crash: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			share := make(map[string]float64)
			for _, placement := range Placements {
				for seed := range uint64(seeds) {
					r := play(t, test.load, Options{
						Balancers: 3,
						Policy:    PolicyProbed,
						Placement: placement,
						Seed:      seed + 1,
					})
					share[placement] += r.Total().OnTimeShare() / seeds
				}
				t.Logf("%-12s %.3f in aim", placement, share[placement])
			}
			require.GreaterOrEqual(t, share[PlacementForwarder], share[PlacementRendezvous]-tolerance/3)
			if !test.crash {
				require.GreaterOrEqual(t, share[PlacementForwarder], share[PlacementLeastFlows]-tolerance)
			}
		})
	}
}
