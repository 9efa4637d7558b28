package balancer_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/balancer"
	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
	"filbertworks.example/filbertworks/wire"
)

// Services and upstreams of the tests' configuration.
const (
	holds  = 1
	photos = 2
)

// epoch is when every history starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A network says what happens to datagrams.
type network struct {
	// loss, duplicates and ancient are fractions of datagrams; ancient ones come
	// minutes late.
	loss, duplicates, ancient float64
	// delay is the longest delay, stall that of a datagram to an upstream.
	delay, stall time.Duration
}

// A world is a few cores on one clock, joined by queues.
type world struct {
	now     time.Time
	random  *rand.Rand
	queue   queue
	network network
	cores   []*core
	hosts   map[netip.AddrPort]*host
	config  *config.Snapshot
	// receive takes what a caller is sent.
	receive func(to netip.AddrPort, m *message)
	// wrong counts datagrams that reached a host of another service.
	wrong int
	// retried counts offers of refused requests to other upstreams.
	retried int
	// outside counts datagrams sent to upstreams that are gone or in zones taken
	// out, as their sender knows.
	outside int
	// canceled counts cancels.
	canceled int
	// arrived counts datagrams that reached a host.
	arrived int
}

// A message is what a caller is sent.
type message struct {
	token   packet.Token
	ticket  []byte
	verdict verdict.Verdict
	reason  verdict.Reason
	// content is that of the request answered.
	content []byte
}

// A host is what listens at an upstream's address.
type host struct {
	service uint32
	// answer returns the time until the answer; shed and silent tell otherwise.
	answer func() (after time.Duration, shed, silent bool)
	// seen are the messages received: CoAP ignores duplicates of them.
	seen map[string]bool
	// run is told of each execution.
	run func(content []byte)
}

// A core is one balancer process.
type core struct {
	world    *world
	self     member.Member
	balancer *balancer.Balancer
	dead     bool
	leaving  bool
	// exited is when a process that left ended.
	exited time.Time
	// wakes is when a paused process goes on.
	wakes time.Time
	armed time.Time
}

func newWorld(seed uint64, n network, limits keeper.Limits, zones ...string) *world {
	w := &world{
		now:     epoch,
		random:  rand.New(rand.NewPCG(seed, 1)),
		network: n,
		hosts:   make(map[netip.AddrPort]*host),
	}
	for i, z := range zones {
		w.cores = append(w.cores, w.newCore(fmt.Sprintf("b%d", i), z, limits))
	}
	for _, c := range w.cores {
		w.refresh(c)
	}
	return w
}

func (w *world) newCore(name, zone string, limits keeper.Limits) *core {
	c := &core{world: w}
	c.self = member.Member{
		Name:        name,
		Zone:        zone,
		Incarnation: w.random.Uint64() | 1,
	}
	c.balancer = balancer.New(balancer.Options{
		Name:        name,
		Zone:        zone,
		Incarnation: c.self.Incarnation,
		Start:       w.now,
		Limits:      limits,
		Rand:        w.random,
		Transport:   c,
	})
	return c
}

// refresh brings the view of c up to date.
func (w *world) refresh(c *core) {
	var members []member.Member
	for _, o := range w.cores {
		m := o.self
		switch {
		case o.dead:
			m.State = member.Dead
		case o.leaving:
			m.State = member.Leaving
		}
		members = append(members, m)
	}
	c.balancer.SetMembers(member.NewTable(members), true)
}

// spread refreshes all views, each at a time of its own.
func (w *world) spread() {
	for _, c := range w.cores {
		w.after(w.upTo(viewSpread), func() { c.do(func() { w.refresh(c) }) })
	}
}

// install puts a configuration in force, at each core at a time of its own.
func (w *world) install(s *config.Snapshot, within time.Duration) {
	w.config = s
	for _, c := range w.cores {
		w.after(w.upTo(within), func() { c.do(func() { c.balancer.Configure(w.now, s) }) })
	}
}

func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d) + 1))
}

func (w *world) after(d time.Duration, f func()) {
	heap.Push(&w.queue, event{
		at:       w.now.Add(d),
		sequence: w.random.Uint64(),
		run:      f,
	})
}

// send delivers a datagram as the network does.
func (w *world) send(f func()) {
	for {
		if w.random.Float64() >= w.network.loss {
			w.after(w.delay(), f)
		}
		if w.random.Float64() >= w.network.duplicates {
			return
		}
	}
}

func (w *world) delay() time.Duration {
	if w.random.Float64() < w.network.ancient {
		return w.upTo(5 * time.Minute)
	}
	return w.upTo(w.network.delay)
}

