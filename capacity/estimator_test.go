package capacity_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
)

var seed = flag.Uint64("capacity.seed", 1, "seed of the replays")

// zoneSizes are the numbers of balancers that scenarios are replayed with.
var zoneSizes = []int{6, 27, 100}

var (
	usualRoutes = []route{
		{
			work:  30 * time.Millisecond,
			sigma: 0.4,
			share: 1,
		},
	}
	longRoutes = []route{
		{
			work:  60 * time.Millisecond,
			sigma: 0.4,
			share: 1,
		},
	}
)

// newZone returns a zone of 30 hosts at rest.
func newZone(balancers int, seed uint64) *zone {
	return &zone{
		balancers: balancers,
		hosts:     30,
		slots:     4,
		rate:      12,
		routes:    usualRoutes,
		interval:  250 * time.Millisecond,
		seed:      seed,
	}
}

// bound is what the mean share of the slots of some hosts must be at some time.
type bound struct {
	at          time.Duration
	first, last int
	least, most float64
}

func TestEstimatorFollowsHosts(t *testing.T) {
	for _, test := range []struct {
		name   string
		alter  func(z *zone)
		bounds []bound
		// usualFrom is the first of the hosts that must never be below 0.8 of their slots
		// after warmup.
		usualFrom int
	}{
		{
			name: "four times slower, and recovers",
			alter: func(z *zone) {
				z.slow = func(host int, at time.Duration, _ int) float64 {
					if host < 5 && at > 20*time.Second && at < 35*time.Second {
						return 4
					}
					return 1
				}
			},
			bounds: []bound{
				{at: 20 * time.Second, last: 5, least: 0.9, most: 1},
				{at: 21 * time.Second, last: 5, most: 0.5},
				{at: 23 * time.Second, last: 5, most: 0.45},
				{at: 35 * time.Second, last: 5, least: 0.2, most: 0.4},
				{at: 38 * time.Second, last: 5, least: 0.8, most: 1},
			},
			usualFrom: 5,
		},
		{
			name: "half twice as slow",
			alter: func(z *zone) {
				z.routes = longRoutes
				z.slow = func(host int, _ time.Duration, _ int) float64 {
					if host < 15 {
						return 2
					}
					return 1
				}
			},
			bounds: []bound{
				{at: 20 * time.Second, last: 15, least: 0.45, most: 0.65},
				{at: 40 * time.Second, last: 15, least: 0.45, most: 0.65},
			},
			usualFrom: 15,
		},
		{
			name: "slow from half of the slots on",
			alter: func(z *zone) {
				z.rate = 30
				z.routes = longRoutes
				z.slow = func(host int, _ time.Duration, working int) float64 {
					if host < 10 && working >= 2 {
						return 4
					}
					return 1
				}
			},
			bounds: []bound{
				{at: 20 * time.Second, last: 10, least: 0.35, most: 0.65},
				{at: 40 * time.Second, last: 10, least: 0.35, most: 0.65},
			},
			usualFrom: 10,
		},
		{
			name: "changes each 5 s",
			alter: func(z *zone) {
				z.slow = func(host int, at time.Duration, _ int) float64 {
					if host < 5 && at/(5*time.Second)%2 == 1 {
						return 4
					}
					return 1
				}
			},
			bounds: []bound{
				{at: 23 * time.Second, last: 5, least: 0.8, most: 1},
				{at: 28 * time.Second, last: 5, most: 0.5},
				{at: 33 * time.Second, last: 5, least: 0.8, most: 1},
				{at: 38 * time.Second, last: 5, most: 0.5},
			},
			usualFrom: 5,
		},
		{
			name: "the whole service four times slower",
			alter: func(z *zone) {
				z.slow = func(_ int, at time.Duration, _ int) float64 {
					if at > 20*time.Second && at < 30*time.Second {
						return 4
					}
					return 1
				}
			},
		},
		{
			name: "two routes whose work differs by ten",
			alter: func(z *zone) {
				z.routes = []route{
					{
						work:  6 * time.Millisecond,
						sigma: 0.4,
						share: 0.5,
					},
					{
						work:  60 * time.Millisecond,
						sigma: 0.4,
						share: 0.5,
					},
				}
			},
		},
		{
			name: "40 % fail at once",
			alter: func(z *zone) {
				z.failing = func(host int, at time.Duration) float64 {
					if host < 5 && at > 10*time.Second {
						return 0.4
					}
					return 0
				}
			},
			bounds: []bound{
				{at: 20 * time.Second, last: 5, least: 0.5, most: 0.8},
				{at: 40 * time.Second, last: 5, least: 0.5, most: 0.8},
			},
			usualFrom: 5,
		},
		{
			name: "all fail at once",
			alter: func(z *zone) {
				z.failing = func(host int, at time.Duration) float64 {
					if host < 5 && at > 10*time.Second {
						return 1
					}
					return 0
				}
			},
			bounds: []bound{
				{at: 12 * time.Second, last: 5, most: 0.6},
				{at: 40 * time.Second, last: 5, least: 1.0 / 16, most: 0.3},
			},
			usualFrom: 5,
		},
		{
			name: "one balancer reports ratios of 100",
			alter: func(z *zone) {
				z.alter = func(balancer, _ int, o capacity.Observation) capacity.Observation {
					if balancer == 0 {
						return hostile(1, 100)
					}
					return o
				}
			},
		},
		{
			name: "one balancer reports a million slow answers of some hosts",
			alter: func(z *zone) {
				z.alter = func(balancer, host int, o capacity.Observation) capacity.Observation {
					if balancer == 0 && host < 15 {
						return hostile(1_000_000, 3)
					}
					return o
				}
			},
		},
		{
			name: "one balancer reports a million fast answers of half of the hosts",
			alter: func(z *zone) {
				z.alter = func(balancer, host int, o capacity.Observation) capacity.Observation {
					if balancer == 0 && host < 15 {
						return hostile(1_000_000, 0.01)
					}
					return o
				}
			},
		},
		{
			name: "one balancer reports a million failures",
			alter: func(z *zone) {
				z.alter = func(balancer, host int, o capacity.Observation) capacity.Observation {
					if balancer == 0 && host < 15 {
						o = hostile(1_000_000, 1)
						o.Quick = 1_000_000
					}
					return o
				}
			},
		},
		{
			name: "one balancer hides that hosts are slow",
			alter: func(z *zone) {
				z.slow = func(host int, _ time.Duration, _ int) float64 {
					if host < 5 {
						return 4
					}
					return 1
				}
				z.alter = func(balancer, _ int, o capacity.Observation) capacity.Observation {
					if balancer == 0 {
						return hostile(1_000_000, 1)
					}
					return o
				}
			},
			bounds: []bound{
				{at: 40 * time.Second, last: 5, least: 0.2, most: 0.65},
			},
			usualFrom: 5,
		},
	} {
		for _, balancers := range zoneSizes {
			t.Run(fmt.Sprintf("%s/%d", test.name, balancers), func(t *testing.T) {
				t.Parallel()
				z := newZone(balancers, *seed)
				test.alter(z)
				z.run(40*time.Second+time.Millisecond, func(at time.Duration) {
					for _, b := range test.bounds {
						if b.at == at {
							share := z.shares(b.first, b.last)
							if share < b.least || share > b.most {
								t.Errorf("at %v: hosts %d to %d have %.2f of their slots, want %.2f to %.2f", at, b.first, b.last, share, b.least, b.most)
							}
						}
					}
					// Fewer than three balancers have reported at first.
					for host := test.usualFrom; host < z.hosts && at > 5*time.Second; host++ {
						if z.share(host) < 0.8 {
							t.Errorf("at %v: host %d has %.2f of its slots", at, host, z.share(host))
						}
					}
				})
			})
		}
	}
}

