package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxRetransmissions is after how many retransmissions of a packet a host gives up.
const maxRetransmissions = 8

// retransmitAfter returns the time until the n-th retransmission of a packet.
func retransmitAfter(n int) time.Duration {
	return min(200*time.Millisecond<<n, 1600*time.Millisecond)
}

type flowKey struct{ client, service endpoint }

// host serves the flows of one service in the form echo.
type host struct {
	bed     *bed
	id      string
	number  uint64
	service string
	zone    string
	address endpoint
	work    time.Duration
	born    time.Time
	// maxFlows is the number of flows that the host holds; it sends nothing to a SYN beyond
	// that. Zero is no limit.
	maxFlows int

	socket *net.UDPConn
	health *http.Server

	mu       sync.Mutex
	draining bool
	drainAck time.Time
	flows    map[flowKey]*hostFlow
	held     int // flows that are not closed
	refused  int // SYNs that got nothing because the host was full
	seq      int
}

// hostFlow is a flow at a host, or one that its client may open.
type hostFlow struct {
	host     *host
	key      flowKey
	isn      uint32 // sequence number of the host's SYN+ACK
	next     uint32 // next sequence number of the host
	expected uint32 // next sequence number expected of the client
	clientSN uint32 // sequence number of the client's SYN
	echo     uint32
	open     bool
	openedAt time.Time
	closed   bool // the client has sent its FIN
	request  []byte
	unacked  []*packet
	tries    int
	timer    *time.Timer
}

func startHost(b *bed, service, zone string, address endpoint) (*host, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(4 << 20)
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	number := rand.Uint64() >> 24
	h := &host{
		bed:     b,
		id:      fmt.Sprintf("i-%010x", number),
		number:  number,
		service: service,
		zone:    zone,
		address: address,
		work:    50 * time.Millisecond,
		born:    time.Now(),
		socket:  socket,
		flows:   make(map[flowKey]*hostFlow),
	}
	h.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = h.health.Serve(l) }()
	go h.receive()
	return h, nil
}

// register writes the host's entry. The entry only changes when more than seq changes, so
// that later heartbeats are no changes.
func (h *host) register() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	return h.bed.store.put("servers/"+h.id, map[string]any{
		"service": h.service, "address": h.address.String(), "zone": h.zone, "version": "v1", "slots": 4,
		"state": state, "warmup-left-ms": 0, "seq": h.seq, "born": h.born.UnixMilli(),
	})
}

// drain announces that the host leaves. It goes on serving.
func (h *host) drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	at := h.register()
	h.mu.Lock()
	h.drainAck = at
	h.mu.Unlock()
	h.bed.rec.logAt(at, "host %s: the store has acknowledged 'draining' at revision %d", h.id, h.bed.store.revision())
}

func (h *host) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := h.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if h.bed.lost() || n < 8 {
			continue
		}
		if number := binary.BigEndian.Uint64(buf); number != 0 && number != h.number {
			continue
		}
		if p, err := parse(buf[8:n]); err == nil {
			h.handle(p)
		}
	}
}

func (h *host) handle(p *packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := flowKey{client: p.src, service: p.dst}
	f := h.flows[k]
	if p.flags&flagSYN != 0 {
		h.handleSYN(p, k, f)
		return
	}
	if p.flags&flagRST != 0 {
		if f != nil {
			h.drop(f)
		}
		return
	}
	if f == nil || p.ack-f.isn-1 > f.next-f.isn-1 {
		// Not a flow of this host: the client has acknowledged another sequence number.
		h.bed.hostReset(h, k, p)
		h.send(&packet{echo: p.echo, src: k.service, dst: k.client, flags: flagRST, seq: p.ack})
		return
	}
	f.echo = p.echo
	if !f.open {
		f.open, f.openedAt = true, time.Now()
		h.bed.opened(f)
	}
	f.acknowledge(p.ack)
	switch {
	case len(p.data) > 0 && p.seq == f.expected:
		f.expected += uint32(len(p.data))
		f.request = append(f.request, p.data...)
		h.sendOnFlow(f, &packet{flags: flagACK})
		f.serve()
	case len(p.data) > 0:
		h.sendOnFlow(f, &packet{flags: flagACK})
	}
	if p.flags&flagFIN != 0 && p.seq+uint32(len(p.data)) == f.expected && !f.closed {
		f.closed = true
		h.held--
		f.expected++
		f.transmit(&packet{flags: flagACK | flagFIN})
		time.AfterFunc(10*time.Second, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.flows[k] == f {
				h.drop(f)
			}
		})
	} else if p.flags&flagFIN != 0 {
		h.sendOnFlow(f, &packet{flags: flagACK})
	}
}

