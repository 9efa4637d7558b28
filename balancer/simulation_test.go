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

// epoch is the time at which every history starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A network describes how datagrams are lost, duplicated and delayed.
type network struct {
	// loss, duplicates and veryLate are fractions of datagrams; those very late
	// are delayed by up to five minutes.
	loss, duplicates, veryLate float64
	// delay is the maximum delay of a datagram, stall the maximum additional delay
	// of one to an upstream.
	delay, stall time.Duration
}

// A simulation runs a few nodes on one simulated clock, connected by a
// simulated network.
type simulation struct {
	now     time.Time
	random  *rand.Rand
	queue   queue
	network network
	nodes   []*node
	hosts   map[netip.AddrPort]*host
	config  *config.Snapshot
	// receive is called with each message sent to a caller.
	receive func(to netip.AddrPort, m *message)
	// wrongService counts datagrams that reached a host of another service.
	wrongService int
	// retried counts requests offered to another upstream after a refusal.
	retried int
	// unusable counts datagrams sent to upstreams that, by their sender's
	// configuration, are removed or in a zone taken out.
	unusable int
	// canceled counts cancels.
	canceled int
	// arrived counts datagrams that reached a host.
	arrived int
}

// A message is sent to a caller.
type message struct {
	token   packet.Token
	ticket  []byte
	verdict verdict.Verdict
	reason  verdict.Reason
	// content is that of the answered request.
	content []byte
}

// A host receives the datagrams sent to an upstream's address.
type host struct {
	service uint32
	// answer returns the time until the answer, or that the request is shed or
	// never answered.
	answer func() (after time.Duration, shed, silent bool)
	// seen holds the received messages; duplicates of them are ignored, as CoAP
	// does.
	seen map[string]bool
	// run is called for each execution.
	run func(content []byte)
}

// A node is one balancer process.
type node struct {
	simulation *simulation
	self       member.Member
	balancer   *balancer.Balancer
	dead       bool
	leaving    bool
	// exited is when a node that left ended.
	exited time.Time
	// resumes is when a paused node resumes.
	resumes time.Time
	// timerAt is the time of the next event for the balancer's timers.
	timerAt time.Time
}

func newSimulation(seed uint64, n network, limits keeper.Limits, zones ...string) *simulation {
	sm := &simulation{
		now:     epoch,
		random:  rand.New(rand.NewPCG(seed, 1)),
		network: n,
		hosts:   make(map[netip.AddrPort]*host),
	}
	for i, z := range zones {
		sm.nodes = append(sm.nodes, sm.newNode(fmt.Sprintf("b%d", i), z, limits))
	}
	for _, n := range sm.nodes {
		sm.updateView(n)
	}
	return sm
}

func (sm *simulation) newNode(name, zone string, limits keeper.Limits) *node {
	n := &node{simulation: sm}
	n.self = member.Member{
		Name:        name,
		Zone:        zone,
		Incarnation: sm.random.Uint64() | 1,
	}
	n.balancer = balancer.New(balancer.Options{
		Name:        name,
		Zone:        zone,
		Incarnation: n.self.Incarnation,
		Start:       sm.now,
		Limits:      limits,
		Rand:        sm.random,
		Transport:   n,
	})
	return n
}

// updateView sets the member view of n to the current state of all nodes.
func (sm *simulation) updateView(n *node) {
	var members []member.Member
	for _, o := range sm.nodes {
		m := o.self
		switch {
		case o.dead:
			m.State = member.Dead
		case o.leaving:
			m.State = member.Leaving
		}
		members = append(members, m)
	}
	n.balancer.SetMembers(member.NewTable(members), true)
}

// propagateViews updates the views of all nodes, each after a random delay.
func (sm *simulation) propagateViews() {
	for _, n := range sm.nodes {
		sm.after(sm.randomUpTo(maxViewDelay), func() { n.do(func() { sm.updateView(n) }) })
	}
}

// install sets the configuration of all nodes, each after a random delay of at
// most within.
func (sm *simulation) install(s *config.Snapshot, within time.Duration) {
	sm.config = s
	for _, n := range sm.nodes {
		sm.after(sm.randomUpTo(within), func() { n.do(func() { n.balancer.Configure(sm.now, s) }) })
	}
}

func (sm *simulation) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(sm.random.Int64N(int64(d) + 1))
}

func (sm *simulation) after(d time.Duration, f func()) {
	heap.Push(&sm.queue, event{
		at:       sm.now.Add(d),
		sequence: sm.random.Uint64(),
		run:      f,
	})
}

// send delivers a datagram with the faults of the network.
func (sm *simulation) send(f func()) {
	for {
		if sm.random.Float64() >= sm.network.loss {
			sm.after(sm.delay(), f)
		}
		if sm.random.Float64() >= sm.network.duplicates {
			return
		}
	}
}

func (sm *simulation) delay() time.Duration {
	if sm.random.Float64() < sm.network.veryLate {
		return sm.randomUpTo(5 * time.Minute)
	}
	return sm.randomUpTo(sm.network.delay)
}

// run processes all events up to a time.
func (sm *simulation) run(until time.Time) {
	for len(sm.queue) > 0 && !sm.queue[0].at.After(until) {
		e := heap.Pop(&sm.queue).(event)
		sm.now = e.at
		e.run()
	}
	sm.now = until
}

