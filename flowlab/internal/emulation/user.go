package emulation

import (
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/flow"
)

const (
	// maxAttempts is the largest number of attempts of a request.
	maxAttempts = 3
	// retryDelay is the time from a failed attempt to the next one.
	retryDelay = 10 * time.Millisecond
	// requestSize is the size of a request and answerSize that of an answer, in
	// bytes.
	requestSize = 100
	answerSize  = 500
	// openTimeout is how long a user waits for a flow to open.
	openTimeout = 1400 * time.Millisecond
	// initialRetransmitTimeout is the time until a packet is first
	// retransmitted. The timeout doubles up to maxRetransmitTimeout.
	initialRetransmitTimeout = 200 * time.Millisecond
	maxRetransmitTimeout     = 1600 * time.Millisecond
)

// user is an emulated user, who sends requests on one flow after another.
type user struct {
	emulation *emulation
	zone      int
	// kind is the index of the kind of the user's requests.
	kind    int
	address netip.Addr
	conn    *conn
	// until is when the user leaves; zero means never.
	until time.Time
}

// request is a request of a user.
type request struct {
	user       *user
	sent       time.Time
	atMostOnce bool
	attempts   int
	done       bool
}

// conn is a flow of a user.
type conn struct {
	user        *user
	client      netip.AddrPort
	host        *host
	incarnation int
	open        bool
	closed      bool
	// sequence is the sequence number of the user's next byte, and acknowledged
	// that of the host's next byte.
	sequence     uint32
	acknowledged uint32
	// request is the request that waits for its answer on the flow, and
	// reachedHost whether it has reached the host.
	request     *request
	reachedHost bool
}

func newUser(e *emulation, zone int, until time.Time) {
	e.serial++
	u := &user{
		emulation: e,
		zone:      zone,
		until:     until,
		address:   netip.AddrFrom4([4]byte{100, byte(64 + e.serial>>16), byte(e.serial >> 8), byte(e.serial)}),
	}
	if len(e.kinds) > 1 {
		u.kind = e.randomKind()
	}
	e.after(u.thinkTime(), u.nextRequest)
}

// randomKind returns the index of a random kind of requests, by their shares.
func (e *emulation) randomKind() int {
	at := e.rand.Float64()
	for i := range e.kinds {
		if at < e.kinds[i].Share {
			return i
		}
		at -= e.kinds[i].Share
	}
	return len(e.kinds) - 1
}

// thinkTime returns a random time until the next request.
func (u *user) thinkTime() time.Duration {
	l := &u.emulation.load.Users
	rate := l.Rate / float64(l.Count)
	return time.Duration(u.emulation.rand.ExpFloat64() / rate * float64(time.Second))
}

// nextRequest sends the next request, or closes the flow if the user leaves.
func (u *user) nextRequest() {
	if !u.until.IsZero() && u.emulation.now.After(u.until) {
		if u.conn != nil {
			u.conn.finish()
		}
		return
	}
	r := &request{
		user:       u,
		sent:       u.emulation.now,
		atMostOnce: u.emulation.rand.Float64() < u.emulation.load.Users.AtMostOnce,
	}
	u.emulation.result.count(r, func(w *Window) { w.Sent++ })
	u.emulation.after(u.emulation.load.Users.Deadline.Duration, func() { r.finish(false) })
	r.attempt()
}

// attempt sends the request on the user's flow, or on a new one if that is
// closed.
func (r *request) attempt() {
	if r.done {
		return
	}
	if r.attempts == maxAttempts {
		r.finish(false)
		return
	}
	r.attempts++
	c := r.user.conn
	if c == nil || c.closed {
		c = r.user.openFlow()
	}
	c.request, c.reachedHost = r, false
	if c.open {
		c.send()
	}
}

// retry schedules another attempt, unless the request must run at most once and
// may have run.
func (r *request) retry(reached bool) {
	if r.atMostOnce && reached {
		r.finish(false)
		return
	}
	r.user.emulation.after(retryDelay, r.attempt)
}

// finish ends the request. The user closes the flow after a failure, and after
// an answer with a probability of one in Users.Requests.
func (r *request) finish(answered bool) {
	if r.done {
		return
	}
	r.done = true
	u := r.user
	u.emulation.result.requestFinished(u.emulation, r, answered)
	if c := u.conn; c != nil && c.request == r {
		c.request = nil
		if !answered || u.emulation.rand.Float64()*u.emulation.load.Users.Requests < 1 {
			c.finish()
		}
	}
	u.emulation.after(u.thinkTime(), u.nextRequest)
}

