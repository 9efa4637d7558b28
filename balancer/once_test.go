package balancer_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
)

const (
	// maxViewDelay and maxConfigDelay are the longest times until a change of the
	// view or of the configuration has reached all nodes.
	maxViewDelay   = 4 * time.Second
	maxConfigDelay = 3 * time.Second
	// holdDeadline is the deadline of service holds.
	holdDeadline = 2 * time.Second
)

// A fault is a kind of disturbance in a history.
type fault struct {
	name    string
	network network
	limits  keeper.Limits
	// planned is set if no balancer may answer may-have-run.
	planned bool
	// resolved is set if the outcome of every request must be known in the end.
	resolved bool
	// inject is called once, at a random time.
	inject func(sm *simulation)
	// late is the fraction of answers that come after the deadline, silent the
	// fraction that never come.
	late, silent float64
	// moving is set if callers retransmit from other ports and with other tokens.
	moving bool
	// span is the time within which requests start.
	span time.Duration
	// maxTicketDelay is the longest time from when a caller receives a ticket
	// until it uses it.
	maxTicketDelay time.Duration
}

var (
	reliable   = network{delay: 20 * time.Millisecond}
	unreliable = network{
		loss:       0.1,
		duplicates: 0.2,
		veryLate:   0.05,
		delay:      600 * time.Millisecond,
	}
	duplicating = network{
		duplicates: 0.2,
		delay:      300 * time.Millisecond,
	}
	largeLimits = keeper.Limits{
		Exchanges:     1000,
		LedgerEntries: 1000,
	}
)

var faults = []fault{
	{name: "none", network: reliable, limits: largeLimits, planned: true},
	{name: "duplicates", network: duplicating, limits: largeLimits, planned: true},
	{name: "very late duplicates", network: network{duplicates: 0.3, veryLate: 0.2, delay: 300 * time.Millisecond}, limits: largeLimits},
	{name: "loss", network: unreliable, limits: largeLimits},
	{name: "late answers", network: duplicating, limits: largeLimits, resolved: true, late: 0.3},
	{name: "silent upstreams", network: duplicating, limits: largeLimits, silent: 0.1},
	{name: "moving callers", network: duplicating, limits: largeLimits, moving: true, planned: true},
	{name: "keeper death", network: duplicating, limits: largeLimits, inject: (*simulation).killNode},
	{name: "two keepers", network: duplicating, limits: largeLimits, inject: (*simulation).isolate},
	{name: "pause", network: network{duplicates: 0.2, delay: 300 * time.Millisecond, stall: 15 * time.Second}, limits: largeLimits, inject: (*simulation).pauseNode},
	{name: "expiring tickets", network: duplicating, limits: largeLimits, planned: true, maxTicketDelay: 2 * keeper.ExecutionTicketLifetime},
	{name: "ledger full", network: duplicating, limits: keeper.Limits{Exchanges: 3, LedgerEntries: 4}, planned: true, span: 3 * time.Minute},
	{name: "planned leave", network: duplicating, limits: largeLimits, planned: true, inject: (*simulation).leaveNode},
	{name: "key rotation", network: duplicating, limits: largeLimits, planned: true, inject: (*simulation).rotateKeys},
	{name: "upstream drained", network: duplicating, limits: largeLimits, planned: true, inject: (*simulation).drainUpstream},
	{name: "upstream removed", network: duplicating, limits: largeLimits, planned: true, inject: (*simulation).removeUpstream},
	{name: "zone out", network: duplicating, limits: largeLimits, planned: true, inject: (*simulation).takeZoneOut},
	{name: "planned changes at once", network: duplicating, limits: largeLimits, planned: true, inject: func(sm *simulation) {
		sm.leaveNode()
		sm.rotateKeys()
		sm.drainUpstream()
		sm.takeZoneOut()
	}},
	{name: "all", network: unreliable, limits: largeLimits, late: 0.1, silent: 0.05, moving: true, maxTicketDelay: 11 * time.Second, inject: func(sm *simulation) {
		sm.killNode()
		sm.isolate()
		sm.pauseNode()
		sm.rotateKeys()
		sm.removeUpstream()
		sm.takeZoneOut()
	}},
}

