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

// viewSpread and configSpread bound how long views and versions differ.
const (
	viewSpread   = 4 * time.Second
	configSpread = 3 * time.Second
	// holdDeadline is that of the service holds.
	holdDeadline = 2 * time.Second
)

// A fault is one kind of trouble.
type fault struct {
	name    string
	network network
	limits  keeper.Limits
	// planned faults never make a balancer say may-have-run.
	planned bool
	// resolved faults leave no request without a known outcome.
	resolved bool
	// strike is called once, at a random time.
	strike func(w *world)
	// late is the fraction of answers that come after the deadline, silent that
	// of answers that never come.
	late, silent float64
	// moving callers retransmit from other ports and with other tokens.
	moving bool
	// span is the time within which requests begin.
	span time.Duration
	// patience is how long a caller holds a ticket before it uses it.
	patience time.Duration
}

var (
	smooth = network{delay: 20 * time.Millisecond}
	rough  = network{
		loss:       0.1,
		duplicates: 0.2,
		ancient:    0.05,
		delay:      600 * time.Millisecond,
	}
	copies = network{
		duplicates: 0.2,
		delay:      300 * time.Millisecond,
	}
	roomy = keeper.Limits{
		Exchanges: 1000,
		Entries:   1000,
	}
)

var faults = []fault{
	{name: "none", network: smooth, limits: roomy, planned: true},
	{name: "duplicates", network: copies, limits: roomy, planned: true},
	{name: "ancient duplicates", network: network{duplicates: 0.3, ancient: 0.2, delay: 300 * time.Millisecond}, limits: roomy},
	{name: "loss", network: rough, limits: roomy},
	{name: "late answers", network: copies, limits: roomy, resolved: true, late: 0.3},
	{name: "silent upstreams", network: copies, limits: roomy, silent: 0.1},
	{name: "moving callers", network: copies, limits: roomy, moving: true, planned: true},
	{name: "keeper death", network: copies, limits: roomy, strike: (*world).kill},
	{name: "two keepers", network: copies, limits: roomy, strike: (*world).split},
	{name: "pause", network: network{duplicates: 0.2, delay: 300 * time.Millisecond, stall: 15 * time.Second}, limits: roomy, strike: (*world).pause},
	{name: "expiring tickets", network: copies, limits: roomy, planned: true, patience: 2 * keeper.ExecutionTicketLifetime},
	{name: "ledger full", network: copies, limits: keeper.Limits{Exchanges: 3, Entries: 4}, planned: true, span: 3 * time.Minute},
	{name: "planned leave", network: copies, limits: roomy, planned: true, strike: (*world).leave},
	{name: "key rotation", network: copies, limits: roomy, planned: true, strike: (*world).rotate},
	{name: "upstream drained", network: copies, limits: roomy, planned: true, strike: (*world).drain},
	{name: "upstream removed", network: copies, limits: roomy, planned: true, strike: (*world).remove},
	{name: "zone out", network: copies, limits: roomy, planned: true, strike: (*world).zoneOut},
	{name: "planned changes at once", network: copies, limits: roomy, planned: true, strike: func(w *world) {
		w.leave()
		w.rotate()
		w.drain()
		w.zoneOut()
	}},
	{name: "all", network: rough, limits: roomy, late: 0.1, silent: 0.05, moving: true, patience: 11 * time.Second, strike: func(w *world) {
		w.kill()
		w.split()
		w.pause()
		w.rotate()
		w.remove()
		w.zoneOut()
	}},
}

// TestOnceHistories states the promises to callers of non-idempotent requests
// over generated histories; -rapid.checks sets their number for each fault.
func TestOnceHistories(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			var n tally
			rapid.Check(t, func(r *rapid.T) {
				checkHistory(r, &f, rapid.Uint64().Draw(r, "seed"), &n)
			})
			t.Logf("requests %d: answered %d, not run %d, may have run %d (said %d times)",
				n.requests, n.answered, n.notRun, n.unknown, n.said)
			if f.planned || f.resolved {
				require.Zero(t, n.unknown, "requests without a known outcome")
			}
			if f.planned {
				require.Zero(t, n.said, "answers may-have-run")
			}
		})
	}
}

// A tally counts the outcomes of requests.
type tally struct {
	requests, answered, notRun, unknown int
	// said counts answers may-have-run.
	said int
}