// openFlow starts opening a flow.
func (u *user) openFlow() *conn {
	u.emulation.serial++
	c := &conn{
		user:     u,
		client:   netip.AddrPortFrom(u.address, uint16(1024+u.emulation.serial%60000)),
		sequence: u.emulation.rand.Uint32(),
	}
	u.conn = c
	u.emulation.flows[c.client] = c
	first := c.packet(flow.FlagOpen, 0)
	c.retransmit(first, initialRetransmitTimeout, func() bool { return c.open })
	u.emulation.after(openTimeout, func() {
		if !c.open {
			c.handleReset()
		}
	})
	return c
}

// packet returns a packet of the flow.
func (c *conn) packet(flags flow.Flags, length int) flow.Packet {
	p := flow.Packet{
		Client:       c.client,
		Service:      kindAddress(c.user.kind),
		Flags:        flags,
		Sequence:     c.sequence,
		Acknowledged: c.acknowledged,
		Length:       length,
	}
	if c.host != nil {
		p.Ticket = c.host.upstream.Ticket()
	}
	return p
}

// transmit sends a packet through the balancer that the routers currently
// choose.
func (c *conn) transmit(p flow.Packet) {
	e := c.user.emulation
	if b := e.route(c.user.zone, c.client); b != nil {
		e.after(clientDelay, func() { b.receive(p, c) })
	}
}

// retransmit sends a packet again and again until it is answered or the flow is
// closed. wait doubles each time up to maxRetransmitTimeout.
func (c *conn) retransmit(p flow.Packet, wait time.Duration, answered func() bool) {
	if c.closed || answered() {
		return
	}
	c.transmit(p)
	c.user.emulation.after(wait, func() { c.retransmit(p, min(2*wait, maxRetransmitTimeout), answered) })
}

// send sends the waiting request.
func (c *conn) send() {
	r := c.request
	p := c.packet(flow.FlagAcknowledge, requestSize)
	c.sequence += requestSize
	c.retransmit(p, initialRetransmitTimeout, func() bool { return c.reachedHost || c.request != r })
}

// deliver handles a packet of the flow at a host.
func (c *conn) deliver(h *host, p *flow.Packet) {
	e := c.user.emulation
	switch {
	case h.state == hostPoweredOff:
	case p.Flags.Has(flow.FlagOpen) && h.state == hostServing:
		e.after(clientDelay, func() { c.handleOpened(h) })
	case h.state == hostCrashed || c.host != h || c.incarnation != h.incarnation:
		e.after(clientDelay, c.handleReset)
	case p.Length > 0 && !c.reachedHost && c.request != nil:
		c.reachedHost = true
		r := c.request
		h.serve(c.user.kind, func(answered bool) { e.after(clientDelay, func() { c.handleAnswer(r, answered) }) })
	}
}

// handleOpened handles the host's answer to the packet that opens the flow.
func (c *conn) handleOpened(h *host) {
	if c.open || c.closed {
		return
	}
	c.open = true
	c.host, c.incarnation = h, h.incarnation
	h.flows++
	c.sequence++
	c.acknowledged = c.user.emulation.rand.Uint32()
	c.transmit(c.packet(flow.FlagAcknowledge, 0))
	if c.request != nil {
		c.send()
	}
}

// handleAnswer handles the host's answer to a request, which may be a refusal.
func (c *conn) handleAnswer(r *request, answered bool) {
	if c.closed {
		return
	}
	c.acknowledged += answerSize
	c.transmit(c.packet(flow.FlagAcknowledge, 0))
	if answered {
		r.finish(true)
		return
	}
	c.user.emulation.result.count(r, func(w *Window) { w.Refused++ })
	// Each further attempt uses a new flow.
	c.finish()
	r.retry(false)
}

// handleReset handles a reset of the flow, and retries the waiting request.
func (c *conn) handleReset() {
	if c.closed {
		return
	}
	c.close()
	if r := c.request; r != nil {
		r.retry(c.open)
	}
}

// finish closes the flow and tells the host.
func (c *conn) finish() {
	if !c.closed && c.open {
		c.transmit(c.packet(flow.FlagAcknowledge|flow.FlagFinish, 0))
	}
	c.close()
}

// close closes the flow without a packet to the host.
func (c *conn) close() {
	if c.open && !c.closed && c.incarnation == c.host.incarnation {
		c.host.flows--
	}
	c.closed = true
	if c.user.emulation.flows[c.client] == c {
		delete(c.user.emulation.flows, c.client)
	}
}
