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

// retransmissions is the number of times that a caller sends a datagram
// (RFC 7252, MAX_RETRANSMIT).
const retransmissions = 5

// upstreamsAtFirst is the number of upstreams before any change.
const upstreamsAtFirst = 14

// calendar is the service of the flows.
const calendar = 1

// A watched is one caller's flow.
type watched struct {
	caller   netip.AddrPort
	token    packet.Token
	ticket   []byte
	upstream uint32
	refused  verdict.Reason
}

// A place is a registration as its upstream sees it.
type place struct {
	upstream uint32
	core     *flowCore
	token    packet.Token
}

// A flowSystem is a few cores, their upstreams and the callers' flows. What it
// sends arrives at once, in order.
type flowSystem struct {
	t       require.TestingT
	random  *rand.Rand
	now     time.Time
	version config.Version
	doc     *config.Document
	current *config.Snapshot
	cores   []*flowCore
	started int
	flows   []watched
	// open are the registrations, counts their number by upstream.
	open    map[place]bool
	counts  map[uint32]int
	queue   []func()
	broken  int
	relays  int
	dropped int
	// control counts the bytes of releases.
	control int
}

// A flowCore is one balancer of a flowSystem.
type flowCore struct {
	system   *flowSystem
	self     member.Member
	balancer *balancer.Balancer
}

func newFlowSystem(t require.TestingT, seed uint64, cores int) *flowSystem {
	s := &flowSystem{
		t:      t,
		random: rand.New(rand.NewPCG(seed, 2)),
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		open:   make(map[place]bool),
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
	for range upstreamsAtFirst {
		s.addUpstream()
	}
	for range cores {
		s.addCore()
	}
	s.publish()
	s.install(s.cores)
	s.view(s.cores)
	return s
}

func (s *flowSystem) service() *config.Service { return &s.doc.Services[0] }

func (s *flowSystem) addUpstream() {
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

func (s *flowSystem) addCore() {
	s.started++
	c := &flowCore{
		system: s,
		self: member.Member{
			Name:        fmt.Sprintf("b%d", s.started),
			Zone:        "a",
			Incarnation: s.random.Uint64() | 1,
			Relay:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(s.started)}), 7000),
		},
	}
	c.balancer = balancer.New(balancer.Options{
		Name:        c.self.Name,
		Zone:        "a",
		Incarnation: c.self.Incarnation,
		Start:       s.now,
		Limits: keeper.Limits{
			Exchanges: 1 << 18,
			Entries:   1 << 10,
		},
		Rand:      s.random,
		Transport: c,
		Releaser:  c,
	})
	s.cores = append(s.cores, c)
	if s.current != nil {
		// It has just started and knows only itself.
		c.balancer.Configure(s.now, s.current)
		c.balancer.SetMembers(member.NewTable([]member.Member{c.self}), false)
	}
}

// publish makes a version of the document.
func (s *flowSystem) publish() {
	s.version++
	c, err := config.NewSnapshot(s.version, s.doc.Clone())
	require.NoError(s.t, err)
	s.current = c
}

func (s *flowSystem) install(cores []*flowCore) {
	for _, c := range cores {
		c.balancer.Configure(s.now, s.current)
	}
}

// forget drops the registrations at upstreams that are gone.
func (s *flowSystem) forget() {
	for p := range s.open {
		if s.current.Upstream(p.upstream).Upstream == nil {
			s.closeAt(p)
		}
	}
}

func (s *flowSystem) view(cores []*flowCore) {
	members := make([]member.Member, 0, len(s.cores))
	for _, c := range s.cores {
		members = append(members, c.self)
	}
	for _, c := range cores {
		c.balancer.SetMembers(member.NewTable(members), true)
	}
}

// some returns each core with a chance of one half.
func (s *flowSystem) some() []*flowCore {
	var some []*flowCore
	for _, c := range s.cores {
		if s.random.IntN(2) == 0 {
			some = append(some, c)
		}
	}
	return some
}

// grow opens n flows.
func (s *flowSystem) grow(n int) {
	for range n {
		i := uint32(len(s.flows))
		w := watched{caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 12), byte(i >> 4)}), 1024+uint16(i%16))}
		w.token = packet.TokenOf(binary.BigEndian.AppendUint32(nil, i))
		s.flows = append(s.flows, w)
		s.send(i, packet.KindWatchOpen)
		require.NotZero(s.t, s.flows[i].upstream, "flow %d: %s", i, s.flows[i].refused)
	}
}

