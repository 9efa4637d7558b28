package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a host's entry.
const heartbeat = 770 * time.Millisecond

// lossRate is the share of datagrams that are lost: that of the links of the small deployments.
const lossRate = 0.0015

// Bounds of the rule FLOW.
const (
	flowWindow  = 2 * time.Second
	flowPackets = 3
)

// world is the deployment: the store, hosts, clients, router and balancers, and what was seen.
type world struct {
	root       string
	dir        string
	block      byte // second byte of the loopback addresses
	packetPort uint16
	readyPort  uint16
	peerPort   uint16
	hostPort   uint16
	store      *store
	router     *router
	hosts      []*host
	balancers  []*balancer
	started    time.Time

	mu     sync.Mutex
	names  map[netip.Addr]string
	tracks map[flowKey]*track
	counts map[string]int
	lines  []string
	broken int
}

// track is what was seen of one flow.
type track struct {
	host       *host
	firstOther time.Time // of the packets that reached other hosts since the last one at its own
	others     int
	reported   bool
}

func newWorld(root string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		root:    root,
		dir:     dir,
		block:   byte(20 + rand.IntN(200)),
		started: time.Now(),
		names:   make(map[netip.Addr]string),
		tracks:  make(map[flowKey]*track),
		counts:  make(map[string]int),
	}
	base := freePorts()
	w.packetPort, w.readyPort, w.peerPort, w.hostPort = base, base+1, base+2, base+3
	if w.store, err = newStore(fmt.Sprintf("127.%d.200.1:%d", w.block, base+4)); err != nil {
		return nil, err
	}
	w.router = &router{world: w, zones: make(map[string][]*balancer)}
	return w, nil
}

// freePorts returns the first of five ports that are free.
func freePorts() uint16 {
	for {
		base := uint16(15000 + rand.IntN(15000))
		free := true
		for i := range uint16(5) {
			l, err := net.Listen("tcp4", fmt.Sprintf("0.0.0.0:%d", base+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return base
		}
	}
}

func (w *world) ip(zone, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.block, byte(zone), byte(n)})
}

func (w *world) addHost(zoneIndex int, zone, service string, n int) error {
	address := netip.AddrPortFrom(w.ip(zoneIndex, 100+n), w.hostPort)
	h, err := newHost(w, len(w.hosts)+1, service, zone, address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.hosts = append(w.hosts, h)
	w.names[address.Addr()] = "host " + h.id + " of zone " + zone
	w.mu.Unlock()
	return nil
}

// lost tells whether a datagram is lost.
func (w *world) lost() bool { return rand.Float64() < lossRate }

func (w *world) seconds() float64 { return time.Since(w.started).Seconds() }

func (w *world) nameOf(a netip.AddrPort) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n, ok := w.names[a.Addr()]; ok {
		return n
	}
	return a.String()
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, fmt.Sprintf("%8.3f s ", w.seconds())+fmt.Sprintf(format, args...))
}

// opened records that a host has got the end of a flow's handshake.
func (w *world) opened(h *host, k flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.tracks[k]; t != nil && t.host != h {
		w.lines = append(w.lines, fmt.Sprintf("%8.3f s flow %s opens at %s too", w.seconds(), k.client, h.id))
		return
	}
	w.tracks[k] = &track{host: h}
	w.counts["opened"]++
}

func (w *world) closed(k flowKey) { w.forget(k) }

func (w *world) forget(k flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tracks, k)
}

// ran records that a host runs a request.
func (w *world) ran() { w.count("run") }

// arrived checks part (b) of FLOW for a packet that reaches a host.
func (w *world) arrived(h *host, p *packet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tracks[flowKey{p.src, p.dst}]
	if t == nil || p.has(flagSYN) {
		return
	}
	if t.host == h {
		t.others = 0
		return
	}
	if t.others == 0 {
		t.firstOther = time.Now()
	}
	t.others++
	if t.others >= flowPackets && time.Since(t.firstOther) >= flowWindow && !t.reported {
		t.reported = true
		w.broken++
		w.counts["FLOW (b)"]++
		w.lines = append(w.lines, fmt.Sprintf("%8.3f s BROKEN FLOW (b): flow %s is open at %s; %d of its packets in %.1f s reached other hosts, the last one %s, and none its own",
			w.seconds(), p.src, t.host.id, t.others, time.Since(t.firstOther).Seconds(), h.id))
	}
}

