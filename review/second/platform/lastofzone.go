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
		dark   = 3500 * time.Millisecond
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
		w.checkConfig(ctx, probes, last, version, port, time.Now(), began.Add(dark+2*time.Second))
		sleep(ctx, round-time.Since(began))
	}
	return ctx.Err()
}

// checkConfig opens flows directly by a daemon, by turns on the route that a version has added and
// on the one that it has removed, until a time, and checks CONFIG. Only flows that a host takes on
// the removed route count as broken: flows are judged by the opening packet that a host took.
func (w *world) checkConfig(ctx context.Context, c *client, b *balancer, version, port int, acked, until time.Time) {
	via := netip.AddrPortFrom(b.ip, w.packetPort)
	route := func(port int) netip.AddrPort { return netip.AddrPortFrom(serviceAddress.Addr(), uint16(port)) }
	var firstServed time.Duration
	late, refused := 0, 0
	for time.Now().Before(until) && ctx.Err() == nil {
		sent := time.Since(acked)
		if r, ok := c.tryVia(via, route(port), 100*time.Millisecond); ok {
			switch {
			case r.has(flagSYN) && firstServed == 0:
				firstServed = sent
			case r.has(flagRST) && r.from.Addr() == b.ip && sent > configTime:
				refused++
			}
		}
		sent = time.Since(acked)
		removed := route(port - 1)
		if r, ok := c.tryVia(via, removed, 100*time.Millisecond); ok && r.has(flagSYN) && sent > configTime {
			late++
			w.mu.Lock()
			w.broken++
			w.counts["CONFIG"]++
			if late <= 3 {
				w.lines = append(w.lines, fmt.Sprintf("%8.3f s BROKEN CONFIG: a host takes a flow to %s through %s, sent %.3f s after version %d, which drops that route, was acknowledged",
					w.seconds(), removed, b.name, sent.Seconds(), version))
			}
			w.mu.Unlock()
		}
		sleep(ctx, 20*time.Millisecond)
	}
	w.note("%s first served the route that version %d added %.3f s after its acknowledgement; too late: %d flows on the dropped route taken, %d on the added one refused",
		b.name, version, firstServed.Seconds(), late, refused)
}