// A request is one non-idempotent request of a well-behaved caller.
type request struct {
	id       uint64
	caller   netip.AddrPort
	outcome  verdict.Verdict
	reason   verdict.Reason
	attempts []*attempt
	// runs counts executions by attempt.
	runs map[uint8]int
	// said counts answers may-have-run.
	said int
	// silent tells that it ran at an upstream that didn't answer.
	silent bool
}

// An attempt is a request under one ticket.
type attempt struct {
	number uint8
	ticket []byte
	// heard tells that an answer other than may-have-run came.
	heard  bool
	notRun bool
}

// A driver plays the callers of a history.
type driver struct {
	world    *world
	fault    *fault
	requests []*request
	tokens   map[uint64]func(m *message)
	// silent tells that the upstream's answer to the next run is not sent.
	silent bool
	token  uint64
	fail   func(format string, args ...any)
}

func checkHistory(t *rapid.T, f *fault, seed uint64, n *tally) {
	w := newWorld(seed, f.network, f.limits, "a", "a", "b")
	d := &driver{
		world:  w,
		fault:  f,
		tokens: make(map[uint64]func(*message)),
		fail:   t.Fatalf,
	}
	w.receive = func(_ netip.AddrPort, m *message) {
		if f := d.tokens[binary.BigEndian.Uint64(m.token.Bytes[:])]; f != nil {
			f(m)
		}
	}
	d.serve(document())
	w.install(snapshot(t, document()), 0)
	w.run(epoch)
	for range rapid.IntRange(1, 12).Draw(t, "requests") {
		w.after(w.upTo(max(f.span, 6*time.Second)), d.begin)
	}
	if f.strike != nil {
		w.after(w.upTo(8*time.Second), func() { f.strike(w) })
	}
	w.run(epoch.Add(15 * time.Minute))
	require.Zero(t, w.wrong, "datagrams at a host of another service")
	require.Zero(t, w.outside, "datagrams to upstreams gone or in zones out")
	for _, r := range d.requests {
		d.judge(t, r, n)
	}
}

// serve starts a host at every address of a document.
func (d *driver) serve(c *config.Document) {
	for i := range c.Services {
		for _, u := range c.Services[i].Upstreams {
			d.world.hosts[u.Address] = &host{
				service: c.Services[i].ID,
				answer:  d.answer,
				seen:    make(map[string]bool),
				run:     d.run,
			}
		}
	}
}

func (d *driver) answer() (after time.Duration, shed, silent bool) {
	p := d.world.random.Float64()
	d.silent = p >= d.fault.late && p < d.fault.late+d.fault.silent
	switch {
	case p < d.fault.late:
		return holdDeadline + d.world.upTo(4*time.Second), false, false
	case d.silent:
		return 0, false, true
	default:
		return d.world.upTo(200 * time.Millisecond), p > 0.95, false
	}
}

func (d *driver) run(content []byte) {
	id := binary.BigEndian.Uint64(content[5:])
	d.requests[id].runs[content[13]]++
	d.requests[id].silent = d.silent
}

func (d *driver) begin() {
	r := &request{
		id:     uint64(len(d.requests)),
		caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(d.requests))}), 5000),
		runs:   make(map[uint8]int),
	}
	d.requests = append(d.requests, r)
	d.attempt(r, nil)
}

// attempt sends a request under a ticket, or asks for one.
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

// transmit sends an attempt, and again until it is answered.
func (d *driver) transmit(r *request, a *attempt, token uint64, sent int) {
	if a.heard || sent == 7 {
		return
	}
	if sent > 0 && d.fault.moving && d.world.random.IntN(2) == 0 {
		r.caller = netip.AddrPortFrom(r.caller.Addr(), r.caller.Port()+1)
		token = d.newToken(r, a)
	}
	b := datagramOf(holds, packet.KindOnce, r.id, a.number, token, a.ticket)
	h := headerOf(b)
	h.Caller = r.caller
	d.world.fabric(h, b)
	wait := time.Second<<sent/2 + d.world.upTo(500*time.Millisecond)
	d.world.after(wait, func() { d.transmit(r, a, token, sent+1) })
}

// receive takes an answer to an attempt.
func (d *driver) receive(r *request, a *attempt, m *message) {
	if m.verdict == verdict.Answered && binary.BigEndian.Uint64(m.content[5:]) != r.id {
		d.fail("request %d got the answer of another", r.id)
	}
	a.notRun = a.notRun || m.verdict == verdict.NotRun
	if m.verdict == verdict.Answered || r.outcome != verdict.Answered {
		r.outcome, r.reason = m.verdict, m.reason
	}
	if m.verdict == verdict.MayHaveRun && !a.heard {
		r.said++
	}
	if m.verdict == verdict.MayHaveRun || a.heard {
		return
	}
	a.heard = true
	if m.verdict == verdict.Answered {
		return
	}
	wait := d.world.upTo(d.fault.patience)
	if len(m.ticket) == 0 {
		wait = keeper.RetryAfter
	}
	d.world.after(wait, func() { d.attempt(r, m.ticket) })
}