func (h *host) handleSYN(p *packet, k flowKey, f *hostFlow) {
	if f != nil && f.clientSN == p.seq {
		f.echo = p.echo
		if !f.open {
			h.send(f.synAck())
		}
		return
	}
	if f != nil {
		h.drop(f)
	}
	if h.maxFlows > 0 && h.held >= h.maxFlows {
		h.refused++
		return
	}
	h.held++
	f = &hostFlow{host: h, key: k, isn: rand.Uint32(), expected: p.seq + 1, clientSN: p.seq, echo: p.echo}
	f.next = f.isn + 1
	h.flows[k] = f
	h.bed.syn(f)
	s := f.synAck()
	f.unacked = append(f.unacked, s)
	h.send(s)
	f.arm()
}

func (f *hostFlow) synAck() *packet {
	return &packet{echo: f.echo, src: f.key.service, dst: f.key.client, flags: flagSYN | flagACK, seq: f.isn, ack: f.expected}
}

// acknowledge removes the packets that the client has acknowledged.
func (f *hostFlow) acknowledge(ack uint32) {
	for len(f.unacked) > 0 {
		p := f.unacked[0]
		end := p.seq + uint32(len(p.data))
		if p.flags&(flagSYN|flagFIN) != 0 {
			end++
		}
		if int32(ack-end) < 0 {
			return
		}
		f.unacked = f.unacked[1:]
		f.tries = 0
	}
}

// transmit sends a packet that the client has to acknowledge.
func (f *hostFlow) transmit(p *packet) {
	p.src, p.dst, p.echo, p.seq, p.ack = f.key.service, f.key.client, f.echo, f.next, f.expected
	f.next += uint32(len(p.data))
	if p.flags&flagFIN != 0 {
		f.next++
	}
	f.unacked = append(f.unacked, p)
	f.host.send(p)
	if len(f.unacked) == 1 {
		f.arm()
	}
}

// arm sets the timer for the retransmission of the oldest packet.
func (f *hostFlow) arm() {
	if f.timer != nil {
		f.timer.Stop()
	}
	f.timer = time.AfterFunc(retransmitAfter(f.tries), func() {
		h := f.host
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(f.unacked) == 0 || h.flows[f.key] != f {
			return
		}
		if f.tries++; f.tries > maxRetransmissions {
			h.drop(f)
			return
		}
		f.unacked[0].echo = f.echo
		h.send(f.unacked[0])
		f.arm()
	})
}

// serve runs the request that has arrived in full.
func (f *hostFlow) serve() {
	head, rest, ok := bytes.Cut(f.request, []byte("\r\n\r\n"))
	if !ok {
		return
	}
	length, id := 0, ""
	for _, line := range strings.Split(string(head), "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "Content-Length":
			length, _ = strconv.Atoi(value)
		case "Filbertworks-Request-Id":
			id = value
		}
	}
	if len(rest) < length {
		return
	}
	f.request = nil
	h := f.host
	h.bed.ran(f, id)
	time.AfterFunc(h.work, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.flows[f.key] != f {
			return
		}
		body := "done " + id
		f.transmit(&packet{flags: flagACK, data: []byte(fmt.Sprintf(
			"HTTP/1.1 200 OK\r\nFilbertworks-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body))})
	})
}

func (h *host) drop(f *hostFlow) {
	if h.flows[f.key] == f && !f.closed {
		h.held--
	}
	delete(h.flows, f.key)
	if f.timer != nil {
		f.timer.Stop()
	}
}

func (h *host) sendOnFlow(f *hostFlow, p *packet) {
	p.src, p.dst, p.echo, p.seq, p.ack = f.key.service, f.key.client, f.echo, f.next, f.expected
	h.send(p)
}

// send sends a packet straight to its client.
func (h *host) send(p *packet) {
	_, _ = h.socket.WriteToUDPAddrPort(p.marshal(), netip.AddrPortFrom(p.dst.Addr(), packetPort))
}
