package balancer_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/balancer"
	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ticket"
	"filbertworks.example/filbertworks/verdict"
	"filbertworks.example/filbertworks/wire"
)

// maxTransmissions is the number of times that a caller sends a datagram: once,
// and again up to MAX_RETRANSMIT times (RFC 7252).
const maxTransmissions = 5

// initialUpstreams is the number of upstreams before any change.
const initialUpstreams = 14

// calendar is the service of the flows.
const calendar = 1

// A callerFlow is the state of one flow at its caller.
type callerFlow struct {
	caller   netip.AddrPort
	token    packet.Token
	ticket   []byte
	upstream uint32
	refused  verdict.Reason
}

// A registration is a flow as its upstream sees it.
type registration struct {
	upstream uint32
	node     *flowNode
	token    packet.Token
}

// A flowSimulation runs a few nodes, their upstreams and the callers' flows.
// Messages arrive at once and in order.
type flowSimulation struct {
	t       require.TestingT
	random  *rand.Rand
	now     time.Time
	version config.Version
	doc     *config.Document
	current *config.Snapshot
	nodes   []*flowNode
	started int
	flows   []callerFlow
	// open holds the registrations, counts their number by upstream.
	open    map[registration]bool
	counts  map[uint32]int
	queue   []func()
	broken  int
	relays  int
	dropped int
	// control is the number of bytes of releases.
	control int
}

// A flowNode is one balancer of a flowSimulation.
type flowNode struct {
	simulation *flowSimulation
	self       member.Member
	balancer   *balancer.Balancer
}

func newFlowSimulation(t require.TestingT, seed uint64, nodes int) *flowSimulation {
	s := &flowSimulation{
		t:      t,
		random: rand.New(rand.NewPCG(seed, 2)),
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		open:   make(map[registration]bool),
		counts: make(map[uint32]int),
	}
	s.doc = &config.Document{
		Keys: []config.Key{{
			ID:     1,
			Secret: make([]byte, 32),
		}},
		Zones: []config.Zone{{
			Name:   "a",
			Region: "r",
			State:  config.ZoneIn,
		}},
		Services: []config.Service{{
			ID:       calendar,
			Name:     "calendar",
			Address:  netip.MustParseAddrPort("10.0.0.1:5683"),
			Deadline: config.Duration(2 * time.Second),
			Refresh:  config.Duration(30 * time.Second),
		}},
	}
	for range initialUpstreams {
		s.addUpstream()
	}
	for range nodes {
		s.addNode()
	}
	s.newVersion()
	s.install(s.nodes)
	s.setViews(s.nodes)
	return s
}

func (s *flowSimulation) service() *config.Service { return &s.doc.Services[0] }

func (s *flowSimulation) addUpstream() {
	v := s.service()
	id := uint32(1)
	for _, u := range v.Upstreams {
		id = max(id, u.ID+1)
	}
	v.Upstreams = append(v.Upstreams, config.Upstream{
		ID:          id,
		Name:        fmt.Sprintf("u%d", id),
		Zone:        "a",
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(id >> 8), byte(id)}), 5683),
		Share:       100,
		Slots:       4,
		Connections: 1 << 20,
		State:       config.UpstreamActive,
	})
}

func (s *flowSimulation) addNode() {
	s.started++
	n := &flowNode{
		simulation: s,
		self: member.Member{
			Name:        fmt.Sprintf("b%d", s.started),
			Zone:        "a",
			Incarnation: s.random.Uint64() | 1,
			Relay:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(s.started)}), 7000),
		},
	}
	n.balancer = balancer.New(balancer.Options{
		Name:        n.self.Name,
		Zone:        "a",
		Incarnation: n.self.Incarnation,
		Start:       s.now,
		Limits: keeper.Limits{
			Exchanges:     1 << 18,
			LedgerEntries: 1 << 10,
		},
		Rand:      s.random,
		Transport: n,
		Releaser:  n,
	})
	s.nodes = append(s.nodes, n)
	if s.current != nil {
		// A node that has just started knows only itself.
		n.balancer.Configure(s.now, s.current)
		n.balancer.SetMembers(member.NewTable([]member.Member{n.self}), false)
	}
}

// newVersion makes a new configuration version of the document.
func (s *flowSimulation) newVersion() {
	s.version++
	c, err := config.NewSnapshot(s.version, s.doc.Clone())
	require.NoError(s.t, err)
	s.current = c
}

func (s *flowSimulation) install(nodes []*flowNode) {
	for _, n := range nodes {
		n.balancer.Configure(s.now, s.current)
	}
}

// closeRemoved closes the registrations at upstreams that were removed.
func (s *flowSimulation) closeRemoved() {
	for p := range s.open {
		if s.current.Upstream(p.upstream).Upstream == nil {
			s.closeRegistration(p)
		}
	}
}

func (s *flowSimulation) setViews(nodes []*flowNode) {
	members := make([]member.Member, 0, len(s.nodes))
	for _, n := range s.nodes {
		members = append(members, n.self)
	}
	for _, n := range nodes {
		n.balancer.SetMembers(member.NewTable(members), true)
	}
}

// randomNodes returns each node with a probability of one half.
func (s *flowSimulation) randomNodes() []*flowNode {
	var some []*flowNode
	for _, n := range s.nodes {
		if s.random.IntN(2) == 0 {
			some = append(some, n)
		}
	}
	return some
}