func (d *driver) judge(t *rapid.T, r *request, n *tally) {
	total := 0
	for _, a := range r.attempts {
		total += r.runs[a.number]
		if a.notRun && r.runs[a.number] > 0 {
			t.Fatalf("request %d, attempt %d: not run was said of what ran", r.id, a.number)
		}
	}
	if total > 1 {
		t.Fatalf("request %d ran %d times", r.id, total)
	}
	n.requests++
	n.said += r.said
	last := r.attempts[len(r.attempts)-1]
	switch {
	case r.outcome == verdict.Answered:
		n.answered++
	case last.notRun || last.ticket == nil:
		// A datagram without a ticket never runs.
		n.notRun++
	default:
		n.unknown++
		if f := d.fault; f.name == "silent upstreams" && !r.silent {
			t.Fatalf("request %d: unknown although its upstream answered", r.id)
		}
		if d.fault.planned || d.fault.resolved {
			t.Fatalf("request %d: unknown after %d attempts, ran %d times, reason %q", r.id, len(r.attempts), total, r.reason)
		}
	}
}

func (w *world) pick() *core {
	return w.cores[w.random.IntN(len(w.cores))]
}

// kill ends a process, and starts another in its place.
func (w *world) kill() {
	i := w.random.IntN(len(w.cores))
	old := w.cores[i]
	old.dead = true
	next := w.newCore(old.self.Name, old.self.Zone, roomy)
	w.cores[i] = next
	next.balancer.Configure(w.now, w.config)
	w.spread()
}

// split has a core believe for a while that it is alone.
func (w *world) split() {
	c := w.pick()
	c.balancer.SetMembers(member.NewTable([]member.Member{c.self}), true)
	w.spread()
}

func (w *world) pause() {
	c := w.pick()
	c.wakes = w.now.Add(w.upTo(20 * time.Second))
}

// leave has a core leave, and exit once its rights are over and its work is done.
func (w *world) leave() {
	c := w.pick()
	c.leaving = true
	c.balancer.Leave()
	w.refresh(c)
	w.spread()
	w.exit(c)
}

func (w *world) exit(c *core) {
	held := c.balancer.Keeper().ActiveWork()
	if held.Requests == 0 && !w.now.Before(held.LastTicketExpiry.Add(holdDeadline)) {
		c.dead = true
		c.exited = w.now
		w.spread()
		return
	}
	w.after(250*time.Millisecond, func() { w.exit(c) })
}

func (w *world) patch(operations ...config.Operation) {
	next, err := w.config.Apply(&config.Patch{
		Base:       w.config.Version,
		Operations: operations,
	})
	if err != nil {
		panic(err)
	}
	w.install(next, configSpread)
}

// rotate brings a new key in and takes the old one out, as the guide says.
func (w *world) rotate() {
	first := w.config.Document.Keys[0]
	second := config.Key{
		ID:     first.ID + 1,
		Secret: []byte("another secret of tests"),
	}
	w.patch(config.Operation{PutKeys: &config.PutKeys{Keys: []config.Key{second, first}}})
	w.after(time.Minute+keeper.ExecutionTicketLifetime+keeper.AnswerRetention, func() {
		w.patch(config.Operation{PutKeys: &config.PutKeys{Keys: []config.Key{second}}})
	})
}

func (w *world) drain() {
	u := w.config.Document.Services[0].Upstreams[w.random.IntN(3)]
	u.State = config.UpstreamDraining
	w.patch(config.Operation{PutUpstream: &config.PutUpstream{
		Service:  "holds",
		Upstream: u,
	}})
}

func (w *world) remove() {
	w.patch(config.Operation{RemoveUpstream: &config.RemoveUpstream{
		Service: "holds",
		Name:    w.config.Document.Services[0].Upstreams[w.random.IntN(3)].Name,
	}})
}

func (w *world) zoneOut() {
	z := w.config.Document.Zones[w.random.IntN(2)]
	z.State = config.ZoneOut
	w.patch(config.Operation{PutZone: &z})
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
