package spillover_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/spillover"
)

// maxJump is the largest change of the share from one digest to the next, so that it does
// not flip between 0 and 1.
const maxJump = 0.5

// lags are those of digests of other zones.
var lags = []time.Duration{250 * time.Millisecond, time.Second}

// A policy is a decision with a name.
type policy struct {
	name   string
	decide decision
}

// seeds returns how many seeds a test plays.
func (p *policy) seeds() uint64 {
	if p.name == "share" {
		return 3
	}
	return 1
}

// policies are Share and the alternatives that the note weighs.
var policies = []policy{
	{
		name:   "share",
		decide: spillover.Share,
	},
	{
		name:   "nothing given",
		decide: func(spillover.Zone, []spillover.Zone) (float64, []float64) { return 0, nil },
	},
	{
		name:   "priority levels",
		decide: byPriority,
	},
	{
		name:   "shortest queue",
		decide: byShortestQueue,
	},
	{
		name:   "proportional control",
		decide: byUtilization,
	},
}

// byPriority is the usual rule of priority levels: the own zone keeps its capacity times
// an overprovisioning factor of 1.4, and the rest goes to the next zone.
func byPriority(own spillover.Zone, others []spillover.Zone) (give float64, weights []float64) {
	weights = make([]float64, len(others))
	if !own.Known || own.Working <= 1.4*own.Capacity {
		return 0, weights
	}
	for i, o := range others {
		if o.Known && o.Working < 1.4*o.Capacity {
			weights[i] = 1
			return 1 - 1.4*own.Capacity/own.Working, weights
		}
	}
	return 0, weights
}

// byShortestQueue gives each flow to the zone with the least work per capacity, with a
// penalty of 0.2 for other zones.
func byShortestQueue(own spillover.Zone, others []spillover.Zone) (give float64, weights []float64) {
	weights = make([]float64, len(others))
	if !own.Known {
		return 0, weights
	}
	least := own.Working / own.Capacity
	best := -1
	for i, o := range others {
		if l := o.Working/o.Capacity + 0.2; o.Known && l < least {
			best, least = i, l
		}
	}
	if best < 0 {
		return 0, weights
	}
	weights[best] = 1
	return 1, weights
}

// byUtilization is like Share, but gives all flows from half a capacity above the level on.
func byUtilization(own spillover.Zone, others []spillover.Zone) (give float64, weights []float64) {
	give, weights = spillover.Share(own, others)
	if give > 0 {
		// The level follows from give = 1 - level/utilization.
		give = min(1, give*own.Working/own.Capacity/0.5)
	}
	return give, weights
}

// TestSurge guards against a zone that keeps its excess: it has 6 times its traffic for 6 s
// (shares of requests in time are of this time and 2 s after) or for 20 s, and all zones
// together have enough capacity.
func TestSurge(t *testing.T) {
	const begin = 5 * time.Second
	for _, lag := range lags {
		for _, length := range []time.Duration{6 * time.Second, 20 * time.Second} {
			for _, base := range []float64{0.2, 0.3, 0.35} {
				t.Run(fmt.Sprintf("%v/%v/%.2f", lag, length, base), func(t *testing.T) {
					for _, p := range policies {
						worst, jump, most := 1.0, 0.0, 0.0
						for seed := range p.seeds() {
							m := newModel(seed, 3, lag)
							m.decide = p.decide
							m.counted = begin
							m.demand = func(zone int, now time.Duration) float64 {
								if zone == 0 && now >= begin && now < begin+length {
									return 6 * base
								}
								return base
							}
							last := -1.0
							m.observe = func() {
								give := m.zones[0].give
								most = max(most, give)
								// The surge itself may raise the share at once.
								if m.now > begin+time.Second && m.now < begin+length {
									if last >= 0 {
										jump = max(jump, math.Abs(give-last))
									}
									last = give
								}
							}
							m.run(begin + length + 2*time.Second)
							best := max(m.served(0), m.served(1), m.served(2))
							worst = min(worst, 1+m.served(0)-best, 1+m.served(1)-best, 1+m.served(2)-best)
						}
						t.Logf("%-20s worst zone %.3f below the best, most given %.2f, largest change in a digest %.2f", p.name, 1-worst, most, jump)
						if p.name == "share" {
							require.LessOrEqual(t, 1-worst, 0.05)
							require.Less(t, most, 0.9)
							require.Less(t, jump, maxJump)
						}
					}
				})
			}
		}
	}
}

