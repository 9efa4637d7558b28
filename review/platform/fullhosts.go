package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Load of fullHosts.
const (
	maxConns    = 2000
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	// arrivalsB and arrivalsA are the new flows per second of the two zones' clients.
	arrivalsB = 440
	arrivalsA = 1.5
	tries     = 3
	// evacuation is how long a zone is out of service.
	evacuation = 59 * time.Second
	// bursts is how often the burst comes, every burstInterval.
	bursts        = 3
	burstInterval = 15 * time.Second
)

// fullHosts takes one of two zones out of service, so that the hosts of the other one serve
// the clients of both, with some room left. Then many users come at once in the other zone, and
// its hosts are full for some seconds. This comes three times. No host, daemon or link is
// disturbed.
func fullHosts(b *bed, trouble bool) (int, error) {
	b.store.put("op/config", plan(3))
	zones := []string{"tx-central-a", "tx-central-b"}
	for i := range 6 {
		h, err := b.addHost("desk", zones[i%2])
		if err != nil {
			return failed, err
		}
		h.maxFlows = maxConns
	}
	if _, err := b.addHost("book", zones[1]); err != nil {
		return failed, err
	}
	for _, z := range []int{0, 1, 0, 1, 0, 1, 1} {
		b.addDaemon(zones[z])
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := b.startDaemons(ctx); err != nil {
		return failed, err
	}
	b.store.put("op/evacuate/"+zones[0], map[string]any{})
	b.rec.log("operator: zone %s is evacuated", zones[0])
	var mu sync.Mutex
	flowHost := make(map[flowKey]*host)
	reset := 0
	b.onOpen = func(f *hostFlow) {
		mu.Lock()
		defer mu.Unlock()
		flowHost[f.key] = f.host
	}
	b.onReset = func(f *clientFlow, from netip.AddrPort, p *packet) {
		mu.Lock()
		defer mu.Unlock()
		h := flowHost[flowKey{client: f.local, service: f.service}]
		if h == nil || h.address == from {
			return
		}
		reset++
		b.rec.log("flow %s: open at host %s, which is alive; reset by %s (sum %08x): FLOW", f.local, h.id, b.nameOf(from), p.sum)
		for _, line := range f.trace {
			b.rec.log("  flow %s: %s", f.local, line)
		}
	}
	var opened, notOpened, sent, answered, lost, ran atomic.Int64
	b.onRun = func(*hostFlow, string) { ran.Add(1) }
	var flows sync.WaitGroup
	drive := func(c *client) {
		var f *clientFlow
		for try := range tries {
			f = c.dial(deskRoute)
			if f.await(2*time.Second) == "open" {
				break
			}
			notOpened.Add(1)
			if try == tries-1 {
				return
			}
		}
		opened.Add(1)
		for i := range 2 {
			if i > 0 {
				time.Sleep(time.Duration(8000+rand.IntN(4000)) * time.Millisecond)
			}
			sent.Add(1)
			id, outcome := f.request("POST", 300, 5*time.Second)
			if outcome != "answer" {
				lost.Add(1)
				b.rec.log("client %s: request %s: %s", f.local, id, outcome)
				return
			}
			answered.Add(1)
		}
		time.Sleep(2 * time.Second)
		f.close()
		mu.Lock()
		delete(flowHost, flowKey{client: f.local, service: f.service})
		mu.Unlock()
	}
	var factor atomic.Value
	factor.Store(1.0)
	for i := range 6 {
		zone, rate := zones[1], float64(arrivalsB)/4
		if i < 2 {
			zone, rate = zones[0], float64(arrivalsA)/2
		}
		c, err := startClient(b, b.addr(200, byte(i+1)), b.routers[zone])
		if err != nil {
			return failed, err
		}
		go func() {
			for next := time.Now(); ctx.Err() == nil; {
				r := rate
				if zone == zones[1] {
					r *= factor.Load().(float64)
				}
				next = next.Add(time.Duration(float64(time.Second) / r))
				time.Sleep(time.Until(next))
				flows.Go(func() { drive(c) })
			}
		}()
	}
	status := func() {
		load := ""
		for _, h := range b.hosts {
			h.mu.Lock()
			if h.zone == zones[1] && h.service == "desk" {
				load += fmt.Sprintf(" %s %d (%d SYNs got nothing)", h.id, h.held, h.refused)
			}
			h.mu.Unlock()
		}
		b.rec.log("totals: %d flows opened, %d attempts not; %d requests sent, %d run, %d answered, %d not; flows held:%s", opened.Load(),
			notOpened.Load(), sent.Load(), ran.Load(), answered.Load(), lost.Load(), load)
	}
	began := time.Now()
	for time.Since(began) < evacuation {
		time.Sleep(time.Second)
		status()
		if at := time.Since(began); trouble {
			factor.Store(1.0)
			if at > burstInterval && at%burstInterval < burstTime && at < (bursts+1)*burstInterval {
				factor.Store(burstFactor)
			}
		}
	}
	b.store.delete("op/evacuate/" + zones[0])
	b.rec.log("operator: zone %s is taken back", zones[0])
	time.Sleep(2 * time.Second)
	cancel()
	mu.Lock()
	defer mu.Unlock()
	text := fmt.Sprintf("flows %d (attempts that did not open %d), requests %d, answered %d, lost %d; open flows reset by others than their host %d",
		opened.Load(), notOpened.Load(), sent.Load(), answered.Load(), lost.Load(), reset)
	fmt.Println(text)
	b.rec.log("%s", text)
	if answered.Load() < 1000 {
		return failed, fmt.Errorf("too few requests were answered")
	}
	if reset > 0 {
		return broken, nil
	}
	return held, nil
}