// openFlows opens n flows.
func (s *flowSimulation) openFlows(n int) {
	for range n {
		i := uint32(len(s.flows))
		w := callerFlow{caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 12), byte(i >> 4)}), 1024+uint16(i%16))}
		w.token = packet.TokenOf(binary.BigEndian.AppendUint32(nil, i))
		s.flows = append(s.flows, w)
		s.send(i, packet.KindWatchOpen)
		require.NotZero(s.t, s.flows[i].upstream, "flow %d: %s", i, s.flows[i].refused)
	}
}

// send sends a datagram of a flow's caller to a random node.
func (s *flowSimulation) send(i uint32, kind packet.Kind) {
	w := &s.flows[i]
	n := s.nodes[s.random.IntN(len(s.nodes))]
	datagram := binary.BigEndian.AppendUint32(nil, i)
	datagram = append(datagram, w.ticket...)
	h := s.header(i, datagram)
	h.Kind = kind
	n.balancer.HandleCaller(s.now, &h, datagram)
	s.deliverQueued()
}

func (s *flowSimulation) header(i uint32, datagram []byte) packet.Header {
	w := &s.flows[i]
	return packet.Header{
		Service:     calendar,
		Caller:      w.caller,
		Kind:        packet.KindWatchOpen,
		Token:       w.token,
		MessageID:   uint16(s.random.Uint32()),
		Confirmable: true,
		Ticket:      datagram[4:],
		Digest:      1,
	}
}

// deliverQueued delivers the queued messages and those that they cause.
func (s *flowSimulation) deliverQueued() {
	for len(s.queue) > 0 {
		f := s.queue[0]
		s.queue = s.queue[1:]
		f()
	}
}

// refresh refreshes a flow as its caller does, and counts it if it broke.
func (s *flowSimulation) refresh(i uint32) {
	w := &s.flows[i]
	before := w.upstream
	w.upstream, w.refused = 0, ""
	for attempt := 0; w.upstream == 0 && w.refused == "" && attempt < maxTransmissions; attempt++ {
		if attempt == 2 {
			// The third transmission is at least six seconds after the first (RFC
			// 7252): views and versions have reached all nodes by then.
			s.install(s.nodes)
			s.setViews(s.nodes)
		}
		s.send(i, packet.KindWatchOpen)
	}
	kept := s.current.Upstream(before).Upstream != nil
	if w.upstream == 0 || (kept && w.upstream != before) {
		s.broken++
	}
	if w.upstream == 0 {
		w.upstream = before
	}
}

func (n *flowNode) Cancel(x *keeper.Cancel) {
	n.simulation.closeRegistration(registration{
		upstream: x.Upstream,
		node:     n,
		token:    x.Token,
	})
}

func (s *flowSimulation) closeRegistration(p registration) {
	if s.open[p] {
		delete(s.open, p)
		s.counts[p.upstream]--
	}
}

func (n *flowNode) Deliver(d *keeper.Delivery, datagram []byte) {
	w := &n.simulation.flows[binary.BigEndian.Uint32(datagram)]
	require.Equal(n.simulation.t, w.caller, d.Caller)
	if len(d.Ticket) > 0 {
		w.ticket = append(w.ticket[:0], d.Ticket[:ticket.Size]...)
	}
	w.upstream = binary.BigEndian.Uint32(datagram[4:])
}

func (n *flowNode) Drop(*packet.Header, verdict.Reason) {
	n.simulation.dropped++
}

func (n *flowNode) Forward(f *keeper.Forward, datagram []byte) {
	s := n.simulation
	p := registration{
		upstream: f.Upstream,
		node:     n,
		token:    f.Token,
	}
	if !s.open[p] {
		s.open[p] = true
		s.counts[p.upstream]++
	}
	answer := append([]byte(nil), datagram[:4]...)
	answer = binary.BigEndian.AppendUint32(answer, f.Upstream)
	s.queue = append(s.queue, func() {
		n.balancer.HandleUpstreamMessage(s.now, p.upstream, &keeper.UpstreamMessage{
			Token:        p.token,
			Observed:     true,
			Acknowledged: true,
		}, answer)
	})
}

func (n *flowNode) Refuse(h *packet.Header, r *keeper.Refusal) {
	i := binary.BigEndian.Uint32(h.Token.Bytes[:])
	n.simulation.flows[i].refused = r.Reason
}

func (n *flowNode) Relay(to *member.Member, r *wire.Relay, datagram []byte) {
	s := n.simulation
	s.relays++
	o := s.nodeByIncarnation(to.Incarnation)
	if o == nil {
		return
	}
	copied := *r
	d := append([]byte(nil), datagram...)
	s.queue = append(s.queue, func() {
		h := s.header(binary.BigEndian.Uint32(d), d)
		o.balancer.HandleRelay(s.now, &copied, &h, d)
	})
}

func (n *flowNode) Release(to *member.Member, r *keeper.Release) {
	s := n.simulation
	o := s.nodeByIncarnation(to.Incarnation)
	if o == nil {
		return
	}
	s.control += len(wire.AppendRelease(nil, r))
	copied := *r
	copied.Serials = slices.Clone(r.Serials)
	s.queue = append(s.queue, func() { o.balancer.HandleRelease(s.now, &copied) })
}

func (n *flowNode) RecordDecision(*balancer.Decision) {}

func (s *flowSimulation) nodeByIncarnation(incarnation uint64) *flowNode {
	for _, n := range s.nodes {
		if n.self.Incarnation == incarnation {
			return n
		}
	}
	return nil
}
