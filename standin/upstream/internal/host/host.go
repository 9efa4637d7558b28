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

// A requestKey identifies a request in progress.
type requestKey struct {
	source netip.AddrPort
	id     uint16
}

// An activeRequest is a request in progress.
type activeRequest struct {
	key   requestKey
	timer *time.Timer
	// expiry is the end of the balancer's wait, or zero.
	expiry   time.Time
	response *message.Message
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
	epoch        int
	capacity     *capacity
	active       map[requestKey]*activeRequest
	watches      *registrations
	counters     Counters
	loadSample   loadReport
	knownSources map[netip.AddrPort]bool
	// ignoredSources are sources whose path is silent for good.
	ignoredSources map[netip.AddrPort]bool
	shed           bool
	frozen         bool
	mislead        bool
	lastMessageID  uint16
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
		service:        service,
		upstream:       upstream,
		settings:       settings,
		ledger:         ledger,
		log:            log,
		socket:         socket,
		generation:     rand.Uint32(),
		capacity:       newCapacity(int(upstream.Slots), settings.ServiceTime),
		active:         make(map[requestKey]*activeRequest),
		watches:        newRegistrations(),
		knownSources:   make(map[netip.AddrPort]bool),
		ignoredSources: make(map[netip.AddrPort]bool),
	}
	h.sampleLoad()
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
	setIfPresent(&h.shed, f.Shed)
	setIfPresent(&h.frozen, f.Frozen)
	setIfPresent(&h.mislead, f.Mislead)
	if f.Cold {
		h.capacity.resetLimit()
	}
	if f.Restart {
		h.restart()
	}
	if f.Silent {
		h.ignoreKnownSources()
	}
}

// Name returns the upstream's name.
func (h *Host) Name() string {
	return h.upstream.Name
}

// Run serves until ctx ends.
func (h *Host) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { h.runReceiver(ctx) })
	group.Go(func() { h.runNotifications(ctx) })
	group.Go(func() { h.runLoadSampler(ctx) })
	<-ctx.Done()
	_ = h.socket.Close()
	group.Wait()
}

// dropActive loses all requests in progress.
func (h *Host) dropActive() {
	h.epoch++
	for k, f := range h.active {
		f.timer.Stop()
		delete(h.active, k)
	}
	h.capacity.inFlight = 0
}

// runNotifications sends the notifications, spread over the interval.
func (h *Host) runNotifications(ctx context.Context) {
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
	h.watches.forEachInBucket(bucket, func(g *registration) {
		g.sent++
		g.lastMessageID = h.nextMessageID()
		h.send(g.key.source, h.notification(now, g, message.NonConfirmable, g.lastMessageID))
	})
}

func (h *Host) runReceiver(ctx context.Context) {
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
	h.dropWatches(func(registrationKey) bool { return true })
	h.dropActive()
	h.capacity.resetLimit()
}

// dropWatches ends the watches that a fault takes.
func (h *Host) dropWatches(matches func(k registrationKey) bool) {
	for k := range h.watches.open {
		if matches(k) {
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

// ignoreKnownSources ignores the sources known so far.
func (h *Host) ignoreKnownSources() {
	for a := range h.knownSources {
		h.ignoredSources[a] = true
	}
	h.knownSources = make(map[netip.AddrPort]bool)
	h.dropWatches(func(k registrationKey) bool { return h.ignoredSources[k.source] })
}

func (h *Host) nextMessageID() uint16 {
	h.lastMessageID++
	return h.lastMessageID
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
		m.MessageID = int32(h.nextMessageID())
	}
	return m
}

func setIfPresent(to, from *bool) {
	if from != nil {
		*to = *from
	}
}
