// Package host simulates upstreams: CoAP servers with a limited number of slots,
// watches and cold starts, into which tests can inject faults.
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

// socketBuffer is the size in bytes of a socket's receive and send buffers.
const socketBuffer = 4 << 20

// Settings are the timing parameters of a host.
type Settings struct {
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// ReportInterval is the interval between samples of the load, and so the
	// greatest age of a load report.
	ReportInterval time.Duration
	// NotificationInterval is the interval between a watch's notifications.
	NotificationInterval time.Duration
}

// A requestKey identifies a request in progress by its source and message id.
type requestKey struct {
	source netip.AddrPort
	id     uint16
}

// An activeRequest is a request in progress.
type activeRequest struct {
	key   requestKey
	timer *time.Timer
	// expiry is the time from which the balancer no longer waits for the
	// response; zero means no deadline.
	expiry   time.Time
	response *message.Message
	// epoch is the host's epoch when the request started.
	epoch    int
	canceled bool
}

// A Host simulates one upstream. Its methods are safe for concurrent use.
type Host struct {
	service  string
	upstream config.Upstream
	settings Settings
	ledger   *Ledger
	log      *logrus.Logger
	socket   *net.UDPConn

	mu         sync.Mutex
	generation uint32
	// epoch is incremented whenever the requests in progress are dropped, so
	// that a timer that has already fired does not complete one of them.
	epoch    int
	capacity *capacity
	// active are the requests in progress.
	active     map[requestKey]*activeRequest
	watches    *registrations
	counters   Counters
	loadSample loadReport
	// knownSources are the sources from which messages have been received since
	// the last Silent fault.
	knownSources map[netip.AddrPort]bool
	// ignoredSources are the sources from which the Silent fault permanently
	// ignores messages.
	ignoredSources map[netip.AddrPort]bool
	shed           bool
	frozen         bool
	mislead        bool
	lastMessageID  uint16
}

// New returns a host that listens on its upstream's address. The hosts of a
// process share one ledger.
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

// Counters returns the counters of h.
func (h *Host) Counters() Counters {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.counters
	c.Connections = len(h.watches.open)
	c.Generation = h.generation
	return c
}

// Inject injects faults into h.
func (h *Host) Inject(f Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log.Infof("%s: inject faults %+v", h.upstream.Name, f)
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

// dropActive drops all requests in progress without a response.
func (h *Host) dropActive() {
	h.epoch++
	for k, f := range h.active {
		f.timer.Stop()
		delete(h.active, k)
	}
	h.capacity.inFlight = 0
}

// runNotifications notifies the watches of one bucket after another, so that
// each watch is notified once an interval, until ctx ends.
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

// dropWatches closes the watches whose key matches and counts them as lost.
func (h *Host) dropWatches(matches func(k registrationKey) bool) {
	for k := range h.watches.open {
		if matches(k) {
			h.watches.remove(k)
			h.counters.LostRegistrations++
		}
	}
}

// send writes a message to the socket. Write errors, such as a full send buffer,
// are ignored: the message is lost as in a network.
func (h *Host) send(to netip.AddrPort, m *message.Message) {
	data, err := standin.Encode(m)
	if err != nil {
		h.log.Errorf("%s: encode message: %v", h.upstream.Name, err)
		return
	}
	_, _ = h.socket.WriteToUDPAddrPort(data, to)
}

// ignoreKnownSources ignores all sources received from so far and drops their
// watches.
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

// reply returns a reply to a request: a piggybacked acknowledgement if the
// request is confirmable, else a non-confirmable message. It shares the
// request's token.
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
