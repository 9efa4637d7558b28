package main

import (
	"context"
	"fmt"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var (
	deskRoute = netip.MustParseAddrPort("127.198.0.1:8443")
	bookRoute = netip.MustParseAddrPort("127.198.0.2:8443")
)

func plan(version int) map[string]any {
	route := func(name string, a endpoint, service, kind string) map[string]any {
		return map[string]any{
			"name": name, "hostname": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()),
			"type": kind, "timeout-ms": 5000, "latency-goal-ms": 300, "priority": 1, "service": service, "max-attempts": 2,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{
			"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1",
			"tls": false, "warmup-s": 2.0, "warmup-per-s": 0.0,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("r-desk", deskRoute, "desk", "non_idempotent"), route("r-book", bookRoute, "book", "download")},
		"services": []any{service("desk"), service("book")},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// stalePages has a host announce that it leaves, and kills all daemons at once a second
// later. Each daemon that starts lists the store with stale-ok. The listing has two pages:
// the first one is up to date, and the second one is 3 s old.
func stalePages(b *bed, trouble bool) (int, error) {
	b.store.lag = 3 * time.Second
	b.store.put("op/config", plan(3))
	zones := []string{"tx-central-a", "tx-central-b"}
	for i := range 60 {
		service := "desk"
		if i >= 52 {
			service = "book"
		}
		if _, err := b.addHost(service, zones[i%2]); err != nil {
			return failed, err
		}
	}
	for i := range 4 {
		b.addDaemon(zones[i%2])
	}
	// The listing is ordered by key: this host is on the second page.
	desk := append([]*host(nil), b.hosts[:52]...)
	sort.Slice(desk, func(i, j int) bool { return desk[i].id < desk[j].id })
	leaving := desk[len(desk)-1]
	time.Sleep(b.store.lag + time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := b.startDaemons(ctx); err != nil {
		return failed, err
	}
	var mu sync.Mutex
	late, early := 0, 0
	b.onOpen = func(f *hostFlow) {
		if f.host != leaving {
			return
		}
		ack := leaving.drainAck
		touch := true
		for _, d := range b.daemons {
			touch = touch && d.inTouch(f.openedAt)
		}
		what := "before the host left"
		mu.Lock()
		defer mu.Unlock()
		switch {
		case ack.IsZero():
			early++
		case f.openedAt.Sub(ack) <= drainBound:
			what = "within drain-ms"
		case !touch:
			what = "later than drain-ms, but a daemon is not in touch"
		default:
			late++
			what = "later than drain-ms, by daemons in touch: DRAIN"
		}
		b.rec.log("host %s: flow of %s opened, %s", f.host.id, f.key.client, what)
	}
	b.onRun = func(f *hostFlow, id string) {
		b.rec.log("host %s: runs request %s of %s", f.host.id, id, f.key.client)
	}
	var served, other atomic.Int64
	var flows sync.WaitGroup
	for i := range 4 {
		c, err := startClient(b, b.addr(200, byte(i+1)), b.routers[zones[i%2]])
		if err != nil {
			return failed, err
		}
		go func() {
			ticker := time.NewTicker(30 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				flows.Go(func() {
					f := c.dial(deskRoute)
					if e := f.await(2 * time.Second); e != "open" {
						b.rec.log("client %s: the flow did not open: %s", f.local, e)
						other.Add(1)
						return
					}
					id, outcome := f.request("POST", 300, 5*time.Second)
					b.rec.log("client %s: request %s: %s by %s", f.local, id, outcome, b.nameOf(f.hostAddr))
					if outcome == "answer" {
						served.Add(1)
					} else {
						other.Add(1)
					}
					f.close()
				})
			}
		}()
	}
	time.Sleep(6 * time.Second)
	leaving.drain()
	time.Sleep(time.Second)
	if trouble {
		for _, d := range b.daemons {
			d.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(14 * time.Second)
	cancel()
	flows.Wait()
	mu.Lock()
	defer mu.Unlock()
	b.rec.log("served %d requests, %d others; the leaving host opened %d flows before it left and %d too late", served.Load(), other.Load(), early, late)
	fmt.Printf("served %d, others %d; flows opened at the leaving host before: %d, too late: %d\n", served.Load(), other.Load(), early, late)
	if served.Load() < 500 || early == 0 {
		return failed, fmt.Errorf("too few requests were served")
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
