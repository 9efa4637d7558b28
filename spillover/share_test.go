package spillover_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/spillover"
)

// zoneOf returns a known zone of 100 slots.
func zoneOf(working float64) spillover.Zone {
	return spillover.Zone{
		Working:  working,
		Capacity: 100,
		Known:    true,
	}
}

// TestShare guards against flows that are given without need, or to zones without room.
func TestShare(t *testing.T) {
	unknown := spillover.Zone{
		Working:  10,
		Capacity: 100,
	}
	takenOut := spillover.Zone{
		Working: 10,
		Known:   true,
	}
	small := spillover.Zone{
		Working:  10,
		Capacity: 50,
		Known:    true,
	}
	for _, c := range []struct {
		name    string
		own     spillover.Zone
		others  []spillover.Zone
		give    float64
		weights []float64
	}{
		{
			name:    "room at home",
			own:     zoneOf(99),
			others:  []spillover.Zone{zoneOf(0), zoneOf(10)},
			give:    0,
			weights: []float64{0, 0},
		},
		{
			name:    "excess by room",
			own:     zoneOf(160),
			others:  []spillover.Zone{zoneOf(30), small},
			give:    0.375,
			weights: []float64{70.0 / 110, 40.0 / 110},
		},
		{
			name:    "queue at home",
			own:     zoneOf(600),
			others:  []spillover.Zone{zoneOf(50), zoneOf(250)},
			give:    0.5,
			weights: []float64{5.0 / 6, 1.0 / 6},
		},
		{
			name:    "a zone above the level gets nothing",
			own:     zoneOf(300),
			others:  []spillover.Zone{zoneOf(220), zoneOf(80)},
			give:    1.0 / 3,
			weights: []float64{0, 1},
		},
		{
			name:    "all equally overloaded",
			own:     zoneOf(300),
			others:  []spillover.Zone{zoneOf(300), zoneOf(300)},
			give:    0,
			weights: []float64{0, 0},
		},
		{
			name:    "others are worse off",
			own:     zoneOf(120),
			others:  []spillover.Zone{zoneOf(200), zoneOf(150)},
			give:    0,
			weights: []float64{0, 0},
		},
		{
			name:    "unknown and taken out",
			own:     zoneOf(160),
			others:  []spillover.Zone{unknown, takenOut, zoneOf(0)},
			give:    0.375,
			weights: []float64{0, 0, 1},
		},
		{
			name:    "only unknown and taken out",
			own:     zoneOf(500),
			others:  []spillover.Zone{unknown, takenOut},
			give:    0,
			weights: []float64{0, 0},
		},
		{
			name:    "no other zone",
			own:     zoneOf(500),
			give:    0,
			weights: []float64{},
		},
		{
			name: "own load unknown",
			own: spillover.Zone{
				Working:  500,
				Capacity: 100,
			},
			others:  []spillover.Zone{zoneOf(0)},
			give:    0,
			weights: []float64{0},
		},
		{
			name: "own capacity too small to divide by",
			own: spillover.Zone{
				Working:  500,
				Capacity: math.SmallestNonzeroFloat64,
				Known:    true,
			},
			others:  []spillover.Zone{zoneOf(0)},
			give:    0,
			weights: []float64{0},
		},
		{
			name: "invalid zones",
			own:  zoneOf(160),
			others: []spillover.Zone{
				zoneOf(math.NaN()),
				zoneOf(math.Inf(1)),
				{
					Capacity: math.Inf(1),
					Known:    true,
				},
				{
					Capacity: math.NaN(),
					Known:    true,
				},
				{
					Capacity: -100,
					Known:    true,
				},
			},
			give:    0,
			weights: []float64{0, 0, 0, 0, 0},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			give, weights := spillover.Share(c.own, c.others)
			require.InDelta(t, c.give, give, 1e-9)
			require.InDeltaSlice(t, c.weights, weights, 1e-9)
		})
	}
}

