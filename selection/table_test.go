package selection_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/rendezvous"
	"filbertworks.example/filbertworks/selection"
)

// maxImbalance is the highest load of a host relative to the mean.
const maxImbalance = 1.2

// maxConcentration is the highest probability with which a digest may let a host be chosen,
// relative to its share of the capacity. An idle host among others has 3 with these loads.
const maxConcentration = 3.5

// shares returns how often each host of a table is drawn.
func shares(table *selection.Table, n int, load func(i int) float64) []float64 {
	const samples = 40000
	drawn := make([]float64, n)
	for i := range uint64(samples) {
		drawn[table.Pick(rendezvous.Mix(i), nil, load)] += 1.0 / samples
	}
	return drawn
}

// TestReset guards against weights that don't fit the room of the hosts.
func TestReset(t *testing.T) {
	for _, c := range []struct {
		name     string
		hosts    []selection.Host
		arriving float64
		shares   []float64
	}{
		{
			name:     "idle hosts by capacity",
			hosts:    []selection.Host{{Capacity: 3}, {Capacity: 1}},
			arriving: 2,
			shares:   []float64{0.75, 0.25},
		},
		{
			name:     "loads are evened out",
			hosts:    []selection.Host{{Load: 1, Capacity: 2}, {Load: 3, Capacity: 2}},
			arriving: 4,
			shares:   []float64{0.95*0.75 + 0.025, 0.95*0.25 + 0.025},
		},
		{
			name:     "a host above the level keeps the least share",
			hosts:    []selection.Host{{Load: 9, Capacity: 2}, {Load: 1, Capacity: 2}, {Load: 1, Capacity: 2}},
			arriving: 2,
			shares:   []float64{0.05 / 3, 0.475 + 0.05/3, 0.475 + 0.05/3},
		},
		{
			name:     "overloaded hosts by excess",
			hosts:    []selection.Host{{Load: 20, Capacity: 2}, {Load: 22, Capacity: 2}},
			arriving: 6,
			shares:   []float64{0.95*4/6 + 0.025, 0.95*2/6 + 0.025},
		},
		{
			name:     "no capacity gets nothing",
			hosts:    []selection.Host{{Capacity: 2}, {}, {Capacity: 2}},
			arriving: 2,
			shares:   []float64{0.5, 0, 0.5},
		},
		{
			name:     "all without capacity count alike",
			hosts:    []selection.Host{{Load: 1}, {Load: 1}},
			arriving: 2,
			shares:   []float64{0.5, 0.5},
		},
		{
			name:     "nothing arrives",
			hosts:    []selection.Host{{Capacity: 3}, {Load: 2, Capacity: 1}},
			arriving: 0,
			shares:   []float64{0.75, 0.25},
		},
		{
			name:     "arrival isn't a number",
			hosts:    []selection.Host{{Capacity: 3}, {Load: 2, Capacity: 1}},
			arriving: math.NaN(),
			shares:   []float64{0.75, 0.25},
		},
		{
			name:     "infinite arrival",
			hosts:    []selection.Host{{Capacity: 3}, {Load: 2, Capacity: 1}},
			arriving: math.Inf(1),
			shares:   []float64{0.75, 0.25},
		},
		{
			name:     "arrival is lost by rounding",
			hosts:    []selection.Host{{Load: 1e12, Capacity: 3}, {Load: 1e12, Capacity: 3}},
			arriving: math.SmallestNonzeroFloat64,
			shares:   []float64{0.5, 0.5},
		},
		{
			name:     "invalid capacity gets nothing",
			hosts:    []selection.Host{{Capacity: math.Inf(1)}, {Capacity: math.NaN()}, {Capacity: -1}, {Capacity: 1}},
			arriving: 2,
			shares:   []float64{0, 0, 0, 1},
		},
		{
			name:     "invalid load is a host without room",
			hosts:    []selection.Host{{Load: math.NaN(), Capacity: 2}, {Load: math.Inf(1), Capacity: 2}, {Capacity: 2}},
			arriving: 2,
			shares:   []float64{0.05 / 3, 0.05 / 3, 0.95 + 0.05/3},
		},
		{
			name:     "negative load is none",
			hosts:    []selection.Host{{Load: -5, Capacity: 2}, {Load: math.Inf(-1), Capacity: 2}},
			arriving: 2,
			shares:   []float64{0.5, 0.5},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var table selection.Table
			// What an earlier, longer list left in the memory must not show.
			table.Reset(make([]selection.Host, 50), 3)
			table.Reset(c.hosts, c.arriving)
			require.InDeltaSlice(t, c.shares, shares(&table, len(c.hosts), nil), 0.01)
		})
	}
}

