// Package host behaves as one upstream: a CoAP server with slots, watches,
// cold starts and faults on demand.
package host

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/internal/standin"
)

// socketBuffer is the size of a socket's buffers, in bytes.
const socketBuffer = 4 << 20

// Settings are the times of a host.
type Settings struct {
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// ReportInterval is the age that load reports reach.
	ReportInterval time.Duration
	// NotificationInterval is the interval between a watch's notifications.
	NotificationInterval time.Duration
}

// A flightKey identifies a request in progress.
type flightKey struct {
	source netip.AddrPort
	id     uint16
}

// A flight is a request in progress.
type flight struct {
	key   flightKey
	timer *time.Timer
	// expiry is the end of the balancer's wait, or zero.
	expiry time.Time
	answer *message.Message
	// epoch is the host's when the request began.
	epoch    int
	canceled bool
}

// A Host is one upstream. Its methods are safe for concurrent use.
type Host struct {
	service  string
	upstream config.Upstream
	settings Settings
	ledger   *Ledger
	log      *logrus.Logger
	socket   *net.UDPConn

	mu         sync.Mutex
	generation uint32
	// epoch changes when the requests in progress are lost.
	epoch    int
	capacity *capacity
	flights  map[flightKey]*flight
	watches  *registrations
	counters Counters
	load     loadReport
	known    map[netip.AddrPort]bool
	// ignored are sources whose path is silent for good.
	ignored map[netip.AddrPort]bool
	shed    bool
	frozen  bool
	mislead bool
	message uint16
}

// New returns a host that listens on its upstream's address; hosts share a
// ledger.
func New(service string, upstream config.Upstream, settings Settings, ledger *Ledger, log *logrus.Logger) (*Host, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(upstream.Address))
	if err != nil {
		return nil, eris.Wrapf(err, "upstream %s", upstream.Name)
	}
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
	h := &Host{
		service:    service,
		upstream:   upstream,
		settings:   settings,
		ledger:     ledger,
		log:        log,
		socket:     socket,
		generation: rand.Uint32(),
		capacity:   newCapacity(int(upstream.Slots), settings.ServiceTime),
		flights:    make(map[flightKey]*flight),
		watches:    newRegistrations(),
		known:      make(map[netip.AddrPort]bool),
		ignored:    make(map[netip.AddrPort]bool),
	}
	h.report()
	return h, nil
}

// Address returns the address on which h listens.
func (h *Host) Address() netip.AddrPort {
	return h.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Counters returns what h counted.
func (h *Host) Counters() Counters {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.counters
	c.Connections = len(h.watches.open)
	c.Generation = h.generation
	return c
}

// Inject puts faults in effect.
func (h *Host) Inject(f Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log.Infof("%s: faults %+v", h.upstream.Name, f)
	set(&h.shed, f.Shed)
	set(&h.frozen, f.Frozen)
	set(&h.mislead, f.Mislead)
	if f.Cold {
		h.capacity.cool()
	}
	if f.Restart {
		h.restart()
	}
	if f.Silent {
		h.silence()
	}
}

// Name returns the upstream's name.
func (h *Host) Name() string {
	return h.upstream.Name
}

// Run serves until ctx ends.
func (h *Host) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { h.read(ctx) })
	group.Go(func() { h.notify(ctx) })
	group.Go(func() { h.sample(ctx) })
	<-ctx.Done()
	_ = h.socket.Close()
	group.Wait()
}

// forget loses all requests in progress.
func (h *Host) forget() {
	h.epoch++
	for k, f := range h.flights {
		f.timer.Stop()
		delete(h.flights, k)
	}
	h.capacity.flying = 0
}

// notify sends the notifications, spread over the interval.
func (h *Host) notify(ctx context.Context) {
	ticker := time.NewTicker(max(time.Millisecond, h.settings.NotificationInterval/notifyBuckets))
	defer ticker.Stop()
	for bucket := 0; ; bucket = (bucket + 1) % notifyBuckets {
		select {
		case now := <-ticker.C:
			h.notifyBucket(now, bucket)
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) notifyBucket(now time.Time, bucket int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen || h.capacity.paused(now) {
		return
	}
	h.watches.due(bucket, func(g *registration) {
		g.sent++
		g.message = h.nextMessage()
		h.send(g.key.source, h.notification(now, g, message.NonConfirmable, g.message))
	})
}

func (h *Host) read(ctx context.Context) {
	buffer := make([]byte, coap.MaxDatagramSize)
	for ctx.Err() == nil {
		n, source, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue
		}
		m, err := standin.Decode(buffer[:n])
		if err != nil {
			continue
		}
		h.receive(time.Now(), source, m)
	}
}

func (h *Host) restart() {
	h.generation++
	h.loseWatches(func(registrationKey) bool { return true })
	h.forget()
	h.capacity.cool()
}

// loseWatches ends the watches that a fault takes.
func (h *Host) loseWatches(lost func(k registrationKey) bool) {
	for k := range h.watches.open {
		if lost(k) {
			h.watches.remove(k)
			h.counters.LostRegistrations++
		}
	}
}

// send writes a message; a full socket loses it, as a network would.
func (h *Host) send(to netip.AddrPort, m *message.Message) {
	data, err := standin.Encode(m)
	if err != nil {
		h.log.Errorf("%s: encode: %v", h.upstream.Name, err)
		return
	}
	_, _ = h.socket.WriteToUDPAddrPort(data, to)
}

// silence ignores the sources known so far.
func (h *Host) silence() {
	for a := range h.known {
		h.ignored[a] = true
	}
	h.known = make(map[netip.AddrPort]bool)
	h.loseWatches(func(k registrationKey) bool { return h.ignored[k.source] })
}

func (h *Host) nextMessage() uint16 {
	h.message++
	return h.message
}

// reply returns an answer to a request: piggybacked where it is confirmable.
func (h *Host) reply(request *message.Message, code codes.Code) *message.Message {
	m := &message.Message{
		Type:      message.Acknowledgement,
		MessageID: request.MessageID,
		Code:      code,
		Token:     request.Token,
	}
	if request.Type == message.NonConfirmable {
		m.Type = message.NonConfirmable
		m.MessageID = int32(h.nextMessage())
	}
	return m
}

func set(to, from *bool) {
	if from != nil {
		*to = *from
	}
}
