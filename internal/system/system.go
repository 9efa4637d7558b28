// Package system runs complete systems for tests, as real processes on
// loopback: a stand-in platform, stand-in upstreams, balancers and stand-in
// callers.
package system

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// Ports of a system's processes.
const (
	portPlatform        = 7300
	portUpstreamControl = 7310
	portRelay           = 7400
	portControl         = 7401
	portAdmin           = 7402
	portDesk            = 5683
	portPhotos          = 5684
	portUpstream        = 5683
)

// Timeouts and intervals of a system.
const (
	// readyTimeout is how long a process may take to become ready.
	readyTimeout = 30 * time.Second
	// callTimeout is the timeout of an HTTP call to a process.
	callTimeout = 5 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
	// Deadline is the request deadline of the services.
	Deadline = 2 * time.Second
	// Refresh is the refresh interval of watches.
	Refresh = 2 * time.Second
)

// A Site describes one region with its zones and services.
type Site struct {
	Region string
	// Zones are the availability zones.
	Zones []string
	// Desk is the name of the service with watches and non-idempotent requests;
	// Photos is the name of the service with large answers.
	Desk   string
	Photos string
	// Slots is the number of concurrent requests that an upstream can handle.
	Slots uint32
}

// Sites of the users.
var (
	Lonestar = Site{
		Region: "tx-central",
		Zones:  []string{"tx-central-a", "tx-central-b", "tx-central-c"},
		Desk:   "rental-desk",
		Photos: "lookbook",
		Slots:  4,
	}
	Consorzio = Site{
		Region: "alto-adige",
		Zones:  []string{"bolzano", "merano", "bressanone", "brunico"},
		Desk:   "bacheca",
		Photos: "planimetrie",
		Slots:  2,
	}
)

// A Layout describes the processes and addresses of a system.
type Layout struct {
	// Programs is the directory of the built programs.
	Programs string
	// Directory is the directory for settings and logs.
	Directory string
	// Subnet keeps the addresses distinct from those of other systems: all
	// addresses are in 127.Subnet.0.0/16.
	Subnet uint8
	Site   Site
	// BalancersPerZone is at least one.
	BalancersPerZone int
	// DesksPerZone is the number of upstreams of the desk service in each zone.
	DesksPerZone int
	// Work is the mean service time of a request.
	Work time.Duration
}

// A System is a running system.
type System struct {
	layout    Layout
	processes map[string]*Process
	client    *http.Client
	vms       []config.VM
}

// Start starts the platform, the upstreams and all balancers, and waits until
// the balancers are ready.
func Start(ctx context.Context, l Layout) (*System, error) {
	s := &System{
		layout:    l,
		processes: make(map[string]*Process),
		client:    &http.Client{Timeout: callTimeout},
	}
	if err := s.start(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// Balancers returns the names of all balancers in the order in which they were
// first started.
func (s *System) Balancers() []string {
	names := make([]string, 0, len(s.vms))
	for i := range s.vms {
		names = append(names, s.vms[i].Name)
	}
	return names
}

// BalancersInZone returns the names of the balancers in a zone.
func (s *System) BalancersInZone(zone string) []string {
	var names []string
	for i := range s.vms {
		if s.vms[i].Zone == zone {
			names = append(names, s.vms[i].Name)
		}
	}
	return names
}

// Kill sends SIGKILL to a process.
func (s *System) Kill(name string) error {
	return s.signal(name, syscall.SIGKILL)
}

// Leave asks a balancer to leave gracefully and waits until it has ended.
func (s *System) Leave(name string) error {
	return s.processes[name].Stop()
}

// Pause suspends a process with SIGSTOP until Resume is called.
func (s *System) Pause(name string) error {
	return s.signal(name, syscall.SIGSTOP)
}

// Replace publishes and starts a balancer with a new name and the addresses of
// one that has ended. It returns the new name and does not wait until the
// balancer is ready.
func (s *System) Replace(ctx context.Context, ended string) (string, error) {
	for i := range s.vms {
		if s.vms[i].Name != ended {
			continue
		}
		s.vms[i].Name = ended + "x"
		if err := s.publishVMs(ctx); err != nil {
			return "", err
		}
		return s.vms[i].Name, s.startBalancer(ctx, &s.vms[i])
	}
	return "", eris.Errorf("no balancer %s", ended)
}

// Resume continues a paused process.
func (s *System) Resume(name string) error {
	return s.signal(name, syscall.SIGCONT)
}

// Stop kills all processes, including paused ones, and waits for their end.
func (s *System) Stop() {
	for _, p := range s.processes {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		<-p.done
	}
}

// Document returns the initial configuration of the system, with a new secret.
func (s *System) Document() *config.Document {
	d := &config.Document{
		Keys: []config.Key{{
			ID:     1,
			Secret: make([]byte, config.MinSecretSize),
		}},
	}
	// Read never fails on the supported systems.
	_, _ = rand.Read(d.Keys[0].Secret)
	for _, z := range s.layout.Site.Zones {
		d.Zones = append(d.Zones, config.Zone{
			Name:   z,
			Region: s.layout.Site.Region,
			State:  config.ZoneIn,
		})
	}
	d.Services = []config.Service{
		s.service(1, s.layout.Site.Desk, portDesk, s.layout.DesksPerZone),
		s.service(2, s.layout.Site.Photos, portPhotos, 1),
	}
	return d
}

// Site returns the site that the system runs.
func (s *System) Site() Site {
	return s.layout.Site
}

// Upstream returns an upstream of a service. Upstream numbers start at one and
// determine the address, which is unique in the system.
func (s *System) Upstream(service string, number int, zone string) config.Upstream {
	block := byte(2)
	if service == s.layout.Site.Photos {
		block = 3
	}
	return config.Upstream{
		ID:          uint32(block)*1000 + uint32(number),
		Name:        fmt.Sprintf("%s-%d", service, number),
		Zone:        zone,
		Address:     s.address(block, byte(number), portUpstream),
		Share:       100,
		Slots:       s.layout.Site.Slots,
		Connections: 2000,
		State:       config.UpstreamActive,
	}
}

// address returns 127.Subnet.block.number:port.
func (s *System) address(block, number byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.layout.Subnet, block, number}), port)
}