// sendToAnyNode sends a caller's datagram to a random node. A node that exited
// is still chosen until the views no longer have it.
func (sm *simulation) sendToAnyNode(h packet.Header, datagram []byte) {
	sm.send(func() {
		n := sm.nodes[sm.random.IntN(len(sm.nodes))]
		for n.dead && sm.now.Sub(n.exited) > maxViewDelay {
			n = sm.nodes[sm.random.IntN(len(sm.nodes))]
		}
		h := h
		n.do(func() { n.balancer.HandleCaller(sm.now, &h, datagram) })
	})
}

// do runs f at n: never if n is dead, later if it is paused.
func (n *node) do(f func()) {
	if n.dead {
		return
	}
	if n.simulation.now.Before(n.resumes) {
		n.simulation.after(n.resumes.Sub(n.simulation.now), func() { n.do(f) })
		return
	}
	f()
	n.scheduleTimer()
}

// scheduleTimer adds an event for n's next timer.
func (n *node) scheduleTimer() {
	at, ok := n.balancer.NextTimer()
	if !ok || (n.timerAt.After(n.simulation.now) && !at.Before(n.timerAt)) {
		return
	}
	n.timerAt = at
	n.simulation.after(max(0, at.Sub(n.simulation.now)), func() {
		n.do(func() { n.balancer.Advance(n.simulation.now) })
	})
}

func (n *node) Cancel(q *keeper.Cancel) {
	n.simulation.canceled++
	n.sendableUpstream(q.Upstream)
}

func (n *node) Deliver(d *keeper.Delivery, datagram []byte) {
	m := &message{
		token:   d.Token,
		ticket:  append([]byte(nil), d.Ticket...),
		verdict: verdict.Answered,
		content: append([]byte(nil), datagram...),
	}
	if len(datagram) == 0 {
		m.verdict, m.reason = verdict.NotRun, verdict.ReasonShed
	}
	n.simulation.send(func() { n.simulation.receive(d.Caller, m) })
}

func (n *node) Drop(*packet.Header, verdict.Reason) {}

func (n *node) Forward(f *keeper.Forward, datagram []byte) {
	u := n.sendableUpstream(f.Upstream)
	if u == nil {
		return
	}
	sm, token, id := n.simulation, f.Token, f.Upstream
	content := append([]byte(nil), datagram...)
	name := fmt.Sprint(n.self.Incarnation, token, f.MessageID)
	service := binary.BigEndian.Uint32(content)
	sm.after(sm.randomUpTo(sm.network.stall), func() {
		sm.send(func() {
			if h := sm.hosts[u.Address]; h != nil {
				sm.deliverToHost(h, n, id, token, name, service, content)
			}
		})
	})
}

func (sm *simulation) deliverToHost(h *host, n *node, id uint32, token packet.Token, name string, service uint32, content []byte) {
	sm.arrived++
	if h.service != service {
		sm.wrongService++
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
	sm.after(after, func() {
		sm.send(func() { n.do(func() { n.balancer.HandleUpstreamMessage(sm.now, id, a, content) }) })
	})
}

func (n *node) Refuse(h *packet.Header, r *keeper.Refusal) {
	m := &message{
		token:   h.Token,
		ticket:  append([]byte(nil), r.Ticket...),
		verdict: r.Verdict,
		reason:  r.Reason,
	}
	to := h.Caller
	n.simulation.send(func() { n.simulation.receive(to, m) })
}

func (n *node) Relay(to *member.Member, r *wire.Relay, datagram []byte) {
	sm := n.simulation
	frame := wire.AppendRelay(nil, r, datagram)
	name := to.Name
	sm.send(func() {
		for _, o := range sm.nodes {
			if o.self.Name == name {
				o.do(func() { o.handleRelay(frame) })
			}
		}
	})
}

func (n *node) RecordDecision(d *balancer.Decision) {
	if d.Upstream != 0 && d.Reason != verdict.ReasonNone {
		n.simulation.retried++
	}
}

// sendableUpstream returns the upstream of an id, or nil if the node's
// configuration allows no datagrams to it, which is counted.
func (n *node) sendableUpstream(id uint32) *config.Upstream {
	s := n.balancer.Config()
	u := s.Upstream(id).Upstream
	if u == nil || !s.ZoneIn(u.Zone) {
		n.simulation.unusable++
		return nil
	}
	return u
}

// handleRelay parses and handles a relay of another node.
func (n *node) handleRelay(frame []byte) {
	var r wire.Relay
	datagram, err := wire.ParseRelay(frame, &r)
	if err != nil {
		panic(err)
	}
	h := headerOf(datagram)
	h.Caller, h.Service = r.Caller, r.Service
	n.balancer.HandleRelay(n.simulation.now, &r, &h, datagram)
}

// Layout of the tests' datagrams: service, kind, request, attempt, token,
// ticket.
const (
	contentSize  = 14
	datagramSize = contentSize + 8
)

// datagramOf returns a datagram; its first contentSize bytes identify the
// attempt.
func datagramOf(service uint32, kind packet.Kind, request uint64, attempt uint8, token uint64, ticket []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, service)
	b = append(b, byte(kind))
	b = binary.BigEndian.AppendUint64(b, request)
	b = append(b, attempt)
	b = binary.BigEndian.AppendUint64(b, token)
	return append(b, ticket...)
}

// headerOf returns the header that a parser reads from a datagram.
func headerOf(b []byte) packet.Header {
	return packet.Header{
		Service:     binary.BigEndian.Uint32(b),
		Kind:        packet.Kind(b[4]),
		Token:       packet.TokenOf(b[contentSize:datagramSize]),
		MessageID:   binary.BigEndian.Uint16(b[datagramSize-2:]),
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
