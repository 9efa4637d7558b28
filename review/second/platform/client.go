package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Times of a client.
const (
	openTimeout     = 1400 * time.Millisecond
	requestDeadline = 4 * time.Second
)

// received is a packet that a client has received, with the sender's own address.
type received struct {
	packet
	from netip.AddrPort
}

// client opens flows from one address of a zone.
type client struct {
	world   *world
	zone    string
	socket  *net.UDPConn
	address netip.Addr

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan received
}

func newClient(w *world, zone string, address netip.Addr) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, w.packetPort)))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(4 << 20)
	c := &client{
		world:   w,
		zone:    zone,
		socket:  socket,
		address: address,
		port:    1024,
		flows:   make(map[uint16]chan received),
	}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := parsePacket(buffer[:n])
		if !ok {
			c.world.note("MIXED: a datagram of %d bytes that is no packet, from %s", n, from)
			continue
		}
		c.mu.Lock()
		packets := c.flows[p.dst.Port()]
		c.mu.Unlock()
		select {
		case packets <- received{p, from}:
		default:
		}
	}
}

// clientFlow is a flow of a client.
type clientFlow struct {
	client   *client
	key      flowKey
	packets  chan received
	echo     uint32
	next     uint32 // seq of the client's next byte
	expected uint32 // seq of the host's next byte
	// via is the daemon that the flow's packets are sent to; invalid for the router's choice.
	via netip.AddrPort
	// history is what the client has sent and received, for the record.
	history []string
}

// run opens a flow, sends requests with pauses between them and closes it.
func (c *client) run(service netip.AddrPort, requests int, pause func() time.Duration) {
	c.mu.Lock()
	c.port++
	if c.port < 1024 {
		c.port = 1024
	}
	port := c.port
	f := &clientFlow{
		client:  c,
		key:     flowKey{netip.AddrPortFrom(c.address, port), service},
		packets: make(chan received, 64),
		next:    rand.Uint32(),
	}
	c.flows[port] = f.packets
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, port)
		c.mu.Unlock()
		c.world.forget(f.key)
	}()
	c.world.count("flows")
	if !f.connect() {
		c.world.count("not opened")
		return
	}
	for i := range requests {
		if i > 0 && !f.idle(pause()) {
			c.world.count("broken")
			return
		}
		if !f.request(fmt.Sprintf("%s-%d", f.key.client, i)) {
			c.world.count("broken")
			return
		}
		c.world.count("answered")
	}
	f.send(flagFIN|flagACK, f.next, nil)
}

// tryVia opens a flow that is sent directly to one daemon, and closes it. It returns the address
// that the answer to the first packet came from, and the answer; ok is false if there was none.
func (c *client) tryVia(via, service netip.AddrPort, wait time.Duration) (r received, ok bool) {
	c.mu.Lock()
	c.port++
	port := c.port
	f := &clientFlow{
		client:  c,
		key:     flowKey{netip.AddrPortFrom(c.address, port), service},
		packets: make(chan received, 64),
		next:    rand.Uint32(),
		via:     via,
	}
	c.flows[port] = f.packets
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, port)
		c.mu.Unlock()
		c.world.forget(f.key)
	}()
	syn := f.next
	f.next++
	f.send(flagSYN, syn, nil)
	select {
	case r = <-f.packets:
	case <-time.After(wait):
		return received{}, false
	}
	if r.has(flagSYN) {
		f.echo, f.expected = r.echo, r.seq+1
		f.send(flagACK, f.next, nil)
		f.send(flagFIN|flagACK, f.next, nil)
		time.Sleep(5 * time.Millisecond)
	}
	return r, true
}

// connect opens the flow.
func (f *clientFlow) connect() bool {
	syn := f.next
	f.next++
	deadline := time.Now().Add(openTimeout)
	for i, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, openTimeout} {
		f.expected = uint32(i)
		f.send(flagSYN, syn, nil)
		until := time.Now().Add(wait)
		if until.After(deadline) {
			until = deadline
		}
		r, ok := f.await(until, func(r *received) bool { return r.has(flagSYN) && r.has(flagACK) && r.ack == f.next })
		if !ok {
			return false
		}
		if r != nil {
			f.expected = r.seq + 1
			f.send(flagACK, f.next, nil)
			return true
		}
	}
	return false
}

// request sends a request and waits for its answer.
func (f *clientFlow) request(id string) bool {
	text := "POST /hold HTTP/1.1\r\nHost: h\r\nFilbertworks-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	deadline, wait := time.Now().Add(requestDeadline), firstRetransmit
	for time.Now().Before(deadline) {
		f.send(flagACK, f.next, []byte(text))
		until := time.Now().Add(wait)
		r, ok := f.await(until, func(r *received) bool { return len(r.data) > 0 && r.seq == f.expected })
		if !ok {
			return false
		}
		if r != nil {
			if string(r.data) != answerText {
				f.client.world.note("MIXED: flow %s got %q", f.key.client, r.data)
			}
			f.next += uint32(len(text))
			f.expected += uint32(len(r.data))
			f.send(flagACK, f.next, nil)
			return true
		}
		wait = min(2*wait, lastRetransmit)
	}
	return false
}

// idle lets the flow rest. It reports false if the flow is reset meanwhile.
func (f *clientFlow) idle(d time.Duration) bool {
	_, ok := f.await(time.Now().Add(d), func(r *received) bool {
		if len(r.data) > 0 {
			// The host has not got the acknowledgment of its answer.
			f.send(flagACK, f.next, nil)
		}
		return false
	})
	return ok
}

// await returns the first packet that is wanted, or nil if there is none in time. ok is false
// if the flow was reset.
func (f *clientFlow) await(until time.Time, wanted func(*received) bool) (r *received, ok bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case p := <-f.packets:
			f.trace("got ", &p.packet, p.from)
			if p.has(flagRST) {
				f.client.world.reset(f, &p)
				return nil, false
			}
			f.echo = p.echo
			if wanted(&p) {
				return &p, true
			}
		case <-timer.C:
			return nil, true
		}
	}
}

// send sends a packet through the router. Datagrams are lost occasionally.
func (f *clientFlow) send(flags byte, seq uint32, data []byte) {
	p := packet{echo: f.echo, src: f.key.client, dst: f.key.service, flags: flags, seq: seq, ack: f.expected, sum: 1, data: data}
	to, ok := f.client.world.router.route(f.client.zone, f.key)
	if f.via.IsValid() {
		to, ok = f.via, true
	}
	f.trace("sent", &p, to)
	if !ok || f.client.world.lost() {
		return
	}
	_, _ = f.client.socket.WriteToUDPAddrPort(p.marshal(nil), to)
}

func (f *clientFlow) trace(verb string, p *packet, peer netip.AddrPort) {
	if len(f.history) < 200 {
		f.history = append(f.history, fmt.Sprintf("%.3f s %s flags %2d seq %d ack %d len %d echo %08x %s",
			f.client.world.seconds(), verb, p.flags, p.seq, p.ack, len(p.data), p.echo, f.client.world.nameOf(peer)))
	}
}
