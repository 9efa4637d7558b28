package admission_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var overloadSeeds = flag.Int("overload.seeds", 1, "number of seeds for each overload")

// TestOverloadLeavesRoomForUrgentRequests guards against overload in which urgent requests
// fare like the others, others starve, or hosts are filled and emptied in turns. The urgent
// demand and the least share of the others fit in each case.
func TestOverloadLeavesRoomForUrgentRequests(t *testing.T) {
	const (
		minUrgent = 0.95
		// minOthers is the least share that others get, less what is answered late.
		minOthers = 0.095
		// minServed is the part of the capacity that is used in all, minSecond in the
		// worst second: the bound of the oscillation. Six of 640 plays with 20 seeds stay
		// below it (KNOWN-RED.txt).
		minServed = 0.8
		minSecond = 0.5
		// maxRefused is the number of refusals by hosts relative to those without admission.
		maxRefused = 0.2
		settling   = 4
		seconds    = 10
	)
	for _, urgent := range []float64{0.3, 0.6, 0.8} {
		for _, factor := range []float64{1.2, 1.5, 3} {
			if urgent+0.1*(factor-urgent) > 0.95 {
				continue
			}
			for _, lag := range []int{1, 2} {
				for _, balancers := range []int{1, 8} {
					for seed := range uint64(*overloadSeeds) {
						t.Run(fmt.Sprintf("urgent %.1f of %.1f, lag %d, %d balancers, seed %d", urgent, factor, lag, balancers, seed), func(t *testing.T) {
							t.Parallel()
							play := func(off bool) *model {
								m := newModel(seed, balancers, stream{
									priority: 1,
									rate:     constant(urgent * modelCapacity),
									caller:   callers(20_000),
								}, stream{
									priority: 2,
									rate:     constant((factor - urgent) * modelCapacity),
									caller:   callers(20_000),
								})
								m.lag = lag
								m.off = off
								m.from = settling * time.Second
								m.run((settling + seconds) * time.Second)
								return m
							}
							m, without := play(false), play(true)
							u, o := m.outcomes[0], m.outcomes[1]
							require.GreaterOrEqual(t, u.part(u.inTime), minUrgent, "%+v", u)
							require.GreaterOrEqual(t, o.part(o.inTime), minOthers, "%+v", o)
							require.GreaterOrEqual(t, float64(u.inTime+o.inTime)/seconds/modelCapacity, minServed)
							for i, n := range m.served[settling : settling+seconds] {
								require.GreaterOrEqual(t, float64(n)/modelCapacity, minSecond, "second %d", settling+i)
							}
							byHosts := without.outcomes[0].byHosts + without.outcomes[1].byHosts
							require.LessOrEqual(t, float64(u.byHosts+o.byHosts), maxRefused*float64(byHosts))
							// Refusals are immediate: few requests wait in vain.
							require.LessOrEqual(t, float64(o.expired), 0.15*float64(o.refusals), "%+v", o)
						})
					}
				}
			}
		}
	}
}

// TestLeastShareStarvesNobody guards against urgent demand that alone exceeds what hosts can
// serve: the others still get their least share.
func TestLeastShareStarvesNobody(t *testing.T) {
	for _, urgent := range []float64{1, 1.5, 3} {
		t.Run(fmt.Sprintf("urgent %.1f", urgent), func(t *testing.T) {
			m := newModel(1, 4, stream{
				priority: 0,
				rate:     constant(urgent * modelCapacity),
				caller:   callers(20_000),
			}, stream{
				priority: 3,
				rate:     constant(0.5 * modelCapacity),
				caller:   callers(20_000),
			})
			m.from = 5 * time.Second
			m.run(15 * time.Second)
			o := m.outcomes[1]
			require.GreaterOrEqual(t, o.part(o.inTime), 0.08, "%+v", o)
		})
	}
}

