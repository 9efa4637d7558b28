package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of a deployment, the same on all machines.
const (
	packetPort  = 8172
	readyPort   = 8167
	controlPort = 8166
	hostPort    = 8080
	storePort   = 8169
)

// Bounds of sites/lfl-edge.toml.
const (
	stableWindow = 4 * time.Second
	drainBound   = 3 * time.Second
	graceSeconds = 6
)

// bed is a deployment on loopback addresses.
type bed struct {
	root    string
	dir     string
	subnet  byte
	rec     *record
	store   *store
	hosts   []*host
	routers map[string]*router
	daemons []*daemon
	loss    atomic.Uint64 // lost datagrams in 100,000

	mu      sync.Mutex
	names   map[netip.AddrPort]string
	onSYN   func(*hostFlow)
	onOpen  func(*hostFlow)
	onRun   func(f *hostFlow, id string)
	onReset func(f *clientFlow, from netip.AddrPort, p *packet)
}

func newBed(root, recordPath string) (*bed, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bed{root: root, dir: dir, rec: rec, routers: make(map[string]*router), names: make(map[netip.AddrPort]string)}
	for range 50 {
		b.subnet = byte(20 + rand.IntN(200))
		if b.store, err = startStore(netip.AddrPortFrom(b.addr(1, 1), storePort).String(), rec); err == nil {
			return b, nil
		}
	}
	return nil, err
}

func (b *bed) addr(c, d byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.subnet, c, d})
}

// lost reports whether the network loses a datagram.
func (b *bed) lost() bool {
	n := b.loss.Load()
	return n > 0 && rand.Uint64N(100000) < n
}

func (b *bed) nameOf(a netip.AddrPort) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n, ok := b.names[a]; ok {
		return n
	}
	return a.String()
}

func (b *bed) name(a netip.AddrPort, n string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.names[a] = n
}

func (b *bed) syn(f *hostFlow) {
	if b.onSYN != nil {
		b.onSYN(f)
	}
}

func (b *bed) opened(f *hostFlow) {
	if b.onOpen != nil {
		b.onOpen(f)
	}
}

func (b *bed) ran(f *hostFlow, id string) {
	if b.onRun != nil {
		b.onRun(f, id)
	}
}

func (b *bed) hostReset(*host, flowKey, *packet) {}

func (b *bed) clientReset(f *clientFlow, from netip.AddrPort, p *packet) {
	if b.onReset != nil {
		b.onReset(f, from, p)
	}
}

// addHost starts a host and registers it.
func (b *bed) addHost(service, zone string) (*host, error) {
	n := len(b.hosts)
	a := netip.AddrPortFrom(b.addr(byte(100+n/200), byte(1+n%200)), hostPort)
	h, err := startHost(b, service, zone, a)
	if err != nil {
		return nil, err
	}
	b.hosts = append(b.hosts, h)
	b.name(a, "host "+h.id)
	h.register()
	return h, nil
}

// daemon is a machine that runs filbertflow.
type daemon struct {
	bed      *bed
	name     string
	zone     string
	ip       netip.Addr
	settings string
	log      *os.File

	mu        sync.Mutex
	process   *exec.Cmd
	done      chan struct{}
	startedAt time.Time
	disturbed time.Time
	stopping  bool
}

// addDaemon prepares a machine; the seeds are the first three.
func (b *bed) addDaemon(zone string) *daemon {
	n := len(b.daemons)
	d := &daemon{bed: b, name: fmt.Sprintf("frontend-%s-%d", zone, n+1), zone: zone, ip: b.addr(10, byte(n+1))}
	b.daemons = append(b.daemons, d)
	b.name(netip.AddrPortFrom(d.ip, packetPort), "daemon "+d.name)
	if b.routers[zone] == nil {
		b.routers[zone] = &router{}
	}
	b.routers[zone].targets = append(b.routers[zone].targets, &target{daemon: d, misses: 2})
	return d
}

// fields are the settings of a process, as DEPLOY.md shows them.
func (d *daemon) fields() map[string]any {
	var seeds []string
	for _, s := range d.bed.daemons[:min(3, len(d.bed.daemons))] {
		seeds = append(seeds, netip.AddrPortFrom(s.ip, controlPort).String())
	}
	return map[string]any{
		"node-name": d.name, "zone": d.zone, "ip": d.ip.String(),
		"internal-ports": []int{7720, 7735}, "seeds": seeds,
		"listen": map[string]any{
			"packet-addr": netip.AddrPortFrom(d.ip, packetPort).String(),
			"ready":       netip.AddrPortFrom(d.ip, readyPort).String(),
			"control":     netip.AddrPortFrom(d.ip, controlPort).String(),
		},
		"platform": map[string]any{"address": netip.AddrPortFrom(d.bed.addr(1, 1), storePort).String()},
		"bounds":   map[string]any{"grace-s": graceSeconds},
	}
}

var placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