// TestWaves guards against flows that move in circles while the demand of four zones waves
// by half every 15 s, out of step.
func TestWaves(t *testing.T) {
	for _, c := range []struct{ own, others time.Duration }{
		{
			own:    250 * time.Millisecond,
			others: 250 * time.Millisecond,
		},
		{
			own:    250 * time.Millisecond,
			others: time.Second,
		},
		{
			own:    time.Second,
			others: time.Second,
		},
	} {
		for _, mean := range []float64{0.6, 0.85} {
			t.Run(fmt.Sprintf("%v/%v/%.2f", c.own, c.others, mean), func(t *testing.T) {
				for _, p := range policies {
					worst, jump, most, moved, circle := 1.0, 0.0, 0.0, 0.0, time.Duration(0)
					for seed := range p.seeds() {
						m := newModel(seed, 4, c.others)
						m.ownLag = c.own
						m.decide = p.decide
						m.counted = 5 * time.Second
						m.demand = func(zone int, now time.Duration) float64 {
							return mean * (1 + 0.5*math.Sin(2*math.Pi*(now.Seconds()/15+float64(zone)/4)))
						}
						var last [4]float64
						var mutual [4][4]time.Duration
						m.observe = func() {
							for i := range m.zones {
								y := &m.zones[i]
								most = max(most, y.give)
								jump = max(jump, math.Abs(y.give-last[i]))
								last[i] = y.give
								for j := range i {
									z := &m.zones[j]
									if y.give*y.weights[j] > 0 && z.give*z.weights[i] > 0 {
										mutual[i][j] += digestInterval
										circle = max(circle, mutual[i][j])
									} else {
										mutual[i][j] = 0
									}
								}
							}
						}
						m.run(50 * time.Second)
						for i := range m.zones {
							worst = min(worst, m.served(i))
							moved += float64(m.zones[i].given) / float64(m.zones[i].flows) / 4 / float64(p.seeds())
						}
					}
					t.Logf("%-20s worst zone %.3f in time, most given %.2f, largest change in a digest %.2f, mutual %v, moved %.3f", p.name, worst, most, jump, circle, moved)
					if p.name == "share" {
						require.GreaterOrEqual(t, worst, 0.95)
						require.Less(t, most, 0.9)
						require.Less(t, jump, maxJump)
						require.LessOrEqual(t, circle, time.Second)
					}
				}
			})
		}
	}
}

// TestOtherZoneFills guards against flows given to a zone that has become as busy.
func TestOtherZoneFills(t *testing.T) {
	for _, lag := range lags {
		t.Run(lag.String(), func(t *testing.T) {
			const fills = 10 * time.Second
			m := newModel(1, 2, lag)
			m.loss = 0
			m.demand = func(zone int, now time.Duration) float64 {
				if zone == 0 || now >= fills {
					return 1.5
				}
				return 0.3
			}
			before, stopped := 0.0, time.Duration(0)
			m.observe = func() {
				z := &m.zones[0]
				if m.now == fills {
					before = z.give
				}
				own, other := m.known(0, m.now-m.ownLag), m.known(1, z.seen[1])
				if own.Known && other.Known && other.Working >= own.Working {
					require.Zero(t, z.give)
				}
				if m.now > fills && z.give == 0 && stopped == 0 {
					stopped = m.now - fills
				}
			}
			m.run(fills + 5*time.Second)
			t.Logf("given before %.2f, stopped after %v", before, stopped)
			require.Positive(t, before)
			require.Positive(t, stopped)
			// The zone fills within two intervals, and the first digest that shows it ends
			// the giving.
			require.LessOrEqual(t, stopped, lag+3*digestInterval)
		})
	}
}

// TestZoneIsLost guards against flows given to a zone that was taken out, or whose digests
// don't arrive any more, and against a change by a digest that was only lost.
func TestZoneIsLost(t *testing.T) {
	const lost = 10 * time.Second
	for _, lag := range lags {
		for _, c := range []struct {
			name     string
			takenOut bool
			cut      time.Duration // for how long no digest of zone 1 arrives
			stopped  bool
		}{
			{
				name:     "taken out",
				takenOut: true,
				stopped:  true,
			},
			{
				name:    "cut off",
				cut:     time.Minute,
				stopped: true,
			},
			{
				name: "digest lost",
				cut:  digestInterval,
			},
			{
				name: "digests lost up to the age limit",
				cut:  ageLimit - lag,
			},
		} {
			t.Run(fmt.Sprintf("%v/%s", lag, c.name), func(t *testing.T) {
				m := newModel(1, 3, lag)
				m.loss = 0
				m.demand = func(zone int, _ time.Duration) float64 {
					if zone == 0 {
						return 1.6
					}
					return 0.2
				}
				m.cut = func(from, _ int, now time.Duration) bool {
					return from == 1 && now >= lost && now < lost+c.cut
				}
				stopped, gave := false, 0
				m.observe = func() {
					if m.now < lost-time.Second {
						return
					}
					z := &m.zones[0]
					// Giving may pause while the load of the own zone is below the level.
					gone := m.now >= lost && c.takenOut || m.now-z.seen[1] > ageLimit
					if z.give > 0 {
						require.Equal(t, gone, z.weights[1] == 0, "at %v", m.now)
						require.Positive(t, z.weights[2])
						gave++
					}
					stopped = stopped || gone
				}
				m.run(lost)
				if c.takenOut {
					m.zones[1].capacity = 0
				}
				m.run(lost + 5*time.Second)
				require.Equal(t, c.stopped, stopped)
				require.Greater(t, gave, 10)
			})
		}
	}
}

// TestAllOverloaded guards against flows that move between zones that are equally overloaded.
func TestAllOverloaded(t *testing.T) {
	for _, lag := range lags {
		t.Run(lag.String(), func(t *testing.T) {
			m := newModel(1, 3, lag)
			m.demand = func(int, time.Duration) float64 { return 2 }
			m.counted = 3 * time.Second
			m.run(15 * time.Second)
			for i := range m.zones {
				moved := float64(m.zones[i].given) / float64(m.zones[i].flows)
				t.Logf("zone %d gave %.4f", i, moved)
				require.Less(t, moved, 0.02)
			}
		})
	}
}