// TestShortBurstLosesNothing guards against refusals after a burst of 100 ms that the hosts
// get through: the shares see it when it is over.
func TestShortBurstLosesNothing(t *testing.T) {
	waited := 0
	for seed := range uint64(20) {
		for _, lag := range []int{1, 2} {
			at := time.Second + time.Duration(seed)*12*time.Millisecond
			burst := func(base float64) func(time.Duration) float64 {
				return func(since time.Duration) float64 {
					if since >= at && since < at+100*time.Millisecond {
						return 4 * base
					}
					return base
				}
			}
			m := newModel(seed, 4, stream{
				priority: 1,
				rate:     burst(0.15 * modelCapacity),
				caller:   callers(20_000),
			}, stream{
				priority: 2,
				rate:     burst(0.25 * modelCapacity),
				caller:   callers(20_000),
			})
			m.lag = lag
			m.run(4 * time.Second)
			for _, o := range m.outcomes {
				require.Zero(t, o.refusals, "seed %d, lag %d: %+v", seed, lag, o)
				require.Zero(t, o.byHosts)
				require.LessOrEqual(t, o.longest, modelMaxWait)
				waited += o.waited
			}
		}
	}
	require.Positive(t, waited, "no burst was seen in time")
}

// TestRoomComesBackAfterOverload guards against requests that are refused long after an
// overload is over.
func TestRoomComesBackAfterOverload(t *testing.T) {
	overload := func(d time.Duration) float64 {
		if d < 5*time.Second {
			return 2 * modelCapacity
		}
		return 0.2 * modelCapacity
	}
	m := newModel(1, 4, stream{
		priority: 1,
		rate:     constant(0.2 * modelCapacity),
		caller:   callers(20_000),
	}, stream{
		priority: 2,
		rate:     overload,
		caller:   callers(20_000),
	})
	m.from = 9 * time.Second
	m.run(12 * time.Second)
	for _, o := range m.outcomes {
		require.Zero(t, o.refusals, "%+v", o)
		require.Zero(t, o.waited, "%+v", o)
	}
}

// TestRushOfOneCallerLeavesRoomForOthers guards against one caller with half of the arrivals
// that takes the room of 200 others, at 1.5 times what hosts can serve.
func TestRushOfOneCallerLeavesRoomForOthers(t *testing.T) {
	for _, balancers := range []int{1, 8} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d balancers, seed %d", balancers, seed), func(t *testing.T) {
				m := newModel(seed, balancers, stream{
					priority: 1,
					rate:     constant(0.75 * modelCapacity),
					caller:   func(*rand.Rand) netip.Addr { return address(1 << 20) },
				}, stream{
					priority: 1,
					rate:     constant(0.75 * modelCapacity),
					caller:   callers(200),
				})
				m.from = 4 * time.Second
				m.run(14 * time.Second)
				rush, others := m.outcomes[0], m.outcomes[1]
				require.GreaterOrEqual(t, others.part(others.inTime), 0.95, "%+v", others)
				// What the others leave goes to the caller in a rush.
				require.GreaterOrEqual(t, rush.part(rush.inTime), 0.1, "%+v", rush)
				require.GreaterOrEqual(t, float64(rush.inTime+others.inTime)/10/modelCapacity, 0.8)
			})
		}
	}
}

// TestSingleCallerIsNotRefused guards against fair shares that refuse a caller which has no
// others beside it, such as a proxy that all clients use.
func TestSingleCallerIsNotRefused(t *testing.T) {
	play := func(n int) float64 {
		m := newModel(1, 4, stream{
			priority: 1,
			rate:     constant(1.5 * modelCapacity),
			caller:   callers(n),
		})
		m.from = 4 * time.Second
		m.run(14 * time.Second)
		return m.outcomes[0].part(m.outcomes[0].inTime)
	}
	many := play(20_000)
	for _, n := range []int{1, 2, 3} {
		require.InDelta(t, many, play(n), 0.1, "%d callers", n)
	}
}

// TestManyCallersFareAlike guards against callers that are taken for one in a rush because
// 100,000 of them share the cells of the sketch.
func TestManyCallersFareAlike(t *testing.T) {
	play := func(n int) float64 {
		m := newModel(1, 1, stream{
			priority: 1,
			rate:     constant(1.5 * modelCapacity),
			caller:   callers(n),
		})
		m.from = 4 * time.Second
		m.run(14 * time.Second)
		return m.outcomes[0].part(m.outcomes[0].inTime)
	}
	require.InDelta(t, play(1000), play(100_000), 0.1)
}
