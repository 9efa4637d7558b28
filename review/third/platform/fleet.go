package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of a deployment, the same on all of its machines.
const (
	packetPort  = 8172
	readyPort   = 8167
	peerPort    = 7720
	hostPort    = 8080
	storePort   = 8169
	metricsPort = 9464
)

// A record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{start: time.Now(), file: f}, err
}

func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", arguments...)
}

// say adds a line to the record and prints it.
func (r *record) say(format string, arguments ...any) {
	r.add(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// A fleet is a deployment on loopback.
type fleet struct {
	net     byte
	program string
	dir     string
	record  *record
	store   *store
	zones   []string
	routers map[string]*router
	daemons []*daemon
	hosts   []*host
	clients []*client
	work    time.Duration
	body    int
	version int
	// mbps is the bandwidth of each machine's link; no limit if it is zero.
	mbps     float64
	answered atomic.Int64
	ended    atomic.Bool
}

func newFleet(program, dir, recordPath string, zones []string) (*fleet, error) {
	f := &fleet{program: program, dir: dir, zones: zones, routers: make(map[string]*router), work: 55 * time.Millisecond, body: 2000}
	var err error
	if f.record, err = newRecord(recordPath); err != nil {
		return nil, err
	}
	for range 50 {
		f.net = byte(128 + rand.IntN(100))
		if f.store, err = newStore(f.port(1, 1, storePort).String()); err == nil {
			break
		}
	}
	for _, z := range zones {
		f.routers[z] = &router{}
	}
	if err == nil {
		f.endOnSignal()
	}
	return f, err
}

// endOnSignal ends all processes and this one if it is told to end.
func (f *fleet) endOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-c
		f.end()
		os.Exit(2)
	}()
}

func (f *fleet) port(c, d byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.net, c, d}), port)
}

// configure writes the next version of the configuration. The service of each route is its name.
func (f *fleet) configure(routes map[string]netip.AddrPort) {
	f.version += 3
	var all, services []any
	for name, a := range routes {
		all = append(all, map[string]any{
			"name": "r-" + name, "hostname": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()), "type": "idempotent",
			"timeout-ms": 4000, "latency-goal-ms": 300, "priority": 2, "service": name, "max-attempts": 2,
		})
		services = append(services, map[string]any{
			"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false,
			"warmup-s": 2.0, "warmup-per-s": 0.0,
		})
	}
	f.store.put("op/config", map[string]any{
		"version": f.version, "routes": all, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// addHost starts a host, which registers itself in the store.
func (f *fleet) addHost(service, zone string) (*host, error) {
	n := byte(len(f.hosts) + 1)
	number := uint64(rand.Uint32())<<32 | uint64(rand.Uint32()) | 1
	h, err := newHost(f, number, service, zone, f.port(100, n, hostPort))
	if err == nil {
		f.hosts = append(f.hosts, h)
	}
	return h, err
}

// addClients starts clients that send through the routers of a zone.
func (f *fleet) addClients(zone string, n int) error {
	for range n {
		c, err := newClient(f.port(200, byte(len(f.clients)+1), packetPort).Addr(), f.routers[zone], f.record)
		if err != nil {
			return err
		}
		f.clients = append(f.clients, c)
	}
	return nil
}

// A daemon is one machine with a filbertflow process.
type daemon struct {
	name, settings string
	packets        netip.AddrPort
	ready          string
	fleet          *fleet
	restartAfter   time.Duration

	mu      sync.Mutex
	command *exec.Cmd
	starts  int
}

// addDaemons prepares machines; the first three of all are the seeds.
func (f *fleet) addDaemons(zone string, n int) error {
	for range n {
		i := byte(len(f.daemons) + 1)
		d := &daemon{
			name: fmt.Sprintf("frontend-%s-%d", zone, i), packets: f.port(10, i, packetPort), ready: f.port(10, i, readyPort).String(),
			fleet: f, restartAfter: 800 * time.Millisecond,
		}
		d.settings = filepath.Join(f.dir, d.name+".toml")
		store := f.port(1, 1, storePort)
		if f.mbps > 0 {
			if _, err := newLink(f.port(20, i, storePort), store, f.mbps); err != nil {
				return err
			}
			store = f.port(20, i, storePort)
		}
		text := fmt.Sprintf("name = %q\nzone = %q\n[packets]\nlisten = %q\n[readiness]\nlisten = %q\n[peers]\nlisten = %q\nseeds = [%q, %q, %q]\n"+
			"[metrics]\nlisten = %q\n[store]\naddress = %q\n[leave]\ngrace = \"6s\"\n",
			d.name, zone, d.packets, d.ready, f.port(10, i, peerPort), f.port(10, 1, 8166), f.port(10, 2, 8166), f.port(10, 3, 8166),
			f.port(10, i, metricsPort), store)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		f.routers[zone].targets = append(f.routers[zone].targets, &target{daemon: d, failed: 2})
	}
	return nil
}

// start starts the process. It is started again after it ends, until the fleet has ended.
func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.fleet.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(d.fleet.program, "--settings", d.settings)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "FILBERTWORKS_SETTINGS=" + d.settings}
	c.Stdout, c.Stderr = log, log
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := c.Start(); err != nil {
		return err
	}
	d.command = c
	d.starts++
	go func() {
		_ = c.Wait()
		_ = log.Close()
		d.fleet.record.add("machine %s: process ended", d.name)
		time.Sleep(d.restartAfter)
		if !d.fleet.ended.Load() {
			d.fleet.record.add("machine %s: process started", d.name)
			_ = d.start()
		}
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(s)
	}
}

func (f *fleet) start() error {
	for _, d := range f.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		go r.run(f)
	}
	return nil
}

// awaitReady waits until all machines are in rotation.
func (f *fleet) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range f.routers {
			ready += r.inRotation()
		}
		if ready == len(f.daemons) {
			return true
		}
	}
	return false
}

// end ends all processes.
func (f *fleet) end() {
	f.ended.Store(true)
	for _, d := range f.daemons {
		d.signal(syscall.SIGKILL)
	}
	time.Sleep(100 * time.Millisecond)
}

// A router spreads the flows of a zone's clients over its machines in rotation by mod.
type router struct {
	mu      sync.Mutex
	targets []*target
}

type target struct {
	daemon *daemon
	failed int
}

func (r *router) rotation() []*target {
	return slices.DeleteFunc(slices.Clone(r.targets), func(t *target) bool { return t.failed >= 2 })
}

func (r *router) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rotation())
}

func (r *router) route(id flowID) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	use := r.rotation()
	if 2*len(use) < len(r.targets) {
		use = r.targets
	}
	if len(use) == 0 {
		return netip.AddrPort{}, false
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id.client.String() + "|" + id.service.String()))
	return use[(h.Sum64()>>20)%uint64(len(use))].daemon.packets, true
}

// run probes the machines twice a second.
func (r *router) run(f *fleet) {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	for !f.ended.Load() {
		for _, t := range r.targets {
			go func() {
				response, err := client.Get("http://" + t.daemon.ready + "/readiness")
				good := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if before := t.failed; good && before >= 2 || !good && before == 1 {
					f.record.add("router: %s in rotation: %v", t.daemon.name, good)
				}
				t.failed++
				if good {
					t.failed = 0
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
}