// hostile returns an observation that no Learner has made.
func hostile(answers int, ratio float64) capacity.Observation {
	return capacity.Observation{
		Light: capacity.Cell{
			Answers: answers,
			Ratio:   ratio,
		},
	}
}

func TestEstimatorForgetsFormerStart(t *testing.T) {
	for _, test := range []struct {
		name    string
		restart func(u *directory.Upstream)
	}{
		{
			name:    "restart",
			restart: func(u *directory.Upstream) { u.StartedAt = epoch.Add(20 * time.Second) },
		},
		{
			name:    "release",
			restart: func(u *directory.Upstream) { u.Release = "2" },
		},
		{
			name:    "cold start",
			restart: func(u *directory.Upstream) { u.WarmAt = epoch.Add(21 * time.Second) },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newZone(27, 3)
			z.slow = func(host int, at time.Duration, _ int) float64 {
				if host == 0 && at < 20*time.Second {
					return 4
				}
				return 1
			}
			z.run(30*time.Second, func(at time.Duration) {
				switch {
				case at == 20*time.Second:
					require.Less(t, z.share(0), 0.5)
					require.True(t, z.estimates[0].Known)
					u := *z.upstreams[0]
					test.restart(&u)
					z.upstreams[0] = &u
				case at > 20*time.Second && at <= 21*time.Second:
					require.False(t, z.estimates[0].Known, "at %v", at)
					require.EqualValues(t, z.slots, z.estimates[0].Capacity, "at %v", at)
				case at > 21*time.Second:
					// Answers of the former start are late by up to 250 ms here, and by 1 s
					// where the zone is idle.
					require.Greater(t, z.share(0), 0.8, "at %v", at)
				}
			})
			require.True(t, z.estimates[0].Known)
		})
	}
}

