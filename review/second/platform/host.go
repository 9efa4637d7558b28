package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Times of retransmissions, of hosts and of clients.
const (
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	// hostRetransmissions is how often a host retransmits a packet before it gives up.
	hostRetransmissions = 8
)

// workTime is how long a host works on a request.
const workTime = 5 * time.Millisecond

// flowKey identifies a flow at a host by its client's and its service's addresses.
type flowKey struct{ client, service netip.AddrPort }

// host serves requests on flows, and writes its entry to the store.
type host struct {
	world   *world
	id      string
	number  uint64
	service string
	zone    string
	address netip.AddrPort
	socket  *net.UDPConn
	born    time.Time

	mu    sync.Mutex
	flows map[flowKey]*hostFlow
}

// hostFlow is a flow at a host. It is open once the client has acknowledged the host's seq.
type hostFlow struct {
	open     bool
	echo     uint32
	synSeq   uint32
	next     uint32 // seq of the host's next byte
	expected uint32 // seq of the client's next byte
	acked    uint32 // what the client has acknowledged
	timer    *time.Timer
	tries    int
	pending  *packet // unacknowledged packet
}

func newHost(w *world, n int, service, zone string, address netip.AddrPort) (*host, error) {
	h := &host{
		world:   w,
		number:  uint64(rand.Uint32())<<8 | uint64(n),
		service: service,
		zone:    zone,
		address: address,
		born:    time.Now(),
		flows:   make(map[flowKey]*hostFlow),
	}
	h.id = fmt.Sprintf("i-%010x", h.number)
	var err error
	if h.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return nil, err
	}
	_ = h.socket.SetReadBuffer(4 << 20)
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	go func() { _ = http.Serve(l, mux) }()
	go h.receive()
	go h.beat()
	return h, nil
}

// beat writes the host's entry at each heartbeat.
func (h *host) beat() {
	for sequence := 1; ; sequence++ {
		h.world.store.put("servers/"+h.id, map[string]any{
			"service": h.service, "address": h.address.String(), "zone": h.zone, "version": "v1", "slots": 4,
			"state": "ready", "warmup-left-ms": 0, "seq": sequence, "born": h.born.UnixMilli(),
		})
		time.Sleep(heartbeat)
	}
}

func (h *host) receive() {
	buffer := make([]byte, 2048)
	for {
		n, err := h.socket.Read(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if number := binary.BigEndian.Uint64(buffer); number != 0 && number != h.number {
			continue
		}
		if p, ok := parsePacket(buffer[8:n]); ok {
			h.handle(&p)
		}
	}
}

// handle handles a client's packet.
func (h *host) handle(p *packet) {
	h.world.arrived(h, p)
	h.mu.Lock()
	defer h.mu.Unlock()
	k := flowKey{p.src, p.dst}
	f := h.flows[k]
	switch {
	case p.has(flagSYN):
		h.handleSYN(k, f, p)
	case p.has(flagRST):
		if f != nil {
			h.end(k, f)
		}
	case f == nil, !f.open && p.ack != f.next:
		// The host holds no such flow: it has not opened here.
		h.send(&packet{echo: p.echo, src: p.dst, dst: p.src, flags: flagRST, seq: p.ack})
	default:
		h.handleOpen(k, f, p)
	}
}

func (h *host) handleSYN(k flowKey, f *hostFlow, p *packet) {
	if f != nil && f.synSeq != p.seq {
		h.end(k, f)
		f = nil
	}
	if f != nil {
		if !f.open {
			f.echo = p.echo
			h.send(f.pending)
		}
		return
	}
	seq := rand.Uint32()
	f = &hostFlow{
		echo:     p.echo,
		synSeq:   p.seq,
		next:     seq + 1,
		expected: p.seq + 1,
		acked:    seq,
	}
	h.flows[k] = f
	h.transmit(k, f, &packet{echo: f.echo, src: k.service, dst: k.client, flags: flagSYN | flagACK, seq: seq, ack: f.expected})
}

func (h *host) handleOpen(k flowKey, f *hostFlow, p *packet) {
	f.echo = p.echo
	if !f.open {
		f.open = true
		h.world.opened(h, k)
	}
	if p.has(flagACK) && p.ack == f.next && f.pending != nil {
		f.pending = nil
		f.timer.Stop()
	}
	if len(p.data) > 0 && p.seq == f.expected {
		f.expected += uint32(len(p.data))
		h.world.ran()
		time.AfterFunc(workTime, func() { h.answer(k, f) })
		return
	}
	if p.has(flagFIN) {
		h.send(&packet{echo: f.echo, src: k.service, dst: k.client, flags: flagFIN | flagACK, seq: f.next, ack: p.seq + 1})
		h.end(k, f)
		h.world.closed(k)
	}
}

const answerText = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFilbertworks-Server-Seal: x\r\n\r\nok"

// answer sends the answer to the request in progress.
func (h *host) answer(k flowKey, f *hostFlow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.flows[k] != f {
		return
	}
	p := &packet{echo: f.echo, src: k.service, dst: k.client, flags: flagACK, seq: f.next, ack: f.expected, data: []byte(answerText)}
	f.next += uint32(len(p.data))
	h.transmit(k, f, p)
}

// transmit sends a packet and retransmits it until it is acknowledged.
func (h *host) transmit(k flowKey, f *hostFlow, p *packet) {
	f.pending, f.tries = p, 0
	h.send(p)
	if f.timer != nil {
		f.timer.Stop()
	}
	f.timer = time.AfterFunc(firstRetransmit, func() { h.retransmit(k, f, p) })
}

func (h *host) retransmit(k flowKey, f *hostFlow, p *packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f.pending != p || h.flows[k] != f {
		return
	}
	if f.tries++; f.tries > hostRetransmissions {
		h.end(k, f)
		return
	}
	p.echo = f.echo
	h.send(p)
	f.timer = time.AfterFunc(min(firstRetransmit<<f.tries, lastRetransmit), func() { h.retransmit(k, f, p) })
}

func (h *host) end(k flowKey, f *hostFlow) {
	if f.timer != nil {
		f.timer.Stop()
	}
	f.pending = nil
	delete(h.flows, k)
}

// send sends a packet to its client. Datagrams are lost occasionally.
func (h *host) send(p *packet) {
	if p.sum == 0 {
		p.sum = 1
	}
	if h.world.lost() {
		return
	}
	to := netip.AddrPortFrom(p.dst.Addr(), h.world.packetPort)
	_, _ = h.socket.WriteToUDPAddrPort(p.marshal(nil), to)
}