// TestAnyInput guards against results that break the promises of Share, whatever the
// numbers are.
func TestAnyInput(t *testing.T) {
	number := rapid.OneOf(
		rapid.Float64Range(0, 500),
		rapid.Float64(),
		rapid.SampledFrom([]float64{0, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, math.SmallestNonzeroFloat64}),
	)
	zones := rapid.Custom(func(t *rapid.T) spillover.Zone {
		return spillover.Zone{
			Working:  number.Draw(t, "working"),
			Capacity: number.Draw(t, "capacity"),
			Known:    rapid.Bool().Draw(t, "known"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		own := zones.Draw(t, "own")
		others := rapid.SliceOfN(zones, 0, 12).Draw(t, "others")
		give, weights := spillover.Share(own, others)
		require.Len(t, weights, len(others))
		require.True(t, give >= 0 && give <= 1)
		sum := 0.0
		for i, w := range weights {
			require.True(t, w >= 0 && w <= 1)
			if w > 0 {
				require.True(t, others[i].Known)
				require.Positive(t, others[i].Capacity)
			}
			sum += w
		}
		if give > 0 {
			require.InDelta(t, 1, sum, 1e-9)
			require.True(t, own.Known)
			require.GreaterOrEqual(t, own.Working, own.Capacity)
		} else {
			require.Zero(t, sum)
		}
	})
}

// TestGivenIsBoundedByRoom guards against zones that give more than others have room for,
// also if several give at the same time, and against two zones that give to each other.
func TestGivenIsBoundedByRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) spillover.Zone {
			return spillover.Zone{
				Working:  rapid.Float64Range(0, 500).Draw(t, "working"),
				Capacity: rapid.Float64Range(1, 200).Draw(t, "capacity"),
				Known:    true,
			}
		}), 2, 9).Draw(t, "zones")
		working, capacity := 0.0, 0.0
		for _, z := range zones {
			working += z.Working
			capacity += z.Capacity
		}
		level := max(1, working/capacity)
		received := make([]float64, len(zones))
		gives := make([]bool, len(zones))
		for i, own := range zones {
			others := append(append([]spillover.Zone{}, zones[:i]...), zones[i+1:]...)
			give, weights := spillover.Share(own, others)
			gives[i] = give > 0
			for j, w := range weights {
				if j >= i {
					j++
				}
				received[j] += own.Working * give * w
			}
		}
		for i, z := range zones {
			require.LessOrEqual(t, received[i], max(0, level*z.Capacity-z.Working)+1e-6)
			require.False(t, gives[i] && received[i] > 0)
		}
	})
}

// TestShareRises guards against a share that jumps or falls when the own zone fills.
func TestShareRises(t *testing.T) {
	last := 0.0
	for working := 0.0; working <= 1000; working++ {
		give, _ := spillover.Share(zoneOf(working), []spillover.Zone{zoneOf(40), zoneOf(40)})
		require.GreaterOrEqual(t, give, last)
		require.LessOrEqual(t, give, last+0.013)
		last = give
	}
	require.Greater(t, last, 0.6)
}

// TestAllocations guards against garbage for each decision of a balancer.
func TestAllocations(t *testing.T) {
	others := make([]spillover.Zone, 8)
	for i := range others {
		others[i] = zoneOf(float64(i))
	}
	sum := 0.0
	require.Zero(t, testing.AllocsPerRun(100, func() {
		give, weights := spillover.Share(zoneOf(200), others)
		for _, w := range weights {
			sum += give * w
		}
	}))
	require.Positive(t, sum)
}

func BenchmarkShare(b *testing.B) {
	for _, n := range []int{3, 8} {
		b.Run(fmt.Sprintf("others=%d", n), func(b *testing.B) {
			others := make([]spillover.Zone, n)
			for i := range others {
				others[i] = zoneOf(float64(10 * i))
			}
			b.ReportAllocs()
			sum := 0.0
			for b.Loop() {
				give, weights := spillover.Share(zoneOf(200), others)
				sum += give + weights[0]
			}
		})
	}
}