// TestOnceHistories checks what callers of non-idempotent requests are
// promised, in generated histories. The flag -rapid.checks sets their number
// for each fault.
func TestOnceHistories(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			var n outcomes
			rapid.Check(t, func(r *rapid.T) {
				checkHistory(r, &f, rapid.Uint64().Draw(r, "seed"), &n)
			})
			t.Logf("requests %d: answered %d, not run %d, may have run %d (answered so %d times)",
				n.requests, n.answered, n.notRun, n.unresolved, n.mayHaveRun)
			if f.planned || f.resolved {
				require.Zero(t, n.unresolved, "requests without a known outcome")
			}
			if f.planned {
				require.Zero(t, n.mayHaveRun, "may-have-run answers")
			}
		})
	}
}

// outcomes counts requests by outcome.
type outcomes struct {
	requests, answered, notRun, unresolved int
	// mayHaveRun is the number of may-have-run answers.
	mayHaveRun int
}

// A request is a non-idempotent request of a well-behaved caller.
type request struct {
	id       uint64
	caller   netip.AddrPort
	outcome  verdict.Verdict
	reason   verdict.Reason
	attempts []*attempt
	// runs is the number of executions by attempt.
	runs map[uint8]int
	// mayHaveRun is the number of may-have-run answers.
	mayHaveRun int
	// silent is set if the request ran at an upstream that didn't answer.
	silent bool
}

// An attempt is a request under one ticket.
type attempt struct {
	number uint8
	ticket []byte
	// answered is set if an answer other than may-have-run came.
	answered bool
	notRun   bool
}

// A driver simulates the callers and upstreams of a history.
type driver struct {
	simulation *simulation
	fault      *fault
	requests   []*request
	tokens     map[uint64]func(m *message)
	// silent is set if the answer to the next execution is not sent.
	silent bool
	token  uint64
	fail   func(format string, args ...any)
}

func checkHistory(t *rapid.T, f *fault, seed uint64, n *outcomes) {
	sm := newSimulation(seed, f.network, f.limits, "a", "a", "b")
	d := &driver{
		simulation: sm,
		fault:      f,
		tokens:     make(map[uint64]func(*message)),
		fail:       t.Fatalf,
	}
	sm.receive = func(_ netip.AddrPort, m *message) {
		if f := d.tokens[binary.BigEndian.Uint64(m.token.Bytes[:])]; f != nil {
			f(m)
		}
	}
	d.serve(document())
	sm.install(snapshot(t, document()), 0)
	sm.run(epoch)
	for range rapid.IntRange(1, 12).Draw(t, "requests") {
		sm.after(sm.randomUpTo(max(f.span, 6*time.Second)), d.startRequest)
	}
	if f.inject != nil {
		sm.after(sm.randomUpTo(8*time.Second), func() { f.inject(sm) })
	}
	sm.run(epoch.Add(15 * time.Minute))
	require.Zero(t, sm.wrongService, "datagrams reached a host of another service")
	require.Zero(t, sm.unusable, "datagrams were sent to upstreams that were removed or in zones taken out")
	for _, r := range d.requests {
		d.checkRequest(t, r, n)
	}
}

// serve starts a host at every address of a document.
func (d *driver) serve(c *config.Document) {
	for i := range c.Services {
		for _, u := range c.Services[i].Upstreams {
			d.simulation.hosts[u.Address] = &host{
				service: c.Services[i].ID,
				answer:  d.answer,
				seen:    make(map[string]bool),
				run:     d.run,
			}
		}
	}
}

func (d *driver) answer() (after time.Duration, shed, silent bool) {
	p := d.simulation.random.Float64()
	d.silent = p >= d.fault.late && p < d.fault.late+d.fault.silent
	switch {
	case p < d.fault.late:
		return holdDeadline + d.simulation.randomUpTo(4*time.Second), false, false
	case d.silent:
		return 0, false, true
	default:
		return d.simulation.randomUpTo(200 * time.Millisecond), p > 0.95, false
	}
}

func (d *driver) run(content []byte) {
	id := binary.BigEndian.Uint64(content[5:])
	d.requests[id].runs[content[13]]++
	d.requests[id].silent = d.silent
}

func (d *driver) startRequest() {
	r := &request{
		id:     uint64(len(d.requests)),
		caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(d.requests))}), 5000),
		runs:   make(map[uint8]int),
	}
	d.requests = append(d.requests, r)
	d.attempt(r, nil)
}

