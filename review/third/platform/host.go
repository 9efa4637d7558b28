package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Retransmission of packets, at clients and hosts.
const (
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	maxRetransmits  = 8
	window          = 16
)

// A host serves the requests of flows. Each request is one packet.
type host struct {
	id, service, zone string
	number            uint64
	address           netip.AddrPort
	clientPort        uint16
	bornAt            time.Time
	work              time.Duration
	body              int
	store             *store
	record            *record
	socket            *net.UDPConn
	health            *http.Server

	mu    sync.Mutex
	gone  bool
	flows map[flowID]*hostFlow
}

type hostFlow struct {
	echo      uint32
	iss, next uint32 // the host's initial and next sequence number
	received  uint32 // the sequence number that is expected next
	open      bool
	sent      uint32 // first sequence number that is not acknowledged
	queue     []byte // from sent on
	flight    uint32 // bytes of queue that were sent
	attempts  int
	timer     *time.Timer
}

func newHost(f *fleet, number uint64, service, zone string, address netip.AddrPort) (*host, error) {
	h := &host{
		id: fmt.Sprintf("%016x", number), number: number, service: service, zone: zone, address: address, clientPort: packetPort,
		bornAt: time.Now(), work: f.work, body: f.body, store: f.store, record: f.record, flows: make(map[flowID]*hostFlow),
	}
	var err error
	if h.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	h.health = &http.Server{Handler: mux}
	go func() { _ = h.health.Serve(l) }()
	go h.receive()
	h.register()
	return h, nil
}

// register writes the host's entry. Its heartbeats change nothing but seq, which is no change of
// the entry.
func (h *host) register() {
	h.store.put("servers/"+h.id, map[string]any{
		"service": h.service, "address": h.address.String(), "zone": h.zone, "version": "v1", "slots": 4, "state": "ready",
		"warmup-left-ms": 0, "seq": 1, "born": h.bornAt.UnixMilli(),
	})
}

// crash ends the host: its flows are gone and its ports closed.
func (h *host) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gone = true
	for _, f := range h.flows {
		f.stop()
	}
	clear(h.flows)
	_ = h.socket.Close()
	_ = h.health.Close()
}

func (h *host) receive() {
	b := make([]byte, 2048)
	for {
		n, err := h.socket.Read(b)
		if err != nil {
			h.mu.Lock()
			gone := h.gone
			h.mu.Unlock()
			if gone {
				return
			}
			continue
		}
		if n < numberSize {
			continue
		}
		if number := binary.BigEndian.Uint64(b); number != 0 && number != h.number {
			continue
		}
		p, ok := parsePacket(b[numberSize:n])
		if !ok || p.sum != p.keyedSum() {
			h.record.add("host %s: packet that its sender did not write", h.id)
			continue
		}
		h.mu.Lock()
		if !h.gone {
			h.handle(p)
		}
		h.mu.Unlock()
	}
}

// handle handles a packet. The caller holds h.mu.
func (h *host) handle(p *packet) {
	id := flowID{client: p.src, service: p.dst}
	f := h.flows[id]
	switch {
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &hostFlow{iss: rand.Uint32(), received: p.seq + 1}
			f.next, f.sent = f.iss+1, f.iss+1
			h.flows[id] = f
			h.record.add("host %s: took the opening packet of %v, copy %d", h.id, id.client, p.ack)
		}
		f.echo = p.echo
		if !f.open {
			h.send(id, f, flagSYN|flagACK, f.iss, nil)
			h.retransmit(id, f)
		}
	case f == nil && p.flags&flagRST != 0:
	case f == nil && p.flags&flagFIN != 0:
		h.send(id, &hostFlow{echo: p.echo, received: p.seq + uint32(len(p.data)) + 1}, flagACK, p.ack, nil)
	case f == nil:
		h.record.add("host %s: reset of %v, which is not held", h.id, id.client)
		h.send(id, &hostFlow{echo: p.echo}, flagRST, p.ack, nil)
	case p.flags&flagRST != 0:
		f.stop()
		delete(h.flows, id)
	default:
		f.echo = p.echo
		h.handleOpen(id, f, p)
	}
}

func (h *host) handleOpen(id flowID, f *hostFlow, p *packet) {
	if !f.open {
		f.open, f.attempts = true, 0
		f.stop()
	}
	if d := p.ack - f.sent; d > 0 && d <= f.flight {
		f.queue, f.sent, f.flight, f.attempts = f.queue[d:], p.ack, f.flight-d, 0
		f.stop()
		h.flush(id, f)
	}
	if len(p.data) > 0 {
		if p.seq == f.received {
			f.received += uint32(len(p.data))
			name := requestName(p.data)
			h.record.add("host %s: runs %s", h.id, name)
			time.AfterFunc(h.work, func() { h.respond(id, f, name) })
		}
		h.send(id, f, flagACK, f.next, nil)
	}
	if p.flags&flagFIN != 0 {
		f.received++
		h.send(id, f, flagFIN|flagACK, f.next, nil)
		f.stop()
		delete(h.flows, id)
	}
}

// requestName returns the id of a request.
func requestName(data []byte) string {
	_, rest, _ := bytes.Cut(data, []byte("Filbertworks-Request-Id: "))
	name, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(name)
}

func (h *host) respond(id flowID, f *hostFlow, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone || h.flows[id] != f {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nFilbertworks-Server-Seal: %s/%s\r\nContent-Length: %d\r\n\r\n", h.id, name, h.body)
	f.queue = append(f.queue, head...)
	f.queue = append(f.queue, bytes.Repeat([]byte{'x'}, h.body)...)
	h.flush(id, f)
}

// flush sends what the window allows.
func (h *host) flush(id flowID, f *hostFlow) {
	for int(f.flight) < len(f.queue) && f.flight < window*maxData {
		n := min(len(f.queue)-int(f.flight), maxData)
		seq := f.sent + f.flight
		h.send(id, f, flagACK, seq, f.queue[f.flight:int(f.flight)+n])
		f.flight += uint32(n)
		f.next = f.sent + f.flight
	}
	if f.flight > 0 {
		h.retransmit(id, f)
	}
}

// retransmit sends the oldest packet again unless it is acknowledged in time.
func (h *host) retransmit(id flowID, f *hostFlow) {
	f.stop()
	wait := min(firstRetransmit<<f.attempts, lastRetransmit)
	f.timer = time.AfterFunc(wait, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.gone || h.flows[id] != f {
			return
		}
		if f.attempts++; f.attempts > maxRetransmits {
			delete(h.flows, id)
			return
		}
		switch {
		case !f.open:
			h.send(id, f, flagSYN|flagACK, f.iss, nil)
		case f.flight > 0:
			h.send(id, f, flagACK, f.sent, f.queue[:min(len(f.queue), maxData)])
		default:
			return
		}
		h.retransmit(id, f)
	})
}

func (f *hostFlow) stop() {
	if f.timer != nil {
		f.timer.Stop()
	}
}

func (h *host) send(id flowID, f *hostFlow, flags byte, seq uint32, data []byte) {
	p := packet{echo: f.echo, src: id.service, dst: id.client, flags: flags, seq: seq, ack: f.received, data: data}
	_, _ = h.socket.WriteToUDPAddrPort(p.marshal(), netip.AddrPortFrom(id.client.Addr(), h.clientPort))
}