// writeSettings fills in the template of the deploy file.
func (d *daemon) writeSettings() error {
	text, err := os.ReadFile(filepath.Join(d.bed.root, "platform", "settings.toml.tmpl"))
	if err != nil {
		return err
	}
	fields := d.fields()
	var failed error
	out := placeholder.ReplaceAllFunc(text, func(m []byte) []byte {
		sub := placeholder.FindSubmatch(m)
		var v any = fields
		for _, part := range strings.Split(string(sub[1]), ".") {
			switch x := v.(type) {
			case map[string]any:
				v = x[part]
			case []int:
				v = x[part[0]-'0']
			}
		}
		if v == nil {
			failed = fmt.Errorf("no value for %s", m)
		}
		if len(sub[2]) > 0 {
			data, _ := json.Marshal(v)
			return data
		}
		return []byte(fmt.Sprint(v))
	})
	if failed != nil {
		return failed
	}
	d.settings = filepath.Join(d.bed.dir, d.name+".toml")
	return os.WriteFile(d.settings, out, 0o600)
}

// runLine matches the line of the deploy file that starts the role.
var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// start starts the process with the command of the deploy file, and restarts it after a
// short delay whenever it ends.
func (d *daemon) start() error {
	if err := d.writeSettings(); err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(d.bed.root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	m := runLine.FindSubmatch(text)
	if m == nil {
		return fmt.Errorf("no line 'run' in the deploy file")
	}
	words := strings.Split(string(m[1]), " ")
	for i, w := range words {
		if w == "/etc/filbertworks/settings.toml" {
			words[i] = d.settings
		}
	}
	if d.log == nil {
		if d.log, err = os.Create(filepath.Join(d.bed.dir, d.name+".log")); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return nil
	}
	c := exec.Command(filepath.Join(d.bed.root, words[0]), words[1:]...)
	c.Dir, c.Stdout, c.Stderr = d.bed.root, d.log, d.log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FILBERTWORKS_SETTINGS=" + d.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	d.process, d.done, d.startedAt = c, make(chan struct{}), time.Now()
	d.disturbed = d.startedAt
	d.bed.rec.log("daemon %s: started", d.name)
	go func(done chan struct{}) {
		_ = c.Wait()
		close(done)
		d.bed.rec.log("daemon %s: ended, %v", d.name, c.ProcessState)
		time.Sleep(300 * time.Millisecond)
		_ = d.start()
	}(d.done)
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbed = time.Now()
	d.bed.rec.log("daemon %s: %v", d.name, s)
	_ = d.process.Process.Signal(s)
}

// inTouch reports whether nothing has disturbed the daemon for the stable window.
func (d *daemon) inTouch(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return at.Sub(d.disturbed) >= stableWindow
}

// startDaemons starts all daemons, and waits until all are in rotation.
func (b *bed) startDaemons(ctx context.Context) error {
	for _, r := range b.routers {
		go r.run(ctx)
	}
	for _, d := range b.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for range 200 {
		n := 0
		for _, r := range b.routers {
			n += r.ready()
		}
		if n == len(b.daemons) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the daemons are not in rotation after 20 s")
}

// close ends all processes that the script started.
func (b *bed) close() {
	for _, d := range b.daemons {
		d.mu.Lock()
		d.stopping = true
		if d.process != nil {
			_ = d.process.Process.Signal(syscall.SIGCONT)
			_ = d.process.Process.Kill()
		}
		done := d.done
		d.mu.Unlock()
		if done != nil {
			<-done
		}
	}
	b.rec.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs:", b.dir)
	}
}

// target is a daemon behind a router.
type target struct {
	daemon *daemon
	misses int
}

// router selects daemons by a hash (mod) of the flow's four addresses and ports.
type router struct {
	mu       sync.Mutex
	targets  []*target
	rotation string
}

func (r *router) inRotation() []*target {
	var use []*target
	for _, t := range r.targets {
		if t.misses < 2 {
			use = append(use, t)
		}
	}
	return use
}

func (r *router) ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.inRotation())
}

func (r *router) route(client, service endpoint) (netip.AddrPort, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	use := r.inRotation()
	if 2*len(use) < len(r.targets) {
		use = r.targets
	}
	h := fnv.New64a()
	c, s := client.Addr().As4(), service.Addr().As4()
	_, _ = h.Write(c[:])
	_, _ = h.Write(s[:])
	_, _ = h.Write([]byte{byte(client.Port() >> 8), byte(client.Port()), byte(service.Port() >> 8), byte(service.Port())})
	x := h.Sum64()
	x ^= x >> 29
	d := use[x%uint64(len(use))].daemon
	return netip.AddrPortFrom(d.ip, packetPort), d.name
}

// run probes the daemons twice per second; two misses take one out of rotation.
func (r *router) run(ctx context.Context) {
	hc := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{Timeout: 400 * time.Millisecond}).DialContext,
	}}
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		var wg sync.WaitGroup
		for _, t := range r.targets {
			wg.Go(func() {
				ok := false
				resp, err := hc.Get("http://" + netip.AddrPortFrom(t.daemon.ip, readyPort).String() + "/readiness")
				if err == nil {
					ok = resp.StatusCode == http.StatusOK
					_ = resp.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if t.misses++; ok {
					t.misses = 0
				}
			})
		}
		wg.Wait()
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
	defer r.mu.Unlock()
	var b bytes.Buffer
	for _, t := range r.inRotation() {
		fmt.Fprintf(&b, " %s", t.daemon.name)
	}
	if s := b.String(); s != r.rotation {
		r.rotation = s
		r.targets[0].daemon.bed.rec.log("router: in rotation:%s", s)
	}
}
