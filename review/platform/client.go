package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// client is one client machine with many flows.
type client struct {
	bed    *bed
	router *router
	addr   netip.Addr
	socket *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]*clientFlow
	port  uint16
}

// clientFlow is a flow of a client.
type clientFlow struct {
	client   *client
	local    endpoint
	service  endpoint
	isn      uint32
	next     uint32
	expected uint32
	hostISN  uint32
	hostAddr netip.AddrPort // the host whose SYN+ACK opened the flow
	open     bool
	ended    bool
	echo     uint32
	unacked  *packet
	tries    int
	timer    *time.Timer
	response []byte
	events   chan string
	trace    []string
}

func startClient(b *bed, addr netip.Addr, r *router) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, packetPort)))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(4 << 20)
	c := &client{bed: b, router: r, addr: addr, socket: socket, flows: make(map[uint16]*clientFlow), port: 1024}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if c.bed.lost() {
			continue
		}
		p, err := parse(buf[:n])
		if err != nil {
			continue
		}
		c.mu.Lock()
		if f := c.flows[p.dst.Port()]; f != nil && f.service == p.src && !f.ended {
			f.handle(p, from)
		}
		c.mu.Unlock()
	}
}

// note adds a line to the trace of a flow.
func (f *clientFlow) note(format string, args ...any) {
	f.trace = append(f.trace, f.client.bed.rec.at(time.Now())+" "+fmt.Sprintf(format, args...))
}

// dial starts a flow from a new port.
func (c *client) dial(service endpoint) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.port++; c.port < 1024 {
			c.port = 1024
		}
		if c.flows[c.port] == nil {
			break
		}
	}
	f := &clientFlow{client: c, local: netip.AddrPortFrom(c.addr, c.port), service: service, isn: rand.Uint32(), events: make(chan string, 64)}
	f.next = f.isn + 1
	c.flows[c.port] = f
	f.sendSYN(0)
	for i, d := range []time.Duration{200, 600} {
		time.AfterFunc(d*time.Millisecond, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !f.open && !f.ended {
				f.sendSYN(uint32(i + 1))
			}
		})
	}
	time.AfterFunc(1400*time.Millisecond, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !f.open && !f.ended {
			f.end("no answer to the opening packet")
		}
	})
	return f
}

func (f *clientFlow) sendSYN(copies uint32) {
	f.note("client: SYN, copy %d", copies)
	f.send(&packet{flags: flagSYN, seq: f.isn, ack: copies})
}

// send sends a packet to the daemon that the router selects. A SYN carries no echo.
func (f *clientFlow) send(p *packet) {
	to, name := f.client.router.route(f.local, f.service)
	p.src, p.dst = f.local, f.service
	if p.flags&flagSYN == 0 {
		p.echo = f.echo
	}
	if len(p.data) > 0 || p.flags&flagSYN != 0 {
		f.note("client: %s of %d bytes by %s, echo %08x", flagNames(p.flags), len(p.data), name, p.echo)
	}
	_, _ = f.client.socket.WriteToUDPAddrPort(p.marshal(), to)
}

func (f *clientFlow) handle(p *packet, from netip.AddrPort) {
	b := f.client.bed
	who := b.nameOf(from)
	if p.flags&flagRST != 0 {
		if f.open && p.seq-f.expected+76800 > 2*76800 {
			return
		}
		f.note("client: reset by %s, sum %08x", who, p.sum)
		b.clientReset(f, from, p)
		f.end("reset by " + who)
		return
	}
	f.echo = p.echo
	if p.flags&flagSYN != 0 {
		f.note("client: SYN+ACK of %s, echo %08x", who, p.echo)
		switch {
		case !f.open:
			f.open, f.hostISN, f.hostAddr = true, p.seq, from
			f.expected = p.seq + 1
			f.send(&packet{flags: flagACK, seq: f.next, ack: f.expected})
			f.events <- "open"
		case p.seq == f.hostISN:
			f.send(&packet{flags: flagACK, seq: f.next, ack: f.expected})
		}
		return
	}
	if !f.open {
		return
	}
	if f.unacked != nil && int32(p.ack-f.unacked.seq) > 0 {
		f.unacked, f.tries = nil, 0
		if f.timer != nil {
			f.timer.Stop()
		}
	}
	switch {
	case len(p.data) > 0 && p.seq == f.expected:
		f.expected += uint32(len(p.data))
		f.send(&packet{flags: flagACK, seq: f.next, ack: f.expected})
		f.note("client: answer of %s, echo %08x", who, p.echo)
		f.response = append(f.response, p.data...)
		f.events <- "answer"
	case len(p.data) > 0:
		f.send(&packet{flags: flagACK, seq: f.next, ack: f.expected})
	}
	if p.flags&flagFIN != 0 && p.seq+uint32(len(p.data)) == f.expected {
		f.expected++
		f.send(&packet{flags: flagACK, seq: f.next, ack: f.expected})
		f.end("closed")
	}
}

// transmit sends a packet that the host has to acknowledge.
func (f *clientFlow) transmit(p *packet) {
	p.seq, p.ack = f.next, f.expected
	f.next += uint32(len(p.data))
	if p.flags&flagFIN != 0 {
		f.next++
	}
	f.unacked, f.tries = p, 0
	f.send(p)
	f.arm(p)
}

func (f *clientFlow) arm(p *packet) {
	f.timer = time.AfterFunc(retransmitAfter(f.tries), func() {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		if f.unacked != p || f.ended {
			return
		}
		f.tries++
		p.ack = f.expected
		f.send(p)
		f.arm(p)
	})
}

func (f *clientFlow) end(why string) {
	f.ended = true
	if f.timer != nil {
		f.timer.Stop()
	}
	delete(f.client.flows, f.local.Port())
	f.events <- why
}

// await waits for the next event of a flow.
func (f *clientFlow) await(d time.Duration) string {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case e := <-f.events:
		return e
	case <-timer.C:
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		if !f.ended {
			f.ended = true
			delete(f.client.flows, f.local.Port())
		}
		return "deadline"
	}
}

// request sends a request and waits for its answer.
func (f *clientFlow) request(method string, size int, deadline time.Duration) (id, outcome string) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	body := strings.Repeat("x", size)
	f.client.mu.Lock()
	if f.ended {
		f.client.mu.Unlock()
		return id, "not sent"
	}
	f.transmit(&packet{flags: flagACK, data: []byte(fmt.Sprintf(
		"%s / HTTP/1.1\r\nHost: %s\r\nFilbertworks-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", method, f.service, id, size, body))})
	f.client.mu.Unlock()
	return id, f.await(deadline)
}

// close ends a flow from the client's side.
func (f *clientFlow) close() {
	f.client.mu.Lock()
	ended := f.ended
	if !ended {
		f.transmit(&packet{flags: flagACK | flagFIN})
	}
	f.client.mu.Unlock()
	if !ended {
		f.await(4 * time.Second)
	}
}

func flagNames(b byte) string {
	var names []string
	for _, n := range []struct {
		bit  byte
		name string
	}{{flagSYN, "SYN"}, {flagACK, "ACK"}, {flagFIN, "FIN"}, {flagRST, "RST"}} {
		if b&n.bit != 0 {
			names = append(names, n.name)
		}
	}
	return strings.Join(names, "+")
}
