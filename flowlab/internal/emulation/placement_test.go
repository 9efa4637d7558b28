package emulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// zoneLoad returns the load of lfl-edge's first users in one zone. 350 requests
// a second fill all slots.
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

// fault returns a fault from second 2 to second 4.
func fault(kind string, share, factor float64) Fault {
	return Fault{
		Kind:   kind,
		At:     Duration{2 * time.Second},
		For:    Duration{2 * time.Second},
		Share:  share,
		Factor: factor,
	}
}

// TestPlacementUnderLoad plays loads with each placement. The forwarder, which
// sees a third of the flows, must answer as many requests on time as rendezvous
// hashing alone, within a third of tolerance, and, unless hosts crash, as many
// as the placement by the fewest flows, which sees all flows, within tolerance.
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
				t.Logf("%-12s %.3f on time", placement, share[placement])
			}
			require.GreaterOrEqual(t, share[PlacementForwarder], share[PlacementRendezvous]-tolerance/3)
			if !test.crash {
				require.GreaterOrEqual(t, share[PlacementForwarder], share[PlacementLeastFlows]-tolerance)
			}
		})
	}
}

// TestPlacementNearBound checks that balancers with the shapes of real deployments answer at
// most 0.03 less of the requests on time than a placement that knows all queues, speeds and
// failures, while load is at its worst.
func TestPlacementNearBound(t *testing.T) {
	const tolerance = 0.03
	for _, test := range []struct {
		load      string
		balancers int
		seeds     uint64
		length    time.Duration
	}{
		{
			load:      "few-burst",
			balancers: 6,
			seeds:     3,
			length:    12 * time.Second,
		},
		{
			load:      "few-slow",
			balancers: 6,
			seeds:     10,
			length:    12 * time.Second,
		},
		{
			load:      "many-burst",
			balancers: 295,
			seeds:     1,
			length:    8 * time.Second,
		},
		{
			load:      "many-slow",
			balancers: 295,
			seeds:     1,
			length:    8 * time.Second,
		},
		{
			load:      "many-loss",
			balancers: 295,
			seeds:     1,
			length:    8 * time.Second,
		},
	} {
		if isLargeLoad(test.load) && !playsLargeLoads {
			continue
		}
		t.Run(test.load, func(t *testing.T) {
			t.Parallel()
			l := readLoad(t, test.load)
			l.Length.Duration = test.length
			share := make(map[string]float64)
			for _, placement := range []string{PlacementForwarder, PlacementKnown} {
				for seed := range test.seeds {
					r := play(t, l, Options{
						Balancers: test.balancers,
						Policy:    PolicyProbed,
						Placement: placement,
						Seed:      seed + 1,
					})
					share[placement] += r.Total().OnTimeShare() / float64(test.seeds)
				}
			}
			require.GreaterOrEqual(t, share[PlacementForwarder], share[PlacementKnown]-tolerance)
		})
	}
}
