package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Bounds and the link of lfl-edge-grown.
const (
	configApply  = 5 * time.Second
	recoverIn    = 15 * time.Second
	stableWindow = 5 * time.Second
	linkMbps     = 10
	valueBytes   = 1 << 20
)

// Routes of the cases about listings. Nothing listens at these addresses.
var (
	keptRoute    = netip.MustParseAddrPort("127.254.30.1:8443")
	droppedRoute = netip.MustParseAddrPort("127.254.30.2:8443")
	addedRoute   = netip.MustParseAddrPort("127.254.30.3:8443")
)

// newListingFleet starts a deployment whose machines have links of linkMbps.
func newListingFleet(program, dir, recordPath string) (*fleet, error) {
	zones := []string{"tx-central-a", "tx-central-b", "tx-central-c"}
	f, err := newFleet(program, dir, recordPath, zones)
	if err != nil {
		return nil, err
	}
	f.work, f.mbps = 20*time.Millisecond, linkMbps
	f.configure(map[string]netip.AddrPort{"huvo11a": keptRoute, "wuno96b": droppedRoute})
	hosts, machines := []int{5, 5, 4}, []int{3, 2, 2}
	for i, zone := range zones {
		for n := range hosts[i] {
			service := "huvo11a"
			if n == 0 {
				service = "wuno96b"
			}
			if _, err := f.addHost(service, zone); err != nil {
				return f, err
			}
		}
		if err := f.addDaemons(zone, machines[i]); err != nil {
			return f, err
		}
		if err := f.addClients(zone, 6); err != nil {
			return f, err
		}
	}
	if err := f.start(); err != nil {
		return f, err
	}
	if !f.awaitReady(15 * time.Second) {
		return f, fmt.Errorf("machines did not start")
	}
	time.Sleep(2 * time.Second)
	return f, nil
}

// writeOdd writes the entry of another writer, of bytes that can't be read. It is as large as a
// value may be.
func (f *fleet) writeOdd() {
	odd := make([]byte, valueBytes)
	for i := range odd {
		odd[i] = byte(rand.Uint32())
	}
	f.record.say("another writer writes %d bytes that can't be read", len(odd))
	f.store.putBytes("servers/i-7f3a91c2", odd)
}

// repeatFlows has all clients open short flows on routes until end. It calls handle for each.
func (f *fleet) repeatFlows(end time.Time, routes []netip.AddrPort, handle func(route netip.AddrPort, sent time.Time, opened, answered bool)) *sync.WaitGroup {
	workers := &sync.WaitGroup{}
	for i, c := range f.clients {
		for j, route := range routes {
			workers.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					sent := time.Now()
					opened, answered := f.shortFlow(c, route, fmt.Sprintf("%d.%d.%d", i, j, n))
					handle(route, sent, opened, answered)
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
	}
	return workers
}

// shortFlow opens a flow with one request, and reports whether it opened and was answered.
func (f *fleet) shortFlow(c *client, route netip.AddrPort, name string) (opened, answered bool) {
	fl := c.newFlow(route)
	if err := c.open(fl); err != nil {
		f.record.add("client %v: flow to %v: %v", fl.id.client, route, err)
		c.forget(fl)
		return false, false
	}
	defer c.finish(fl)
	f.record.add("client %v: sends request %s to %v", fl.id.client, name, route)
	if err := c.request(fl, name); err != nil {
		f.record.add("client %v: request %s: %v", fl.id.client, name, err)
		return true, false
	}
	f.answered.Add(1)
	f.record.add("client %v: request %s to %v is answered", fl.id.client, name, route)
	return true, true
}

// lateStart is about a store with an entry of another writer that is as large as a value may be,
// while all processes are killed at the same moment and started again. Of the requests sent later
// than recoverIn after that, a quarter must be served.
func lateStart(program, dir, recordPath string, trouble bool) (bool, error) {
	f, err := newListingFleet(program, dir, recordPath)
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var killedAt, backAt time.Time
	var asked, served [2]int // before the kill, and later than recoverIn after the machines are back
	workers := f.repeatFlows(time.Now().Add(36*time.Second), []netip.AddrPort{keptRoute}, func(_ netip.AddrPort, sent time.Time, _, answered bool) {
		mu.Lock()
		defer mu.Unlock()
		i := 0
		switch {
		case killedAt.IsZero():
		case sent.After(backAt.Add(recoverIn)):
			i = 1
		default:
			return
		}
		asked[i]++
		if answered {
			served[i]++
		}
	})
	time.Sleep(2 * time.Second)
	f.writeOdd()
	time.Sleep(6 * time.Second)
	mu.Lock()
	killedAt = time.Now()
	backAt = killedAt.Add(time.Second)
	mu.Unlock()
	if trouble {
		f.record.say("all processes are killed; each one is started again after 0.8 s")
		for _, d := range f.daemons {
			d.signal(syscall.SIGKILL)
		}
	}
	workers.Wait()
	ready := 0
	for _, r := range f.routers {
		ready += r.inRotation()
	}
	f.record.say("served before: %d of %d; later than %v after the start: %d of %d; machines in rotation at the end: %d of %d",
		served[0], asked[0], recoverIn, served[1], asked[1], ready, len(f.daemons))
	return 4*served[0] >= asked[0] && 4*served[1] < asked[1], nil
}

// lateListing is about a store that forgets its history while one entry, of another writer, is as
// large as a value may be. The operator changes the configuration later, when the store has been
// undisturbed for longer than stableWindow. Flows on the route that is dropped must not be taken
// by a host later than configApply after that.
func lateListing(program, dir, recordPath string, trouble bool) (bool, error) {
	f, err := newListingFleet(program, dir, recordPath)
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var changedAt time.Time
	taken, refused := 0, 0
	workers := f.repeatFlows(time.Now().Add(36*time.Second), []netip.AddrPort{keptRoute, droppedRoute, addedRoute}, func(route netip.AddrPort, sent time.Time, opened, _ bool) {
		mu.Lock()
		defer mu.Unlock()
		after := sent.Sub(changedAt)
		switch {
		case changedAt.IsZero() || after <= configApply:
		case route == droppedRoute && opened:
			taken++
			f.record.add("LATE: a flow on the dropped route, sent %.3f s after the change, is taken by a host", after.Seconds())
		case route == addedRoute && !opened:
			refused++
		}
	})
	time.Sleep(2 * time.Second)
	f.writeOdd()
	time.Sleep(6 * time.Second)
	if trouble {
		f.record.say("the store forgets its history")
		f.store.forget(func() {
			_, err = f.addHost("huvo11a", "tx-central-a")
		})
		if err != nil {
			return false, err
		}
	}
	time.Sleep(stableWindow + 2*time.Second)
	f.record.say("the configuration changes")
	f.configure(map[string]netip.AddrPort{"huvo11a": keptRoute, "wuno96b": addedRoute})
	mu.Lock()
	changedAt = time.Now()
	mu.Unlock()
	workers.Wait()
	f.record.say("requests answered: %d; sent later than %v after the change: %d flows on the dropped route taken by hosts, %d on the added route not opened",
		f.answered.Load(), configApply, taken, refused)
	return taken > 0, nil
}