// run takes all events until a time.
func (w *world) run(until time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// fabric hands a caller's datagram to any core; it learns of one that has exited
// as late as the views do.
func (w *world) fabric(h packet.Header, datagram []byte) {
	w.send(func() {
		c := w.cores[w.random.IntN(len(w.cores))]
		for c.dead && w.now.Sub(c.exited) > viewSpread {
			c = w.cores[w.random.IntN(len(w.cores))]
		}
		h := h
		c.do(func() { c.balancer.HandleCaller(w.now, &h, datagram) })
	})
}

// do runs f in c: not at all if it has died, later if it is paused.
func (c *core) do(f func()) {
	if c.dead {
		return
	}
	if c.world.now.Before(c.wakes) {
		c.world.after(c.wakes.Sub(c.world.now), func() { c.do(f) })
		return
	}
	f()
	c.arm()
}

// arm has c's timers run in time.
func (c *core) arm() {
	at, ok := c.balancer.NextTimer()
	if !ok || (c.armed.After(c.world.now) && !at.Before(c.armed)) {
		return
	}
	c.armed = at
	c.world.after(max(0, at.Sub(c.world.now)), func() {
		c.do(func() { c.balancer.Advance(c.world.now) })
	})
}

func (c *core) Cancel(q *keeper.Cancel) {
	c.world.canceled++
	c.reach(q.Upstream)
}

func (c *core) Deliver(d *keeper.Delivery, datagram []byte) {
	m := &message{
		token:   d.Token,
		ticket:  append([]byte(nil), d.Ticket...),
		verdict: verdict.Answered,
		content: append([]byte(nil), datagram...),
	}
	if len(datagram) == 0 {
		m.verdict, m.reason = verdict.NotRun, verdict.ReasonShed
	}
	c.world.send(func() { c.world.receive(d.Caller, m) })
}

func (c *core) Drop(*packet.Header, verdict.Reason) {}

func (c *core) Forward(f *keeper.Forward, datagram []byte) {
	u := c.reach(f.Upstream)
	if u == nil {
		return
	}
	w, token, id := c.world, f.Token, f.Upstream
	content := append([]byte(nil), datagram...)
	name := fmt.Sprint(c.self.Incarnation, token, f.Message)
	service := binary.BigEndian.Uint32(content)
	w.after(w.upTo(w.network.stall), func() {
		w.send(func() {
			if h := w.hosts[u.Address]; h != nil {
				w.arrive(h, c, id, token, name, service, content)
			}
		})
	})
}

func (w *world) arrive(h *host, c *core, id uint32, token packet.Token, name string, service uint32, content []byte) {
	w.arrived++
	if h.service != service {
		w.wrong++
	}
	if h.seen[name] {
		return
	}
	h.seen[name] = true
	after, shed, silent := h.answer()
	if !shed {
		h.run(content)
	}
	if silent {
		return
	}
	a := &keeper.UpstreamMessage{
		Token: token,
		Shed:  shed,
	}
	if shed {
		content = nil
	}
	w.after(after, func() {
		w.send(func() { c.do(func() { c.balancer.HandleUpstreamMessage(w.now, id, a, content) }) })
	})
}

func (c *core) Refuse(h *packet.Header, r *keeper.Refusal) {
	m := &message{
		token:   h.Token,
		ticket:  append([]byte(nil), r.Ticket...),
		verdict: r.Verdict,
		reason:  r.Reason,
	}
	to := h.Caller
	c.world.send(func() { c.world.receive(to, m) })
}

func (c *core) Relay(to *member.Member, r *wire.Relay, datagram []byte) {
	w := c.world
	frame := wire.AppendRelay(nil, r, datagram)
	name := to.Name
	w.send(func() {
		for _, o := range w.cores {
			if o.self.Name == name {
				o.do(func() { o.relayed(frame) })
			}
		}
	})
}

func (c *core) RecordDecision(d *balancer.Decision) {
	if d.Upstream != 0 && d.Reason != verdict.ReasonNone {
		c.world.retried++
	}
}

// reach returns the upstream of an id, or counts that it may not be sent to.
func (c *core) reach(id uint32) *config.Upstream {
	s := c.balancer.Config()
	u := s.Upstream(id).Upstream
	if u == nil || !s.ZoneIn(u.Zone) {
		c.world.outside++
		return nil
	}
	return u
}

// relayed takes a relay as another core sent it.
func (c *core) relayed(frame []byte) {
	var r wire.Relay
	datagram, err := wire.ParseRelay(frame, &r)
	if err != nil {
		panic(err)
	}
	h := headerOf(datagram)
	h.Caller, h.Service = r.Caller, r.Service
	c.balancer.HandleRelay(c.world.now, &r, &h, datagram)
}

// Layout of the tests' datagrams: service, kind, request, attempt, token,
// ticket.
const (
	contentSize  = 14
	datagramSize = contentSize + 8
)

// datagramOf returns a datagram; its first contentSize bytes name the attempt.
func datagramOf(service uint32, kind packet.Kind, request uint64, attempt uint8, token uint64, ticket []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, service)
	b = append(b, byte(kind))
	b = binary.BigEndian.AppendUint64(b, request)
	b = append(b, attempt)
	b = binary.BigEndian.AppendUint64(b, token)
	return append(b, ticket...)
}

// headerOf returns what a parser reads of a datagram.
func headerOf(b []byte) packet.Header {
	return packet.Header{
		Service:     binary.BigEndian.Uint32(b),
		Kind:        packet.Kind(b[4]),
		Token:       packet.TokenOf(b[contentSize:datagramSize]),
		Message:     binary.BigEndian.Uint16(b[datagramSize-2:]),
		Confirmable: true,
		Ticket:      b[datagramSize:],
		LaterBlock:  b[4] == byte(packet.KindIdempotent) && len(b) > datagramSize,
		Digest:      binary.BigEndian.Uint64(b[5:]),
	}
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// A queue implements heap.Interface.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