// attempt sends a request with a ticket, or without one to ask for it.
func (d *driver) attempt(r *request, ticket []byte) {
	if len(r.attempts) == 12 {
		return
	}
	a := &attempt{
		number: uint8(len(r.attempts)),
		ticket: ticket,
	}
	r.attempts = append(r.attempts, a)
	d.transmit(r, a, d.newToken(r, a), 0)
}

func (d *driver) newToken(r *request, a *attempt) uint64 {
	d.token++
	d.tokens[d.token] = func(m *message) { d.receive(r, a, m) }
	return d.token
}

// transmit sends an attempt and retransmits it until it is answered.
func (d *driver) transmit(r *request, a *attempt, token uint64, sent int) {
	if a.answered || sent == 7 {
		return
	}
	if sent > 0 && d.fault.moving && d.simulation.random.IntN(2) == 0 {
		r.caller = netip.AddrPortFrom(r.caller.Addr(), r.caller.Port()+1)
		token = d.newToken(r, a)
	}
	b := datagramOf(holds, packet.KindOnce, r.id, a.number, token, a.ticket)
	h := headerOf(b)
	h.Caller = r.caller
	d.simulation.sendToAnyNode(h, b)
	wait := time.Second<<sent/2 + d.simulation.randomUpTo(500*time.Millisecond)
	d.simulation.after(wait, func() { d.transmit(r, a, token, sent+1) })
}

// receive handles an answer to an attempt.
func (d *driver) receive(r *request, a *attempt, m *message) {
	if m.verdict == verdict.Answered && binary.BigEndian.Uint64(m.content[5:]) != r.id {
		d.fail("request %d got the answer to another", r.id)
	}
	a.notRun = a.notRun || m.verdict == verdict.NotRun
	if m.verdict == verdict.Answered || r.outcome != verdict.Answered {
		r.outcome, r.reason = m.verdict, m.reason
	}
	if m.verdict == verdict.MayHaveRun && !a.answered {
		r.mayHaveRun++
	}
	if m.verdict == verdict.MayHaveRun || a.answered {
		return
	}
	a.answered = true
	if m.verdict == verdict.Answered {
		return
	}
	wait := d.simulation.randomUpTo(d.fault.maxTicketDelay)
	if len(m.ticket) == 0 {
		wait = keeper.RetryAfter
	}
	d.simulation.after(wait, func() { d.attempt(r, m.ticket) })
}

func (d *driver) checkRequest(t *rapid.T, r *request, n *outcomes) {
	total := 0
	for _, a := range r.attempts {
		total += r.runs[a.number]
		if a.notRun && r.runs[a.number] > 0 {
			t.Fatalf("request %d, attempt %d: answered not-run, but it ran", r.id, a.number)
		}
	}
	if total > 1 {
		t.Fatalf("request %d ran %d times", r.id, total)
	}
	n.requests++
	n.mayHaveRun += r.mayHaveRun
	last := r.attempts[len(r.attempts)-1]
	switch {
	case r.outcome == verdict.Answered:
		n.answered++
	case last.notRun || last.ticket == nil:
		// A datagram without a ticket never runs.
		n.notRun++
	default:
		n.unresolved++
		if f := d.fault; f.name == "silent upstreams" && !r.silent {
			t.Fatalf("request %d: unknown outcome although its upstream answered", r.id)
		}
		if d.fault.planned || d.fault.resolved {
			t.Fatalf("request %d: unknown outcome after %d attempts, ran %d times, reason %q", r.id, len(r.attempts), total, r.reason)
		}
	}
}

func (sm *simulation) randomNode() *node {
	return sm.nodes[sm.random.IntN(len(sm.nodes))]
}

// killNode kills a random node and starts another in its place.
func (sm *simulation) killNode() {
	i := sm.random.IntN(len(sm.nodes))
	old := sm.nodes[i]
	old.dead = true
	next := sm.newNode(old.self.Name, old.self.Zone, largeLimits)
	sm.nodes[i] = next
	next.balancer.Configure(sm.now, sm.config)
	sm.propagateViews()
}

