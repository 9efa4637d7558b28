package emulation

import (
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/flow"
)

const (
	// maxTries is the number of tries of a request.
	maxTries = 3
	// retryDelay is the time from a reset to the next try.
	retryDelay = 10 * time.Millisecond
	// requestBytes is the length of a request, and answerBytes that of an answer.
	requestBytes = 100
	answerBytes  = 500
	// openTimeout is how long a user waits for a flow to open.
	openTimeout = 1400 * time.Millisecond
	// repeatFirst is the time to the first repeat of a packet; it doubles up to
	// repeatMost.
	repeatFirst = 200 * time.Millisecond
	repeatMost  = 1600 * time.Millisecond
)

// user sends requests on one flow after another.
type user struct {
	e    *emulation
	zone int
	addr netip.Addr
	conn *conn
	// until is when the user leaves; zero for never.
	until time.Time
}

// request is one request with its tries.
type request struct {
	user  *user
	sent  time.Time
	once  bool
	tries int
	done  bool
}

// conn is one flow of a user.
type conn struct {
	user   *user
	client netip.AddrPort
	host   *host
	life   int
	open   bool
	closed bool
	// sequence is the number of the next byte, acknowledged that of the next one
	// from the host.
	sequence     uint32
	acknowledged uint32
	// request waits on the flow, arrived tells that it has reached the host.
	request *request
	arrived bool
}

func newUser(e *emulation, zone int, until time.Time) {
	e.serial++
	u := &user{
		e:     e,
		zone:  zone,
		until: until,
		addr:  netip.AddrFrom4([4]byte{100, byte(64 + e.serial>>16), byte(e.serial >> 8), byte(e.serial)}),
	}
	e.after(u.pause(), u.next)
}

// pause returns the time to the next request.
func (u *user) pause() time.Duration {
	l := &u.e.load.Users
	rate := l.Rate / float64(l.Count)
	return time.Duration(u.e.rand.ExpFloat64() / rate * float64(time.Second))
}

// next begins a request, unless the user leaves.
func (u *user) next() {
	if !u.until.IsZero() && u.e.now.After(u.until) {
		if u.conn != nil {
			u.conn.finish()
		}
		return
	}
	r := &request{
		user: u,
		sent: u.e.now,
		once: u.e.rand.Float64() < u.e.load.Users.AtMostOnce,
	}
	u.e.result.asked(u.e)
	u.e.after(u.e.load.Users.Deadline.Duration, func() { r.finish(false) })
	r.try()
}

// try sends a request on the user's flow, or on a new one.
func (r *request) try() {
	if r.done {
		return
	}
	if r.tries == maxTries {
		r.finish(false)
		return
	}
	r.tries++
	c := r.user.conn
	if c == nil || c.closed {
		c = r.user.connect()
	}
	c.request, c.arrived = r, false
	if c.open {
		c.send()
	}
}

// again tries a request once more, unless it may have run and must not twice.
func (r *request) again(reached bool) {
	if r.once && reached {
		r.finish(false)
		return
	}
	r.user.e.after(retryDelay, r.try)
}

// finish ends a request.
func (r *request) finish(answered bool) {
	if r.done {
		return
	}
	r.done = true
	u := r.user
	u.e.result.finished(u.e, r, answered)
	if c := u.conn; c != nil && c.request == r {
		c.request = nil
		if !answered || u.e.rand.Float64()*u.e.load.Users.Requests < 1 {
			c.finish()
		}
	}
	u.e.after(u.pause(), u.next)
}

// connect begins to open a flow.
func (u *user) connect() *conn {
	u.e.serial++
	c := &conn{
		user:     u,
		client:   netip.AddrPortFrom(u.addr, uint16(1024+u.e.serial%60000)),
		sequence: u.e.rand.Uint32(),
	}
	u.conn = c
	u.e.flows[c.client] = c
	first := c.packet(flow.Open, 0)
	c.repeat(first, repeatFirst, func() bool { return c.open })
	u.e.after(openTimeout, func() {
		if !c.open {
			c.reset()
		}
	})
	return c
}

// packet returns a packet of the flow.
func (c *conn) packet(flags flow.Flags, length int) flow.Packet {
	p := flow.Packet{
		Client:       c.client,
		Service:      serviceAddress,
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

// transmit sends a packet through the balancer that the routers choose now.
func (c *conn) transmit(p flow.Packet) {
	e := c.user.e
	if b := e.route(c.user.zone, c.client); b != nil {
		e.after(clientLink, func() { b.take(p, c) })
	}
}

// repeat sends a packet until it was answered or the flow is closed.
func (c *conn) repeat(p flow.Packet, wait time.Duration, answered func() bool) {
	if c.closed || answered() {
		return
	}
	c.transmit(p)
	c.user.e.after(wait, func() { c.repeat(p, min(2*wait, repeatMost), answered) })
}

// send sends the request that waits.
func (c *conn) send() {
	r := c.request
	p := c.packet(flow.Acknowledge, requestBytes)
	c.sequence += requestBytes
	c.repeat(p, repeatFirst, func() bool { return c.arrived || c.request != r })
}

// reach takes a packet of the flow at a host.
func (c *conn) reach(h *host, p *flow.Packet) {
	e := c.user.e
	switch {
	case h.condition == dark:
	case p.Flags.Has(flow.Open) && h.condition == serving:
		e.after(clientLink, func() { c.opened(h) })
	case h.condition == crashed || c.host != h || c.life != h.life:
		e.after(clientLink, c.reset)
	case p.Length > 0 && !c.arrived && c.request != nil:
		c.arrived = true
		r := c.request
		h.serve(func(answered bool) { e.after(clientLink, func() { c.answer(r, answered) }) })
	}
}

// opened takes the answer to the first packet.
func (c *conn) opened(h *host) {
	if c.open || c.closed {
		return
	}
	c.open = true
	c.host, c.life = h, h.life
	h.flows++
	c.sequence++
	c.acknowledged = c.user.e.rand.Uint32()
	c.transmit(c.packet(flow.Acknowledge, 0))
	if c.request != nil {
		c.send()
	}
}

// answer takes a host's answer; it may be a refusal.
func (c *conn) answer(r *request, answered bool) {
	if c.closed {
		return
	}
	c.acknowledged += answerBytes
	c.transmit(c.packet(flow.Acknowledge, 0))
	if answered {
		r.finish(true)
		return
	}
	r.again(false)
}

// reset takes a reset of the flow.
func (c *conn) reset() {
	if c.closed {
		return
	}
	c.close()
	if r := c.request; r != nil {
		r.again(c.open)
	}
}

// finish closes the flow in order.
func (c *conn) finish() {
	if !c.closed && c.open {
		c.transmit(c.packet(flow.Acknowledge|flow.Finish, 0))
	}
	c.close()
}

func (c *conn) close() {
	if c.open && !c.closed && c.life == c.host.life {
		c.host.flows--
	}
	c.closed = true
	if c.user.e.flows[c.client] == c {
		delete(c.user.e.flows, c.client)
	}
}
