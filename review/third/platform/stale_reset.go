package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// staleReset is about the sequence numbers of resets. Clients keep flows with many requests open.
// A machine of each zone is restarted as planned work, in turn, so that flows move to other
// machines and back. Later one host of each zone crashes. Until a client's flow is closed, a reset that it gets
// must have a sequence number within 76,800 of the client's last ack.
func staleReset(program, dir, recordPath string, trouble bool) (bool, error) {
	zones := []string{"tx-central-a", "tx-central-b", "tx-central-c"}
	f, err := newFleet(program, dir, recordPath, zones)
	if err != nil {
		return false, err
	}
	defer f.end()
	route := netip.MustParseAddrPort("127.254.30.1:8443")
	f.configure(map[string]netip.AddrPort{"huvo11a": route})
	hosts, machines, flows := []int{5, 5, 4}, []int{3, 2, 2}, []int{40, 24, 24}
	first, lost := make([]*daemon, len(zones)), make([]*host, len(zones))
	for i, zone := range zones {
		for range hosts[i] {
			if lost[i], err = f.addHost("huvo11a", zone); err != nil {
				return false, err
			}
		}
		if err := f.addDaemons(zone, machines[i]); err != nil {
			return false, err
		}
		first[i] = f.daemons[len(f.daemons)-machines[i]]
		if err := f.addClients(zone, flows[i]/2); err != nil {
			return false, err
		}
	}
	if err := f.start(); err != nil {
		return false, err
	}
	if !f.awaitReady(15 * time.Second) {
		return false, fmt.Errorf("machines did not start")
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(30 * time.Second)
	var workers sync.WaitGroup
	for i, c := range f.clients {
		for j := range 2 {
			workers.Go(func() { f.keepFlow(c, route, end, fmt.Sprintf("%d.%d", i, j)) })
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, d := range first {
			f.record.say("SIGTERM to %s", d.name)
			d.signal(syscall.SIGTERM)
			time.Sleep(1300 * time.Millisecond)
		}
		time.Sleep(16 * time.Second)
		for _, h := range lost {
			f.record.say("host %s crashes", h.id)
			h.crash()
		}
	}
	workers.Wait()
	strange := 0
	for _, c := range f.clients {
		strange += c.strangePackets()
	}
	f.record.say("requests answered: %d; strange packets at clients: %d", f.answered.Load(), strange)
	return strange > 0, nil
}

// keepFlow keeps a flow with many requests open, and opens another one after a failure.
func (f *fleet) keepFlow(c *client, route netip.AddrPort, end time.Time, worker string) {
	for n := 0; time.Now().Before(end); {
		fl := c.newFlow(route)
		if err := c.open(fl); err != nil {
			f.record.add("client %v: %v", fl.id.client, err)
			c.forget(fl)
			continue
		}
		for time.Now().Before(end) {
			n++
			name := fmt.Sprintf("%s.%d", worker, n)
			f.record.add("client %v: sends request %s", fl.id.client, name)
			if err := c.request(fl, name); err != nil {
				f.record.add("client %v: request %s: %v", fl.id.client, name, err)
				break
			}
			f.answered.Add(1)
			f.record.add("client %v: request %s is answered", fl.id.client, name)
			time.Sleep(100 * time.Millisecond)
		}
		c.finish(fl)
	}
}