// TestAnyInput guards against hosts without capacity, indexes out of range and choices that
// differ between equal calls, whatever the numbers are.
func TestAnyInput(t *testing.T) {
	number := rapid.OneOf(
		rapid.Float64Range(0, 100),
		rapid.Float64(),
		rapid.SampledFrom([]float64{0, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, math.SmallestNonzeroFloat64}),
	)
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]selection.Host, rapid.IntRange(0, 20).Draw(t, "hosts"))
		usable := false
		for i := range hosts {
			hosts[i] = selection.Host{
				Load:     number.Draw(t, "load"),
				Capacity: number.Draw(t, "capacity"),
			}
			usable = usable || hosts[i].Capacity >= 1e-9 && !math.IsInf(hosts[i].Capacity, 1)
		}
		arriving := number.Draw(t, "arriving")
		var table, other selection.Table
		table.Reset(hosts, arriving)
		other.Reset(hosts, 1)
		other.Reset(hosts, arriving)
		loads := rapid.SliceOfN(number, len(hosts), len(hosts)).Draw(t, "loads")
		load := func(i int) float64 { return loads[i] }
		for range 10 {
			hash := rapid.Uint64().Draw(t, "hash")
			i := table.Pick(hash, nil, load)
			require.Equal(t, i, other.Pick(hash, nil, load))
			if len(hosts) == 0 {
				require.Equal(t, -1, i)
				continue
			}
			require.True(t, i >= 0 && i < len(hosts))
			if usable {
				require.Positive(t, hosts[i].Capacity)
			}
		}
	})
}

// TestPick guards against choices that ignore the caller's functions.
func TestPick(t *testing.T) {
	hosts := make([]selection.Host, 4)
	for i := range hosts {
		hosts[i].Capacity = 2
	}
	var table selection.Table
	require.Equal(t, -1, table.Pick(1, nil, nil))
	table.Reset(hosts, 4)

	draws := 0
	require.Equal(t, -1, table.Pick(1, func(int) bool {
		draws++
		return false
	}, nil))
	require.Equal(t, 8, draws)

	found := 0
	for hash := range uint64(1000) {
		i := table.Pick(hash, func(i int) bool { return i == 2 }, func(int) float64 { return 0 })
		if i != -1 {
			require.Equal(t, 2, i)
			found++
		}
	}
	// All 8 draws miss one of four equal hosts with a probability of 0.1.
	require.InDelta(t, 0.9, float64(found)/1000, 0.04)

	// A host that the caller knows to be busy is chosen only if it is drawn twice.
	busy := func(i int) float64 {
		if i == 1 {
			return 1
		}
		return 0
	}
	require.InDelta(t, 1.0/16, shares(&table, len(hosts), busy)[1], 0.01)
	// A host that can't be told from idle ones is not chosen for its load.
	broken := func(i int) float64 {
		if i == 1 {
			return math.NaN()
		}
		return 0
	}
	require.InDelta(t, 1.0/16, shares(&table, len(hosts), broken)[1], 0.01)
}

// TestAllocations guards against garbage for each first packet and each digest.
func TestAllocations(t *testing.T) {
	hosts, load := loaded(120)
	var table selection.Table
	table.Reset(hosts, 30)
	hash := uint64(0)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		hash++
		table.Pick(hash, func(i int) bool { return i%2 == 0 }, load)
	}))
	require.Zero(t, testing.AllocsPerRun(100, func() { table.Reset(hosts, 30) }))
}

// TestBalance guards against a busiest host, and against balancers that herd to the hosts
// that their common digest shows as idle. It logs what other policies do with the same load.
func TestBalance(t *testing.T) {
	for _, level := range []float64{0.3, 0.6, 0.9} {
		t.Run(fmt.Sprintf("%.0f%%", level*100), func(t *testing.T) {
			speeds := make([]float64, hostCount)
			for i := range speeds {
				speeds[i] = 1
			}
			half := replay(t, "table, 5 s", byTable, level, 5*time.Second, speeds)
			table := replay(t, "table", byTable, level, 10*time.Second, speeds)
			least := replay(t, "least load", byLeastLoad, level, 10*time.Second, speeds)
			two := replay(t, "two choices", byTwoChoices, level, 10*time.Second, speeds)
			random := replay(t, "random", byRandom, level, 10*time.Second, speeds)
			require.LessOrEqual(t, table.imbalance, maxImbalance)
			// At 30 %, a host gets 25 flows in 5 s, and their number varies by chance.
			if level > 0.5 {
				require.LessOrEqual(t, half.imbalance, maxImbalance)
			}
			require.Less(t, table.imbalance, min(least.imbalance, random.imbalance))
			// At 30 %, two choices are as good: the loads differ by chance only.
			require.Less(t, table.imbalance, two.imbalance+0.02)
			require.LessOrEqual(t, table.herd, maxConcentration)
		})
	}
}