// send has a caller send a datagram to any core.
func (s *flowSystem) send(i uint32, kind packet.Kind) {
	w := &s.flows[i]
	c := s.cores[s.random.IntN(len(s.cores))]
	datagram := binary.BigEndian.AppendUint32(nil, i)
	datagram = append(datagram, w.ticket...)
	h := s.header(i, datagram)
	h.Kind = kind
	c.balancer.HandleCaller(s.now, &h, datagram)
	s.settle()
}

func (s *flowSystem) header(i uint32, datagram []byte) packet.Header {
	w := &s.flows[i]
	return packet.Header{
		Service:     calendar,
		Caller:      w.caller,
		Kind:        packet.KindWatchOpen,
		Token:       w.token,
		Message:     uint16(s.random.Uint32()),
		Confirmable: true,
		Ticket:      datagram[4:],
		Digest:      1,
	}
}

// settle delivers what is on its way.
func (s *flowSystem) settle() {
	for len(s.queue) > 0 {
		f := s.queue[0]
		s.queue = s.queue[1:]
		f()
	}
}

// refresh has a flow's caller refresh it and counts it if it broke.
func (s *flowSystem) refresh(i uint32) {
	w := &s.flows[i]
	before := w.upstream
	w.upstream, w.refused = 0, ""
	for attempt := 0; w.upstream == 0 && w.refused == "" && attempt < retransmissions; attempt++ {
		if attempt == 2 {
			// The third transmission is at least six seconds after the first (RFC
			// 7252): views and versions have spread to all cores by then.
			s.install(s.cores)
			s.view(s.cores)
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

func (c *flowCore) Cancel(x *keeper.Cancel) {
	c.system.closeAt(place{
		upstream: x.Upstream,
		core:     c,
		token:    x.Token,
	})
}

func (s *flowSystem) closeAt(p place) {
	if s.open[p] {
		delete(s.open, p)
		s.counts[p.upstream]--
	}
}

func (c *flowCore) Deliver(d *keeper.Delivery, datagram []byte) {
	w := &c.system.flows[binary.BigEndian.Uint32(datagram)]
	require.Equal(c.system.t, w.caller, d.Caller)
	if len(d.Ticket) > 0 {
		w.ticket = append(w.ticket[:0], d.Ticket[:ticket.Size]...)
	}
	w.upstream = binary.BigEndian.Uint32(datagram[4:])
}

func (c *flowCore) Drop(*packet.Header, verdict.Reason) {
	c.system.dropped++
}

func (c *flowCore) Forward(f *keeper.Forward, datagram []byte) {
	s := c.system
	p := place{
		upstream: f.Upstream,
		core:     c,
		token:    f.Token,
	}
	if !s.open[p] {
		s.open[p] = true
		s.counts[p.upstream]++
	}
	answer := append([]byte(nil), datagram[:4]...)
	answer = binary.BigEndian.AppendUint32(answer, f.Upstream)
	s.queue = append(s.queue, func() {
		c.balancer.HandleUpstreamMessage(s.now, p.upstream, &keeper.UpstreamMessage{
			Token:        p.token,
			Observed:     true,
			Acknowledged: true,
		}, answer)
	})
}

func (c *flowCore) Refuse(h *packet.Header, r *keeper.Refusal) {
	i := binary.BigEndian.Uint32(h.Token.Bytes[:])
	c.system.flows[i].refused = r.Reason
}

func (c *flowCore) Relay(to *member.Member, r *wire.Relay, datagram []byte) {
	s := c.system
	s.relays++
	o := s.core(to.Incarnation)
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

func (c *flowCore) Release(to *member.Member, r *keeper.Release) {
	s := c.system
	o := s.core(to.Incarnation)
	if o == nil {
		return
	}
	s.control += len(wire.AppendRelease(nil, r))
	copied := *r
	copied.Serials = slices.Clone(r.Serials)
	s.queue = append(s.queue, func() { o.balancer.HandleRelease(s.now, &copied) })
}

func (c *flowCore) RecordDecision(*balancer.Decision) {}

func (s *flowSystem) core(incarnation uint64) *flowCore {
	for _, c := range s.cores {
		if c.self.Incarnation == incarnation {
			return c
		}
	}
	return nil
}
