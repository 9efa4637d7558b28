package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// Times of a client.
const (
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 5 * time.Second
	maxResetGap    = 76_800
)

// A client opens flows from one address.
type client struct {
	address netip.Addr
	router  *router
	record  *record
	socket  *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*clientFlow
	// strange is the number of packets that neither a host nor, as a reset of its own, the system
	// may send.
	strange int
}

type clientFlow struct {
	id      flowID
	packets chan *packet
	echo    uint32
	next    uint32 // next sequence number of the client
	ack     uint32 // next sequence number that is expected of the host
	open    bool
	reset   bool
}

func newClient(address netip.Addr, r *router, rec *record) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, packetPort)))
	if err != nil {
		return nil, err
	}
	c := &client{address: address, router: r, record: rec, socket: socket, port: 10000, flows: make(map[uint16]*clientFlow)}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	b := make([]byte, 2048)
	for {
		n, err := c.socket.Read(b)
		if err != nil {
			return
		}
		p, ok := parsePacket(b[:n])
		if !ok {
			c.record.add("client %v: bytes that are no packet", c.address)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.packets <- p:
		default:
		}
	}
}

func (c *client) newFlow(service netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &clientFlow{
		id:      flowID{client: netip.AddrPortFrom(c.address, c.port), service: service},
		packets: make(chan *packet, 256),
		next:    rand.Uint32(),
	}
	c.flows[c.port] = f
	return f
}

func (c *client) forget(f *clientFlow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.id.client.Port())
}

func (c *client) send(f *clientFlow, flags byte, seq, ack uint32, data []byte) {
	to, ok := c.router.route(f.id)
	if !ok {
		return
	}
	p := packet{echo: f.echo, src: f.id.client, dst: f.id.service, flags: flags, seq: seq, ack: ack, data: data}
	_, _ = c.socket.WriteToUDPAddrPort(p.marshal(), to)
}

// take handles what each packet of a flow tells, and reports whether the flow goes on.
func (c *client) take(f *clientFlow, p *packet) bool {
	if p.flags&flagRST == 0 {
		if p.sum != p.keyedSum() {
			c.note("flow %v: packet that its sender did not write", f.id.client)
		}
		f.echo = p.echo
		return true
	}
	if p.sum == p.keyedSum() {
		c.record.add("client %v: reset by a host", f.id.client)
		f.reset = true
		return false
	}
	if p.sum != 0 || len(p.data) > 0 {
		c.note("flow %v: reset with a sum or data", f.id.client)
		return true
	}
	if gap := int32(p.seq - f.ack); f.open && (gap < -maxResetGap || gap > maxResetGap) {
		c.note("flow %v: reset of the open flow with sequence number %d, %d from the client's last ack %d", f.id.client, p.seq, gap, f.ack)
		return true
	}
	c.record.add("client %v: reset by the system, seq %d, ack %d", f.id.client, p.seq, f.ack)
	f.reset = true
	return false
}

// note records a strange packet.
func (c *client) note(format string, arguments ...any) {
	c.record.say("STRANGE "+format, arguments...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.strange++
}

func (c *client) strangePackets() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.strange
}

// open opens a flow. It sends the opening packet, and copies after 200 and 600 ms.
func (c *client) open(f *clientFlow) error {
	start := time.Now()
	for n, until := range []time.Duration{firstRetransmit, 3 * firstRetransmit, openTimeout} {
		c.record.add("client %v: sends the opening packet, copy %d", f.id.client, n)
		c.send(f, flagSYN, f.next, uint32(n), nil)
		for wait := time.Until(start.Add(until)); wait > 0; wait = time.Until(start.Add(until)) {
			p := f.await(wait)
			if p == nil {
				break
			}
			if !c.take(f, p) {
				return fmt.Errorf("reset")
			}
			if p.flags&(flagSYN|flagACK) == flagSYN|flagACK {
				f.next++
				f.ack, f.open = p.seq+1, true
				c.send(f, flagACK, f.next, f.ack, nil)
				return nil
			}
		}
	}
	return fmt.Errorf("not opened")
}

func (f *clientFlow) await(wait time.Duration) *packet {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case p := <-f.packets:
		return p
	case <-t.C:
		return nil
	}
}

// request sends a request on an open flow and reads its answer.
func (c *client) request(f *clientFlow, name string) error {
	data := []byte("GET / HTTP/1.1\r\nHost: stand-in\r\nFilbertworks-Request-Id: " + name + "\r\n\r\n")
	deadline := time.Now().Add(requestTimeout)
	wait, retransmitAt := firstRetransmit, time.Now().Add(firstRetransmit)
	c.send(f, flagACK, f.next, f.ack, data)
	acked := false
	var body []byte
	for time.Now().Before(deadline) {
		p := f.await(min(time.Until(retransmitAt), time.Until(deadline)))
		if p == nil {
			if !acked {
				c.send(f, flagACK, f.next, f.ack, data)
				wait = min(2*wait, lastRetransmit)
			}
			retransmitAt = time.Now().Add(wait)
			continue
		}
		if !c.take(f, p) {
			return fmt.Errorf("reset")
		}
		acked = acked || p.ack == f.next+uint32(len(data))
		if len(p.data) == 0 {
			continue
		}
		if p.seq == f.ack {
			f.ack += uint32(len(p.data))
			body = append(body, p.data...)
		}
		c.send(f, flagACK, f.next+uint32(len(data)), f.ack, nil)
		if whole(body) {
			f.next += uint32(len(data))
			return nil
		}
	}
	return fmt.Errorf("deadline")
}

// whole reports whether an answer is complete.
func whole(b []byte) bool {
	head, body, found := bytes.Cut(b, []byte("\r\n\r\n"))
	_, length, _ := bytes.Cut(head, []byte("Content-Length: "))
	n, err := strconv.Atoi(string(length))
	return found && err == nil && len(body) >= n
}

// finish closes a flow.
func (c *client) finish(f *clientFlow) {
	if f.open && !f.reset {
		c.send(f, flagFIN|flagACK, f.next, f.ack, nil)
		end := time.Now().Add(firstRetransmit)
		for time.Now().Before(end) {
			if p := f.await(time.Until(end)); p == nil || p.flags&(flagFIN|flagACK) != 0 && p.ack == f.next+1 {
				break
			}
		}
		c.send(f, flagACK, f.next+1, f.ack+1, nil)
	}
	c.forget(f)
}