// isolate gives a random node a view of itself alone for a while, as a network
// partition does.
func (sm *simulation) isolate() {
	n := sm.randomNode()
	n.balancer.SetMembers(member.NewTable([]member.Member{n.self}), true)
	sm.propagateViews()
}

// pauseNode pauses a random node.
func (sm *simulation) pauseNode() {
	n := sm.randomNode()
	n.resumes = sm.now.Add(sm.randomUpTo(20 * time.Second))
}

// leaveNode makes a random node leave. The node exits when its tickets have
// expired and its work is done.
func (sm *simulation) leaveNode() {
	n := sm.randomNode()
	n.leaving = true
	n.balancer.Leave()
	sm.updateView(n)
	sm.propagateViews()
	sm.exitWhenDone(n)
}

func (sm *simulation) exitWhenDone(n *node) {
	held := n.balancer.Keeper().ActiveWork()
	if held.Requests == 0 && !sm.now.Before(held.LastTicketExpiry.Add(holdDeadline)) {
		n.dead = true
		n.exited = sm.now
		sm.propagateViews()
		return
	}
	sm.after(250*time.Millisecond, func() { sm.exitWhenDone(n) })
}

func (sm *simulation) patch(operations ...config.Operation) {
	next, err := sm.config.Apply(&config.Patch{
		Base:       sm.config.Version,
		Operations: operations,
	})
	if err != nil {
		panic(err)
	}
	sm.install(next, maxConfigDelay)
}

// rotateKeys adds a new key and removes the old one later, as the operator's
// guide says.
func (sm *simulation) rotateKeys() {
	first := sm.config.Document.Keys[0]
	second := config.Key{
		ID:     first.ID + 1,
		Secret: []byte("another secret of tests"),
	}
	sm.patch(config.Operation{PutKeys: &config.PutKeys{Keys: []config.Key{second, first}}})
	sm.after(time.Minute+keeper.ExecutionTicketLifetime+keeper.AnswerRetention, func() {
		sm.patch(config.Operation{PutKeys: &config.PutKeys{Keys: []config.Key{second}}})
	})
}

func (sm *simulation) drainUpstream() {
	u := sm.config.Document.Services[0].Upstreams[sm.random.IntN(3)]
	u.State = config.UpstreamDraining
	sm.patch(config.Operation{PutUpstream: &config.PutUpstream{
		Service:  "holds",
		Upstream: u,
	}})
}

func (sm *simulation) removeUpstream() {
	sm.patch(config.Operation{RemoveUpstream: &config.RemoveUpstream{
		Service: "holds",
		Name:    sm.config.Document.Services[0].Upstreams[sm.random.IntN(3)].Name,
	}})
}

func (sm *simulation) takeZoneOut() {
	z := sm.config.Document.Zones[sm.random.IntN(2)]
	z.State = config.ZoneOut
	sm.patch(config.Operation{PutZone: &z})
}

// document returns two services in two zones.
func document() *config.Document {
	d := &config.Document{
		Keys: []config.Key{{
			ID:     1,
			Secret: []byte("a secret of the tests"),
		}},
		Zones: []config.Zone{
			{Name: "a", Region: "r", State: config.ZoneIn},
			{Name: "b", Region: "r", State: config.ZoneIn},
		},
	}
	for i, name := range []string{"holds", "photos"} {
		s := config.Service{
			ID:       uint32(i + 1),
			Name:     name,
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 5683),
			Deadline: config.Duration(holdDeadline),
			Refresh:  config.Duration(20 * time.Second),
		}
		for j, z := range []string{"a", "a", "b"} {
			s.Upstreams = append(s.Upstreams, upstreamOf(uint32(10*(i+1)+j), z))
		}
		d.Services = append(d.Services, s)
	}
	return d
}

// upstreamOf returns an upstream with the address of its id.
func upstreamOf(id uint32, zone string) config.Upstream {
	return config.Upstream{
		ID:          id,
		Name:        fmt.Sprintf("u%d", id),
		Zone:        zone,
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(id)}), 5683),
		Share:       1,
		Slots:       4,
		Connections: 10,
		State:       config.UpstreamActive,
	}
}

func snapshot(t require.TestingT, d *config.Document) *config.Snapshot {
	s, err := config.NewSnapshot(1, d)
	require.NoError(t, err)
	return s
}
