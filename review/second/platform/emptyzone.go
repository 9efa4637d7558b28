package main

import (
	"context"
	"math/rand/v2"
	"time"
)

// playEmptyZone stops and starts the two balancers of a zone in turn, so that no balancer of the
// zone is in rotation for some seconds and the routers use those of the nearest zones.
func playEmptyZone(ctx context.Context, w *world, trouble bool) error {
	zones := []zoneSize{
		{name: "a", balancers: 3, hosts: 5, clients: 5, flowsPerSecond: 50},
		{name: "b", balancers: 2, hosts: 5, clients: 20, flowsPerSecond: 800},
		{name: "c", balancers: 2, hosts: 4, clients: 5, flowsPerSecond: 50},
	}
	pause := func() time.Duration { return time.Second + time.Duration(rand.Int64N(int64(2500*time.Millisecond))) }
	if err := startAll(ctx, w, zones, pause); err != nil {
		return err
	}
	sleep(ctx, 5*time.Second)
	const (
		rounds = 8
		round  = 11 * time.Second
		gap    = 1300 * time.Millisecond
	)
	for range rounds {
		began := time.Now()
		for i, b := range w.router.zones["b"] {
			if i > 0 {
				sleep(ctx, gap)
			}
			if trouble {
				w.note("SIGTERM to %s", b.name)
				b.terminate()
			}
		}
		sleep(ctx, round-time.Since(began))
	}
	return ctx.Err()
}
