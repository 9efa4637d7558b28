package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/config"
)

// step is the time between two ticks of a process.
const step = 50 * time.Millisecond

// linkDelay is the minimum one-way delay between two processes; a random delay
// of up to the same length, plus jitter, is added.
const linkDelay = 3500 * time.Microsecond

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A process is a tracker of a fleet. It neither ticks nor receives while it is
// down or paused.
type process struct {
	tracker *Tracker
	self    Member
	down    bool
	paused  bool
}

// A fleet simulates trackers that are connected by a network which loses,
// duplicates, delays and reorders heartbeats.
type fleet struct {
	now         time.Time
	rand        *rand.Rand
	processes   []*process
	at          map[netip.AddrPort]*process
	inFlight    datagramQueue
	loss        float64
	duplication float64
	jitter      time.Duration
	// blocked reports whether the network drops all heartbeats from one process
	// to another; nil if it drops none.
	blocked  func(from, to *process) bool
	messages int
	size     func(*Heartbeat) int
	bytes    int
}

type datagram struct {
	at        time.Time
	from      *process
	to        netip.AddrPort
	heartbeat Heartbeat
}

type datagramQueue []datagram

func (f datagramQueue) Len() int           { return len(f) }
func (f datagramQueue) Less(i, j int) bool { return f[i].at.Before(f[j].at) }
func (f datagramQueue) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *datagramQueue) Push(v any)        { *f = append(*f, v.(datagram)) }
func (f *datagramQueue) Pop() any {
	old := *f
	v := old[len(old)-1]
	*f = old[:len(old)-1]
	return v
}

func newFleet(seed uint64, zones, size int) *fleet {
	f := &fleet{
		now:  epoch,
		rand: rand.New(rand.NewPCG(seed, 0)),
		at:   make(map[netip.AddrPort]*process),
	}
	for i := range size {
		f.start(fmt.Sprintf("lb-%d", i), i%zones, i)
	}
	f.seed()
	return f
}

// start adds a process with a name, a zone and an address.
func (f *fleet) start(name string, zone, address int) *process {
	relay := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(address >> 16), byte(address >> 8), byte(address)}), 7400)
	p := &process{self: Member{
		Name:        name,
		Zone:        fmt.Sprintf("zone-%d", zone),
		Incarnation: f.rand.Uint64() | 1,
		Relay:       relay,
	}}
	p.tracker = NewTracker(f.now, p.self, rand.New(rand.NewPCG(f.rand.Uint64(), 0)))
	f.processes = append(f.processes, p)
	f.at[relay] = p
	return p
}

// listedVMs returns the VMs that the platform lists: one for each process that
// is not down.
func (f *fleet) listedVMs() []config.VM {
	var vms []config.VM
	for _, p := range f.processes {
		if !p.down {
			vms = append(vms, config.VM{
				Name:  p.self.Name,
				Zone:  p.self.Zone,
				Relay: p.self.Relay,
				State: config.VMLive,
			})
		}
	}
	return vms
}

func (f *fleet) seed() {
	vms := f.listedVMs()
	for _, p := range f.processes {
		p.tracker.SetVMs(f.now, vms)
	}
}

// run runs the simulation for d.
func (f *fleet) run(d time.Duration) {
	f.runUntil(d, func() bool { return false })
}

// runUntil runs the simulation until done returns true, for at most d, and
// returns the simulated time that passed.
func (f *fleet) runUntil(d time.Duration, done func() bool) time.Duration {
	began := f.now
	for f.now.Sub(began) < d && !done() {
		f.now = f.now.Add(step)
		f.deliver()
		for _, p := range f.processes {
			if p.down || p.paused {
				continue
			}
			for _, m := range p.tracker.Tick(f.now) {
				f.send(p, m)
			}
		}
	}
	return f.now.Sub(began)
}

func (f *fleet) send(p *process, m Message) {
	f.messages++
	if f.size != nil {
		f.bytes += f.size(&m.Heartbeat)
	}
	copies := 1
	if f.rand.Float64() < f.duplication {
		copies = 2
	}
	for range copies {
		if f.rand.Float64() < f.loss {
			continue
		}
		delay := linkDelay + time.Duration(f.rand.Int64N(int64(linkDelay+f.jitter)))
		heap.Push(&f.inFlight, datagram{
			at:        f.now.Add(delay),
			from:      p,
			to:        m.To,
			heartbeat: m.Heartbeat,
		})
	}
}

func (f *fleet) deliver() {
	for len(f.inFlight) > 0 && !f.inFlight[0].at.After(f.now) {
		v := heap.Pop(&f.inFlight).(datagram)
		to := f.at[v.to]
		if to == nil || to.down || to.paused || f.blocked != nil && f.blocked(v.from, to) {
			continue
		}
		to.tracker.HandleHeartbeat(v.at, v.from.self.Relay, &v.heartbeat)
	}
}

// seesAlive reports whether o is in p's view and not dead there.
func (p *process) seesAlive(o *process) bool {
	m, ok := p.tracker.Table().ByIncarnation(o.self.Incarnation)
	return ok && m.State != Dead
}

// running returns the processes that are neither down nor paused.
func (f *fleet) running() []*process {
	var running []*process
	for _, p := range f.processes {
		if !p.down && !p.paused {
			running = append(running, p)
		}
	}
	return running
}

// isRunning reports whether a process with the given name is running.
func (f *fleet) isRunning(name string) bool {
	for _, p := range f.running() {
		if p.self.Name == name {
			return true
		}
	}
	return false
}

// converged reports whether the living members of every running process's view
// are exactly the running processes.
func (f *fleet) converged() bool {
	running := f.running()
	for _, p := range running {
		living := 0
		for _, m := range p.tracker.Table().Members() {
			if m.State != Dead {
				living++
			}
		}
		if living != len(running) {
			return false
		}
		for _, o := range running {
			if !p.seesAlive(o) {
				return false
			}
		}
	}
	return true
}
