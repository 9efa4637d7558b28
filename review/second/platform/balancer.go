package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// grace is how long a process has from SIGTERM until SIGKILL, and restartDelay how long after
// its end it is started again.
const (
	grace        = 6 * time.Second
	restartDelay = 300 * time.Millisecond
)

// balancer is a machine of the system, which runs one process of filbertflow.
type balancer struct {
	world  *world
	name   string
	zone   string
	ip     netip.Addr
	misses int // readiness probes missed in a row

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool          // the machine is not to start it again
	dark    time.Duration // how long the machine stays without power after the next end
	ended   chan struct{}
}

func (b *balancer) inRotation() bool { return b.misses < 2 }

func (w *world) addBalancer(zoneIndex int, zone string, n int) *balancer {
	b := &balancer{
		world:  w,
		name:   fmt.Sprintf("frontend-%s-%d", zone, n),
		zone:   zone,
		ip:     w.ip(zoneIndex, n),
		misses: 2,
	}
	w.balancers = append(w.balancers, b)
	w.router.zones[zone] = append(w.router.zones[zone], b)
	w.mu.Lock()
	w.names[b.ip] = b.name
	w.mu.Unlock()
	return b
}

// start runs the process, and runs it again when it ends.
func (b *balancer) start() error {
	settings, err := b.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(b.world.dir, b.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/filbertflow", "--settings", settings)
	c.Dir = b.world.root
	c.Stdout, c.Stderr = log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FILBERTWORKS_SETTINGS=" + settings}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return nil
	}
	if err := c.Start(); err != nil {
		return err
	}
	b.command = c
	ended := make(chan struct{})
	b.ended = ended
	go func() {
		err := c.Wait()
		close(ended)
		_ = log.Close()
		b.mu.Lock()
		stopped, dark := b.stopped, b.dark
		b.dark = 0
		b.mu.Unlock()
		if stopped {
			return
		}
		b.world.note("%s has ended (%v), and is started again", b.name, err)
		time.Sleep(max(dark, restartDelay))
		if err := b.start(); err != nil {
			b.world.note("%s can't be started: %v", b.name, err)
		}
	}()
	return nil
}

// writeSettings fills in the template of the settings.
func (b *balancer) writeSettings() (string, error) {
	template, err := os.ReadFile(filepath.Join(b.world.root, "platform/settings.toml.tmpl"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, s := range b.world.seeds() {
		seeds = append(seeds, fmt.Sprintf("%q", s))
	}
	quote := func(s string) string { return fmt.Sprintf("%q", s) }
	text := strings.NewReplacer(
		"{{node-name|json}}", quote(b.name),
		"{{zone|json}}", quote(b.zone),
		"{{listen.packet-addr|json}}", quote(netip.AddrPortFrom(b.ip, b.world.packetPort).String()),
		"{{listen.ready|json}}", quote(netip.AddrPortFrom(b.ip, b.world.readyPort).String()),
		"{{ip}}", b.ip.String(),
		"{{internal-ports.0}}", fmt.Sprint(b.world.peerPort),
		"{{seeds|json}}", "["+strings.Join(seeds, ",")+"]",
		"{{platform.address|json}}", quote(b.world.store.listener.Addr().String()),
		"{{bounds.grace-s}}", fmt.Sprint(int(grace.Seconds())),
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("the template has a placeholder that is not known here")
	}
	path := filepath.Join(b.world.dir, b.name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// seeds are the control addresses of the first balancer of each zone. The program uses their
// IP addresses only.
func (w *world) seeds() []string {
	var all []string
	seen := make(map[string]bool)
	for _, b := range w.balancers {
		if !seen[b.zone] {
			seen[b.zone] = true
			all = append(all, netip.AddrPortFrom(b.ip, w.peerPort+10).String())
		}
	}
	return all
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after grace.
func (b *balancer) terminate() {
	b.mu.Lock()
	c, ended := b.command, b.ended
	b.mu.Unlock()
	_ = c.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(grace):
			_ = c.Process.Kill()
		}
	}()
}

// powerOff ends the process at once, and keeps it from starting for a time.
func (b *balancer) powerOff(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dark = d
	_ = b.command.Process.Kill()
}

// kill ends the process for good.
func (b *balancer) kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if b.command != nil {
		_ = b.command.Process.Kill()
	}
}
