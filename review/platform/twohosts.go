package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Load and planned work of twoHosts.
const (
	newFlowsPerSecond = 1500 // of all clients
	requestsPerFlow   = 3
	rollGap           = 2 * time.Second
	rollTime          = 98 * time.Second
	lostPer100000     = 150 // loss = 0.0015 in sites/lfl-edge.toml
)

// twoHosts restarts the daemons one after the other, while clients open long flows and the
// network loses a datagram now and then. No host is disturbed.
func twoHosts(b *bed, trouble bool) (int, error) {
	b.store.put("op/config", plan(3))
	zones := []string{"tx-central-a", "tx-central-b"}
	for i := range 14 {
		if _, err := b.addHost("desk", zones[i%2]); err != nil {
			return failed, err
		}
	}
	for range 3 {
		if _, err := b.addHost("book", zones[0]); err != nil {
			return failed, err
		}
	}
	for _, z := range []int{0, 1, 0, 1, 0, 1, 0} {
		b.addDaemon(zones[z])
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := b.startDaemons(ctx); err != nil {
		return failed, err
	}
	if trouble {
		b.loss.Store(lostPer100000)
	}

	var mu sync.Mutex
	flowHost := make(map[flowKey]*host)
	asked := make(map[flowKey]*host)
	foreign, two := 0, 0
	b.onSYN = func(f *hostFlow) {
		mu.Lock()
		defer mu.Unlock()
		if other := asked[f.key]; other != nil && other != f.host {
			two++
			b.rec.log("flow %s: its opening packet has reached host %s and now host %s", f.key.client, other.id, f.host.id)
		}
		asked[f.key] = f.host
	}
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
		foreign++
		b.rec.log("flow %s: open at host %s, which is alive; reset by %s: FLOW", f.local, h.id, b.nameOf(from))
		for _, line := range f.trace {
			b.rec.log("  flow %s: %s", f.local, line)
		}
	}
	var opened, notOpened, sent, answered, lost, ran atomic.Int64
	b.onRun = func(*hostFlow, string) { ran.Add(1) }
	var flows sync.WaitGroup
	drive := func(c *client) {
		f := c.dial(deskRoute)
		if f.await(2*time.Second) != "open" {
			notOpened.Add(1)
			return
		}
		opened.Add(1)
		// Half of the flows are opened ahead of their first request, as in a pool.
		ahead := rand.IntN(2) == 0
		for i := range requestsPerFlow {
			if i > 0 || ahead {
				time.Sleep(time.Duration(500+rand.IntN(2000)) * time.Millisecond)
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
		f.close()
		mu.Lock()
		delete(flowHost, flowKey{client: f.local, service: f.service})
		delete(asked, flowKey{client: f.local, service: f.service})
		mu.Unlock()
	}
	for i := range 6 {
		c, err := startClient(b, b.addr(200, byte(i+1)), b.routers[zones[i%2]])
		if err != nil {
			return failed, err
		}
		go func() {
			ticker := time.NewTicker(6 * time.Second / newFlowsPerSecond)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					flows.Go(func() { drive(c) })
				}
			}
		}()
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(5 * time.Second)
			b.rec.log("totals: %d flows opened, %d not; %d requests sent, %d run, %d answered, %d not", opened.Load(), notOpened.Load(),
				sent.Load(), ran.Load(), answered.Load(), lost.Load())
		}
	}()
	began := time.Now()
	for i := 0; time.Since(began) < rollTime; i++ {
		time.Sleep(rollGap)
		if trouble {
			b.daemons[i%len(b.daemons)].signal(syscall.SIGTERM)
		}
	}
	cancel()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("flows %d (not opened %d), requests %d, answered %d, lost %d; opening packets at two hosts %d; open flows reset by others than their host %d\n",
		opened.Load(), notOpened.Load(), sent.Load(), answered.Load(), lost.Load(), two, foreign)
	b.rec.log("flows %d (not opened %d), requests %d, answered %d, lost %d; opening packets at two hosts %d; open flows reset by others than their host %d",
		opened.Load(), notOpened.Load(), sent.Load(), answered.Load(), lost.Load(), two, foreign)
	if answered.Load() < 1000 {
		return failed, fmt.Errorf("too few requests were answered")
	}
	if foreign > 0 {
		return broken, nil
	}
	return held, nil
}