// Observations about a former start may come 1 s late.
func TestEstimatorIgnoresLateObservations(t *testing.T) {
	e := capacity.NewEstimator()
	hosts := make([]*directory.Upstream, 5)
	for i := range hosts {
		hosts[i] = &directory.Upstream{
			ID:        fmt.Sprintf("i-%06x", i+1),
			Service:   "board",
			Slots:     4,
			StartedAt: epoch,
		}
	}
	add := func(at time.Duration, ratio float64) {
		for i, u := range hosts {
			for sender := range uint64(6) {
				if i == 0 {
					e.Add(epoch.Add(at), sender, u.Ticket(), hostile(2, ratio))
					continue
				}
				e.Add(epoch.Add(at), sender, u.Ticket(), hostile(2, 1))
			}
		}
	}
	for at := time.Duration(0); at < 4*time.Second; at += time.Second {
		add(at, 4)
	}
	require.Less(t, e.Estimate(epoch.Add(4*time.Second), hosts)[0].Capacity, 1.5)
	hosts[0] = &directory.Upstream{
		ID:        hosts[0].ID,
		Service:   "board",
		Slots:     4,
		StartedAt: epoch.Add(4 * time.Second),
	}
	require.False(t, e.Estimate(epoch.Add(4*time.Second), hosts)[0].Known)
	add(4500*time.Millisecond, 4)
	add(5*time.Second, 4)
	require.False(t, e.Estimate(epoch.Add(5*time.Second), hosts)[0].Known)
	add(6*time.Second, 1)
	got := e.Estimate(epoch.Add(6*time.Second), hosts)[0]
	require.True(t, got.Known)
	require.EqualValues(t, 4, got.Capacity)
}

func TestEstimatorKeepsEstimateOfSilentHost(t *testing.T) {
	z := newZone(27, 4)
	z.slow = func(host int, _ time.Duration, _ int) float64 {
		if host < 2 {
			return 4
		}
		return 1
	}
	z.silent = func(host int, at time.Duration) bool { return host < 2 && at > 20*time.Second }
	var before float64
	z.run(70*time.Second, func(at time.Duration) {
		if at == 21*time.Second {
			before = z.shares(0, 2)
			require.Less(t, before, 0.5)
		}
		if at == 45*time.Second {
			require.InDelta(t, before, z.shares(0, 2), 0.25)
			require.Greater(t, z.estimates[0].Age, 20*time.Second)
		}
	})
	require.False(t, z.estimates[0].Known)
	require.EqualValues(t, z.slots, z.estimates[0].Capacity)
}
