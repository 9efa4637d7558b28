package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// configTime is the bound config-apply-ms.
const configTime = 3 * time.Second

// playLastOfZone has all daemons but one lose power for some seconds, and the configuration
// change just after that. Each daemon of the largest zone is the one that stays, in turn.
func playLastOfZone(ctx context.Context, w *world, trouble bool) error {
	zones := []zoneSize{
		{name: "a", balancers: 7, hosts: 5, clients: 5, flowsPerSecond: 20},
		{name: "b", balancers: 1, hosts: 5, clients: 5, flowsPerSecond: 20},
		{name: "c", balancers: 1, hosts: 4, clients: 5, flowsPerSecond: 20},
	}
	pause := func() time.Duration { return time.Second + time.Duration(rand.Int64N(int64(2*time.Second))) }
	if err := startAll(ctx, w, zones, pause); err != nil {
		return err
	}
	probes, err := newClient(w, "a", w.ip(1, 190))
	if err != nil {
		return err
	}
	const (
		dark   = 5 * time.Second
		round  = 11 * time.Second
		rounds = 9
	)
	sleep(ctx, 5*time.Second)
	version, port := 3, 9000
	for i := range rounds {
		last := w.router.zones["a"][i%len(w.router.zones["a"])]
		began := time.Now()
		if n := w.router.numReady(); n < len(w.balancers) {
			return fmt.Errorf("only %d of %d daemons are ready", n, len(w.balancers))
		}
		if trouble {
			w.note("all daemons but %s lose power for %v", last.name, dark)
			for _, b := range w.balancers {
				if b != last {
					b.powerOff(dark)
				}
			}
		}
		sleep(ctx, 200*time.Millisecond)
		version, port = version+2, port+1
		putConfig(w, version, 5000, port)
		w.checkConfig(ctx, probes, last, version, port, time.Now(), began.Add(dark+time.Second))
		sleep(ctx, round-time.Since(began))
	}
	return ctx.Err()
}

// checkConfig opens flows directly by a daemon, by turns on the route that a version has added and
// on the one that it has removed, until a time, and checks CONFIG.
func (w *world) checkConfig(ctx context.Context, c *client, b *balancer, version, port int, acked, until time.Time) {
	via := netip.AddrPortFrom(b.ip, w.packetPort)
	route := func(port int) netip.AddrPort { return netip.AddrPortFrom(serviceAddress.Addr(), uint16(port)) }
	var firstServed time.Duration
	late := 0
	for time.Now().Before(until) && ctx.Err() == nil {
		for _, added := range []bool{true, false} {
			sent := time.Since(acked)
			p := port
			if !added {
				p--
			}
			r, ok := c.tryVia(via, route(p), 100*time.Millisecond)
			if !ok {
				continue
			}
			refused := r.has(flagRST) && r.from.Addr() == b.ip
			if added && !refused && firstServed == 0 {
				firstServed = sent
			}
			asOlder := refused == added && (added || p > 9000)
			if !asOlder || sent <= configTime {
				continue
			}
			late++
			w.mu.Lock()
			w.broken++
			w.counts["CONFIG"]++
			if late <= 3 {
				what := "refused, though the route is there"
				if !added {
					what = "taken by a host, though the route was dropped"
				}
				w.lines = append(w.lines, fmt.Sprintf("%8.3f s BROKEN CONFIG: a flow to %s through %s, sent %.3f s after version %d was acknowledged, is %s",
					w.seconds(), route(p), b.name, sent.Seconds(), version, what))
			}
			w.mu.Unlock()
		}
		sleep(ctx, 20*time.Millisecond)
	}
	w.note("%s first served the route that version %d added %.3f s after its acknowledgement; too late: %d flows", b.name, version, firstServed.Seconds(), late)
}