// TestSlowHosts guards against work that doesn't fit the capacity of hosts.
func TestSlowHosts(t *testing.T) {
	for _, level := range []float64{0.3, 0.6, 0.9} {
		t.Run(fmt.Sprintf("%.0f%%", level*100), func(t *testing.T) {
			speeds := make([]float64, hostCount)
			for i := range speeds {
				speeds[i] = 1
				if i%3 == 0 {
					speeds[i] = 0.25
				}
			}
			table := replay(t, "table", byTable, level, 10*time.Second, speeds)
			replay(t, "least load", byLeastLoad, level, 10*time.Second, speeds)
			replay(t, "two choices", byTwoChoices, level, 10*time.Second, speeds)
			replay(t, "random", byRandom, level, 10*time.Second, speeds)
			require.InDelta(t, 1, table.slow, 0.15)
			require.LessOrEqual(t, table.usual, maxImbalance)
			require.LessOrEqual(t, table.herd, maxConcentration)
		})
	}
}

// A result is what a policy did, as the mean of several seeds.
type result struct {
	imbalance float64       // work of the busiest host by capacity, relative to the mean
	usual     float64       // the same among the usual hosts
	slow      float64       // work of all slow hosts, relative to their share of the capacity
	herd      float64       // highest probability that a table gives to a host, relative to its share
	wait      time.Duration // mean of the requests
}

func replay(t *testing.T, name string, choose policy, level float64, length time.Duration, speeds []float64) result {
	const seeds = 10
	var r result
	worst, rush := 0.0, 0.0
	for seed := range uint64(seeds) {
		f := newFleet(seed, level, speeds)
		f.sampled = strings.HasPrefix(name, "table")
		f.run(choose, 3*time.Second, length)
		i := imbalance(f.work, speeds)
		r.imbalance += i / seeds
		worst = max(worst, i)
		rush = max(rush, f.rush)
		r.herd = max(r.herd, f.herd)
		r.wait += f.waited / time.Duration(f.requests) / seeds
		var all, slow, capacity, slowCapacity float64
		var work, speed []float64
		for i, s := range speeds {
			all += f.work[i]
			capacity += s
			if s < 1 {
				slow += f.work[i]
				slowCapacity += s
			} else {
				work = append(work, f.work[i])
				speed = append(speed, s)
			}
		}
		r.usual += imbalance(work, speed) / seeds
		if slowCapacity > 0 {
			r.slow += slow / all / (slowCapacity / capacity) / seeds
		}
	}
	t.Logf("%-11s busiest %.2f (worst of %d seeds %.2f), usual hosts %.2f, slow hosts' part %.2f, most in an interval %.1f, highest probability %.1f, wait %v",
		name, r.imbalance, seeds, worst, r.usual, r.slow, rush, r.herd, r.wait.Round(100*time.Microsecond))
	return r
}

// loaded returns hosts with random loads.
func loaded(n int) (hosts []selection.Host, load func(i int) float64) {
	r := rand.New(rand.NewPCG(1, 1))
	hosts = make([]selection.Host, n)
	for i := range hosts {
		hosts[i] = selection.Host{
			Load:     r.Float64() * 10,
			Capacity: 2,
		}
	}
	return hosts, func(i int) float64 { return hosts[i].Load }
}

// BenchmarkPick has a scan of all hosts as its baseline.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{120, 3200} {
		hosts, load := loaded(n)
		var table selection.Table
		table.Reset(hosts, float64(n)*3)
		accept := func(i int) bool { return i%8 != 0 }
		b.Run(fmt.Sprintf("hosts=%d/way=table", n), func(b *testing.B) {
			b.ReportAllocs()
			hash := uint64(0)
			for b.Loop() {
				hash += 0x9e3779b97f4a7c15
				table.Pick(hash, accept, load)
			}
		})
		b.Run(fmt.Sprintf("hosts=%d/way=scan", n), func(b *testing.B) {
			b.ReportAllocs()
			best := 0
			for b.Loop() {
				for i := range n {
					if accept(i) && load(i) < load(best) {
						best = i
					}
				}
			}
		})
	}
}

func BenchmarkReset(b *testing.B) {
	for _, n := range []int{120, 3200} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			hosts, _ := loaded(n)
			var table selection.Table
			for b.Loop() {
				table.Reset(hosts, float64(n)*3)
			}
		})
	}
}

// TestEmptyHost guards against a host that has just started and gets most of the new flows, since
// it is empty: its share is at most twice that by its capacity.
func TestEmptyHost(t *testing.T) {
	hosts := make([]selection.Host, 40)
	for i := range hosts {
		hosts[i] = selection.Host{
			Load:     20,
			Capacity: 2,
		}
	}
	hosts[7].Load = 0
	table := &selection.Table{}
	table.Reset(hosts, 10)
	const draws = 100_000
	picked := 0
	for i := range uint64(draws) {
		if table.Pick(rendezvous.Mix(i+1), nil, nil) == 7 {
			picked++
		}
	}
	require.InDelta(t, 2.0/40, float64(picked)/draws, 0.005)
}
