package emulation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// sharingBalancers is the number of balancers of the loads of load sharing: 27 in each of
// three zones, as in the baseline.
const sharingBalancers = 81

// playBoth plays a load without and with load sharing.
func playBoth(t *testing.T, load string, seed uint64) (probed, sharing *Result) {
	t.Helper()
	l := readLoad(t, load)
	o := Options{
		Balancers: sharingBalancers,
		Policy:    PolicyProbed,
		Seed:      seed,
	}
	probed = play(t, l, o)
	o.Policy = PolicySharing
	return probed, play(t, l, o)
}

// skipLarge leaves large loads to the run of scripts/test without the race detector, under which
// they take minutes.
func skipLarge(t *testing.T) {
	t.Helper()
	if !playsLargeLoads {
		t.Skip("large loads are played by the run without the race detector")
	}
}

// zoneShares returns the smallest share of two seconds that the requests of the worst and of the
// best zone were answered on time.
func zoneShares(r *Result) (worst, best float64) {
	worst = 1
	for i := range r.Zones {
		s := r.Zones[i].WorstOnTimeShare()
		worst, best = min(worst, s), max(best, s)
	}
	return worst, best
}

// TestSharing checks the targets of load sharing (docs/LOAD-SHARING.md). The failures without
// it: balancers that know the load of their own flows only herd to the same hosts, a full zone
// keeps its excess, and urgent requests fare like the others.
func TestSharing(t *testing.T) {
	skipLarge(t)
	const (
		// refusedDivisor is by how much refusals by hosts fall.
		refusedDivisor = 5
		// maxGap is by how much the worst zone may be below the best one.
		maxGap = 0.05
		// minUrgent is the least share of urgent requests answered on time in overload.
		minUrgent = 0.95
		urgent    = "urgent"
	)
	for _, test := range []struct {
		load string
		// spills reports whether one zone has less room than the others.
		spills bool
		// kinds reports whether the load has urgent and usual requests.
		kinds bool
	}{
		{
			load:   "share-zone",
			spills: true,
		},
		{
			load:  "share-kinds",
			kinds: true,
		},
		{load: "share-half"},
		{load: "share-congested"},
		{load: "share-changing"},
		{
			load:   "share-waves",
			spills: true,
		},
	} {
		t.Run(test.load, func(t *testing.T) {
			t.Parallel()
			worstUrgent := 1.0
			for seed := range uint64(2) {
				probed, sharing := playBoth(t, test.load, seed+1)
				require.Zero(t, sharing.LiveFlowResets)
				require.LessOrEqual(t, refusedDivisor*sharing.Total().Refused, probed.Total().Refused)
				require.Greater(t, sharing.Total().OnTimeShare(), probed.Total().OnTimeShare())
				worst, best := zoneShares(sharing)
				worstProbed, _ := zoneShares(probed)
				require.Greater(t, worst, worstProbed)
				if test.spills {
					require.LessOrEqual(t, best-worst, maxGap)
				}
				if test.kinds {
					require.Equal(t, urgent, sharing.Kinds[0].Name)
					share := sharing.Kinds[0].WorstOnTimeShare()
					require.Greater(t, share, probed.Kinds[0].WorstOnTimeShare())
					require.Greater(t, share, sharing.Kinds[1].WorstOnTimeShare())
					worstUrgent = min(worstUrgent, share)
				}
			}
			if test.kinds {
				t.Run(urgent, func(t *testing.T) { require.GreaterOrEqual(t, worstUrgent, minUrgent) })
			}
		})
	}
}

// TestSharingKeepsRoom checks that sharing loses nothing where equal hosts have room, and that
// the busiest host gets at most 1.2 times the mean.
func TestSharingKeepsRoom(t *testing.T) {
	skipLarge(t)
	t.Parallel()
	const maxBusiest = 1.2
	for seed := range uint64(2) {
		probed, sharing := playBoth(t, "share-equal", seed+1)
		require.GreaterOrEqual(t, sharing.Total().OnTimeShare(), probed.Total().OnTimeShare())
		require.LessOrEqual(t, sharing.Total().Refused, probed.Total().Refused)
		require.Zero(t, sharing.Total().Rejected)
		for i := range sharing.Zones {
			require.LessOrEqual(t, sharing.Zones[i].BusiestOverMean, maxBusiest)
		}
	}
}

// TestSharingWithoutReports checks that balancers decide as without load sharing while no
// message of it arrives. Each zone has so many balancers that a collector's own report is not
// enough for a digest.
func TestSharingWithoutReports(t *testing.T) {
	t.Parallel()
	l := readLoad(t, "few-burst")
	l.Faults[0].Zone = new(int)
	o := Options{
		Balancers: 12,
		Policy:    PolicyProbed,
		Seed:      1,
	}
	probed := play(t, l, o)
	o.Policy, o.loseReports = PolicySharing, true
	sharing := play(t, l, o)
	sharing.Options = probed.Options
	require.Equal(t, probed, sharing)
}