// reset checks part (a) of FLOW for a reset that a client gets.
func (w *world) reset(f *clientFlow, r *received) {
	from := w.nameOf(r.from)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["resets"]++
	t := w.tracks[f.key]
	if t == nil || r.from == t.host.address {
		return
	}
	w.broken++
	w.counts["FLOW (a)"]++
	if w.counts["FLOW (a)"] > 6 {
		return
	}
	w.lines = append(w.lines, fmt.Sprintf("%8.3f s BROKEN FLOW (a): flow %s is open at host %s of zone %s, which lives; its client got a reset from %s. What the client sent and got:",
		w.seconds(), f.key.client, t.host.id, t.host.zone, from))
	for _, l := range f.history {
		w.lines = append(w.lines, "             "+l)
	}
}

// write writes the record.
func (w *world) write(path, verdict string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	for _, l := range w.lines {
		b.WriteString(l + "\n")
	}
	var keys []string
	for k := range w.counts {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		fmt.Fprintf(&b, "%s: %d\n", k, w.counts[k])
	}
	b.WriteString(verdict + "\n")
	return os.WriteFile(path, []byte(b.String()), 0o600)
}

// router is the platform's routers.
type router struct {
	world *world
	mu    sync.Mutex
	zones map[string][]*balancer
	last  string
}

// probeInterval is the time between two readiness probes; after two misses a daemon is out of
// rotation.
const probeInterval = 500 * time.Millisecond

func (r *router) run(ctx context.Context) {
	probes := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		var group sync.WaitGroup
		for _, b := range r.world.balancers {
			group.Go(func() {
				response, err := probes.Get("http://" + netip.AddrPortFrom(b.ip, r.world.readyPort).String() + "/readiness")
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				b.misses++
				if ok {
					b.misses = 0
				}
			})
		}
		group.Wait()
		r.logRotation()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *router) logRotation() {
	r.mu.Lock()
	var ready []string
	for _, b := range r.world.balancers {
		if b.inRotation() {
			ready = append(ready, b.name)
		}
	}
	now := strings.Join(ready, " ")
	changed := now != r.last
	r.last = now
	r.mu.Unlock()
	if changed {
		r.world.note("in rotation: %s", now)
	}
}

// numReady returns the number of balancers in rotation.
func (r *router) numReady() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, b := range r.world.balancers {
		if b.inRotation() {
			n++
		}
	}
	return n
}

// route returns the daemon that gets the packets of a flow of a client in a zone.
func (r *router) route(zone string, k flowKey) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	use := readyOf(r.zones[zone])
	switch {
	case len(use) == 0:
		// The daemons of the nearest zones: all are equally near.
		for _, b := range r.world.balancers {
			if b.zone != zone && b.inRotation() {
				use = append(use, b)
			}
		}
	case 2*len(use) < len(r.zones[zone]):
		use = r.zones[zone]
	}
	if len(use) == 0 {
		return netip.AddrPort{}, false
	}
	h := fnv.New64a()
	c, s := k.client.Addr().As4(), k.service.Addr().As4()
	_, _ = h.Write(c[:])
	_, _ = h.Write([]byte{byte(k.client.Port() >> 8), byte(k.client.Port())})
	_, _ = h.Write(s[:])
	_, _ = h.Write([]byte{byte(k.service.Port() >> 8), byte(k.service.Port())})
	sum := h.Sum64()
	b := use[(sum^sum>>32)%uint64(len(use))]
	return netip.AddrPortFrom(b.ip, r.world.packetPort), true
}

func readyOf(all []*balancer) []*balancer {
	var ready []*balancer
	for _, b := range all {
		if b.inRotation() {
			ready = append(ready, b)
		}
	}
	return ready
}
