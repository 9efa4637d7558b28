package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/config"
)

// step is how often the processes of a fleet tick.
const step = 50 * time.Millisecond

// link is the one-way delay between processes of a fleet, at most doubled at
// random.
const link = 3500 * time.Microsecond

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A process is one tracker of a fleet.
type process struct {
	tracker *Tracker
	self    Member
	down    bool
	paused  bool
}

// A fleet is a number of trackers joined by a network that loses, doubles,
// delays and reorders heartbeats.
type fleet struct {
	now       time.Time
	rand      *rand.Rand
	processes []*process
	at        map[netip.AddrPort]*process
	flying    flights
	loss      float64
	double    float64
	jitter    time.Duration
	// cut tells that nothing passes from one process to another.
	cut      func(from, to *process) bool
	messages int
	size     func(*Heartbeat) int
	bytes    int
}

type flight struct {
	at   time.Time
	from *process
	to   netip.AddrPort
	h    Heartbeat
}

type flights []flight

func (f flights) Len() int           { return len(f) }
func (f flights) Less(i, j int) bool { return f[i].at.Before(f[j].at) }
func (f flights) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *flights) Push(v any)        { *f = append(*f, v.(flight)) }
func (f *flights) Pop() any {
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

// start adds a process of a name, zone and address.
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

// list returns the platform's list of the processes that are up.
func (f *fleet) list() []config.VM {
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
	vms := f.list()
	for _, p := range f.processes {
		p.tracker.SetVMs(f.now, vms)
	}
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	f.until(d, func() bool { return false })
}

// until lets time pass until a condition holds, at most d, and returns how long
// that took.
func (f *fleet) until(d time.Duration, done func() bool) time.Duration {
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
	if f.rand.Float64() < f.double {
		copies = 2
	}
	for range copies {
		if f.rand.Float64() < f.loss {
			continue
		}
		delay := link + time.Duration(f.rand.Int64N(int64(link+f.jitter)))
		heap.Push(&f.flying, flight{
			at:   f.now.Add(delay),
			from: p,
			to:   m.To,
			h:    m.Heartbeat,
		})
	}
}

func (f *fleet) deliver() {
	for len(f.flying) > 0 && !f.flying[0].at.After(f.now) {
		v := heap.Pop(&f.flying).(flight)
		to := f.at[v.to]
		if to == nil || to.down || to.paused || f.cut != nil && f.cut(v.from, to) {
			continue
		}
		to.tracker.HandleHeartbeat(v.at, v.from.self.Relay, &v.h)
	}
}

// believes reports whether p takes o for something that is not dead.
func (p *process) believes(o *process) bool {
	m, ok := p.tracker.Table().ByIncarnation(o.self.Incarnation)
	return ok && m.State != Dead
}

// up returns the processes that run.
func (f *fleet) up() []*process {
	var up []*process
	for _, p := range f.processes {
		if !p.down && !p.paused {
			up = append(up, p)
		}
	}
	return up
}

// running reports whether the process of a name runs.
func (f *fleet) running(name string) bool {
	for _, p := range f.up() {
		if p.self.Name == name {
			return true
		}
	}
	return false
}

// converged reports whether all running processes take exactly each other for
// living.
func (f *fleet) converged() bool {
	up := f.up()
	for _, p := range up {
		living := 0
		for _, m := range p.tracker.Table().Members() {
			if m.State != Dead {
				living++
			}
		}
		if living != len(up) {
			return false
		}
		for _, o := range up {
			if !p.believes(o) {
				return false
			}
		}
	}
	return true
}