func (s *System) filePath(name string) string {
	return filepath.Join(s.layout.Directory, name)
}

// startProgram starts a program as the process with the given name.
func (s *System) startProgram(name, program string, arguments ...string) error {
	p, err := StartProcess(name, s.filePath(name+".log"), filepath.Join(s.layout.Programs, program), arguments...)
	if err != nil {
		return err
	}
	s.processes[name] = p
	return nil
}

func (s *System) service(id uint32, name string, port uint16, perZone int) config.Service {
	v := config.Service{
		ID:       id,
		Name:     name,
		Address:  s.address(1, 100, port),
		Deadline: config.Duration(Deadline),
		Refresh:  config.Duration(Refresh),
	}
	for i := range perZone * len(s.layout.Site.Zones) {
		v.Upstreams = append(v.Upstreams, s.Upstream(name, i+1, s.zone(i)))
	}
	return v
}

func (s *System) signal(name string, sig syscall.Signal) error {
	p := s.processes[name]
	if p == nil {
		return eris.Errorf("no process %s", name)
	}
	return p.Signal(sig)
}

func (s *System) start(ctx context.Context) error {
	document := s.Document()
	if err := s.write("config.json", document); err != nil {
		return err
	}
	s.assignVMs()
	if err := s.write("vms.json", config.VMList{VMs: s.vms}); err != nil {
		return err
	}
	if err := s.startProgram("platform", "platform", "--listen", s.address(0, 1, portPlatform).String(),
		"--config", s.filePath("config.json"), "--vms", s.filePath("vms.json")); err != nil {
		return err
	}
	if err := s.startProgram("upstream", "upstream", "--config", s.filePath("config.json"),
		"--control", s.address(0, 1, portUpstreamControl).String(), "--work", s.layout.Work.String()); err != nil {
		return err
	}
	for _, url := range []string{s.platformURL("/standin/calls"), s.upstreamControlURL("/standin/counters")} {
		if err := s.awaitURL(ctx, url); err != nil {
			return err
		}
	}
	for i := range s.vms {
		if err := s.startBalancer(ctx, &s.vms[i]); err != nil {
			return err
		}
	}
	return s.WaitReady(ctx)
}

// assignVMs sets the names, zones and addresses of the balancers.
func (s *System) assignVMs() {
	for i := range s.layout.BalancersPerZone * len(s.layout.Site.Zones) {
		number := byte(i + 1)
		s.vms = append(s.vms, config.VM{
			Name:    fmt.Sprintf("lb-%d", number),
			Zone:    s.zone(i),
			Relay:   s.address(1, number, portRelay),
			Control: s.address(1, number, portControl),
			Admin:   s.address(1, number, portAdmin),
			State:   config.VMLive,
		})
	}
}

// startBalancer writes a balancer's settings and starts it. It does not wait until
// the balancer is ready.
func (s *System) startBalancer(_ context.Context, v *config.VM) error {
	settings := fmt.Sprintf(`name = %q
zone = %q
[callers]
ip = %q
[relay]
listen = %q
[control]
listen = %q
[admin]
listen = %q
[upstreams]
ip = %q
[platform]
url = %q
`, v.Name, v.Zone, v.Relay.Addr(), v.Relay, v.Control, v.Admin, v.Relay.Addr(), s.platformURL(""))
	file := s.filePath(v.Name + ".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	return s.startProgram(v.Name, "filbertd", "--settings", file)
}

func (s *System) write(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return eris.Wrapf(err, "encode %s", name)
	}
	return eris.Wrapf(os.WriteFile(s.filePath(name), data, 0o600), "write %s", name)
}

// zone returns the zone of the i-th process or upstream; they are assigned to
// the zones in turn.
func (s *System) zone(i int) string {
	zones := s.layout.Site.Zones
	return zones[i%len(zones)]
}
