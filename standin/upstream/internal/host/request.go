package host

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/internal/standin"
	"filbertworks.example/filbertworks/packet"
)

// Paths that upstreams serve.
const (
	pathCalendar = "/calendar"
	pathHealth   = "/health"
	pathHolds    = "/holds"
	pathLoad     = "/load"
	pathPhotos   = "/photos/"
)

// Values of the Observe option in requests, and the mask of its 24-bit sequence
// numbers (RFC 7641).
const (
	observeOpen  = 0
	observeClose = 1
	observeMask  = 1<<24 - 1
)

// shedMaxAge is the Max-Age of the response to a shed request, in seconds.
const shedMaxAge = 1

// receive handles one message from a balancer.
func (h *Host) receive(now time.Time, source netip.AddrPort, m *message.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen || h.ignoredSources[source] || h.capacity.paused(now) {
		return
	}
	h.knownSources[source] = true
	switch {
	case m.Code == codes.Empty:
		h.receiveEmpty(source, m)
	case m.Code >= codes.GET && m.Code <= codes.DELETE:
		h.receiveRequest(now, source, m)
	default:
	}
}

func (h *Host) receiveEmpty(source netip.AddrPort, m *message.Message) {
	switch m.Type {
	case message.Confirmable:
		h.send(source, &message.Message{
			Type:      message.Reset,
			Code:      codes.Empty,
			MessageID: m.MessageID,
		})
	case message.Reset:
		h.cancel(requestKey{
			source: source,
			id:     uint16(m.MessageID),
		})
		h.watches.removeRejected(source, uint16(m.MessageID))
	default:
	}
}

// cancel ends a request in progress without a response.
func (h *Host) cancel(key requestKey) {
	request := h.active[key]
	if request == nil {
		return
	}
	request.canceled = true
	request.timer.Stop()
	delete(h.active, key)
	h.capacity.release()
}

func (h *Host) receiveRequest(now time.Time, source netip.AddrPort, m *message.Message) {
	path := standin.PathOf(m)
	if h.receiveProbe(source, m, path) {
		return
	}
	h.counters.Requests++
	switch {
	case isWatchClose(m, path):
		h.closeWatch(source, m)
	case !h.servesPath(path):
		h.counters.WrongService++
		h.sendReply(source, m, codes.NotFound, nil)
	case m.Code == codes.GET:
		h.receiveGet(now, source, m, path)
	case m.Code == codes.POST && path == pathHolds:
		h.startRequest(now, source, m, h.runHold)
	default:
		h.sendReply(source, m, codes.MethodNotAllowed, nil)
	}
}

// receiveProbe answers a request for the health or the load report, and returns
// whether the request was one of these.
func (h *Host) receiveProbe(source netip.AddrPort, m *message.Message, path string) bool {
	if m.Code != codes.GET {
		return false
	}
	switch path {
	case pathHealth:
		h.sendReply(source, m, codes.Content, h.healthPayload())
	case pathLoad:
		h.sendReply(source, m, codes.Content, h.loadPayload())
	default:
		return false
	}
	return true
}

func (h *Host) receiveGet(now time.Time, source netip.AddrPort, m *message.Message, path string) {
	switch {
	case path == pathCalendar && m.Options.HasOption(message.Observe):
		h.openWatch(now, source, m)
	case path == pathCalendar:
		h.startRequest(now, source, m, h.runCalendar)
	case path == pathHolds:
		h.sendReply(source, m, codes.MethodNotAllowed, nil)
	default:
		h.startRequest(now, source, m, h.runPhoto)
	}
}

// isWatchClose reports whether a request closes a watch. The token identifies
// the watch, so the path may be missing.
func isWatchClose(m *message.Message, path string) bool {
	observe, ok := standin.UintOf(m, message.Observe)
	return m.Code == codes.GET && ok && observe == observeClose && (path == "" || path == pathCalendar)
}

// servesPath reports whether the host's service serves a path.
func (h *Host) servesPath(path string) bool {
	if standin.ServesPhotos(h.service) {
		return strings.HasPrefix(path, pathPhotos)
	}
	return path == pathCalendar || path == pathHolds
}

func (h *Host) closeWatch(source netip.AddrPort, m *message.Message) {
	h.watches.remove(registrationKey{
		source: source,
		token:  packet.TokenOf(m.Token),
	})
	h.sendReply(source, m, codes.Content, []byte(h.upstream.Name+" closed"))
}

func (h *Host) openWatch(now time.Time, source netip.AddrPort, m *message.Message) {
	key := registrationKey{
		source: source,
		token:  packet.TokenOf(m.Token),
	}
	if h.shed {
		h.sendShed(source, m)
		return
	}
	g := h.watches.add(key, int(h.upstream.Connections))
	if g == nil {
		h.sendShed(source, m)
		return
	}
	h.counters.MaxConnections = max(h.counters.MaxConnections, len(h.watches.open))
	reply := h.reply(m, codes.Content)
	h.send(source, h.notification(now, g, reply.Type, uint16(reply.MessageID)))
}

// notification returns a notification with the state of a watch. Its sequence
// number is derived from the clock, so that numbers also increase from one
// registration of a watch to the next.
func (h *Host) notification(now time.Time, g *registration, t message.Type, id uint16) *message.Message {
	sequence := uint32(now.UnixMilli()) & observeMask
	return &message.Message{
		Type:      t,
		Code:      codes.Content,
		MessageID: int32(id),
		Token:     g.key.token.Slice(),
		Options:   message.Options{standin.UintOption(message.Observe, sequence)},
		Payload:   fmt.Appendf(nil, "%s %d", h.upstream.Name, g.sent),
	}
}

// startRequest starts a request, which finishes after its service time, or sheds
// it. A retransmission of a confirmable (idempotent) request in progress does
// not start it again.
func (h *Host) startRequest(now time.Time, source netip.AddrPort, m *message.Message, run func(m *message.Message) *message.Message) {
	key := requestKey{
		source: source,
		id:     uint16(m.MessageID),
	}
	if h.active[key] != nil && m.Type == message.Confirmable {
		return
	}
	if h.shed {
		h.sendShed(source, m)
		return
	}
	switch h.capacity.admit(now) {
	case shed:
		h.sendShed(source, m)
		return
	case overloaded:
		h.log.Warnf("%s: overloaded", h.upstream.Name)
		h.counters.Overloaded++
		h.dropActive()
		return
	default:
	}
	h.counters.MaxRequests = max(h.counters.MaxRequests, h.capacity.inFlight)
	request := &activeRequest{
		key:      key,
		response: run(m),
		epoch:    h.epoch,
	}
	if v, ok := standin.UintOf(m, coap.OptionDeadline); ok {
		request.expiry = now.Add(time.Duration(v) * time.Millisecond)
	}
	h.active[key] = request
	request.timer = time.AfterFunc(h.serviceTime(), func() { h.finishRequest(request) })
}

// serviceTime returns a random service time, uniform between 0.5 and 1.5 times
// the mean.
func (h *Host) serviceTime() time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(h.settings.ServiceTime))
}

// finishRequest ends a request and sends its response unless its deadline has
// passed or a fault suppresses it.
func (h *Host) finishRequest(request *activeRequest) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if request.canceled || request.epoch != h.epoch {
		return
	}
	if h.active[request.key] == request {
		delete(h.active, request.key)
	}
	h.capacity.complete()
	if h.frozen || h.ignoredSources[request.key.source] {
		return
	}
	if !request.expiry.IsZero() && now.After(request.expiry) {
		return
	}
	h.send(request.key.source, request.response)
}

// sendReply replies to a request without using a slot.
func (h *Host) sendReply(to netip.AddrPort, request *message.Message, code codes.Code, payload []byte) {
	m := h.reply(request, code)
	m.Payload = payload
	h.send(to, m)
}

// sendShed replies 5.03 with a Max-Age: the request was not run.
func (h *Host) sendShed(to netip.AddrPort, request *message.Message) {
	h.counters.Sheds++
	m := h.reply(request, codes.ServiceUnavailable)
	m.Options = message.Options{standin.UintOption(message.MaxAge, shedMaxAge)}
	m.Payload = []byte("shed")
	h.send(to, m)
}

func (h *Host) runCalendar(m *message.Message) *message.Message {
	reply := h.detachedReply(m, codes.Content)
	reply.Payload = []byte(h.upstream.Name + " 0")
	return reply
}

func (h *Host) runHold(m *message.Message) *message.Message {
	id := string(m.Payload)
	h.counters.Runs++
	if runs := h.ledger.RecordRun(id, h.upstream.Name); len(runs) > 1 {
		h.log.Errorf("%s: hold %q executed more than once, by %v", h.upstream.Name, id, runs)
		h.counters.DoubleRuns++
	}
	reply := h.detachedReply(m, codes.Changed)
	reply.Payload = fmt.Appendf(nil, "held %s by %s", id, h.upstream.Name)
	return reply
}

func (h *Host) runPhoto(m *message.Message) *message.Message {
	number := strings.TrimPrefix(standin.PathOf(m), pathPhotos)
	content := standin.Photo(h.service, number)
	block, ok := standin.UintOf(m, message.Block2)
	if !ok {
		block = standin.PhotoBlockExponent
	}
	exponent := min(block&7, standin.PhotoBlockExponent+1)
	size := 16 << exponent
	start := int(block>>4) * size
	if start >= len(content) {
		return h.detachedReply(m, codes.BadRequest)
	}
	end := min(start+size, len(content))
	block = block&^0xf | exponent
	if end < len(content) {
		block |= 1 << 3
	}
	reply := h.detachedReply(m, codes.Content)
	reply.Options = message.Options{standin.UintOption(message.Block2, block)}
	reply.Payload = content[start:end]
	return reply
}

// detachedReply returns a reply with a copy of the request's token, which stays
// valid after the receive buffer is reused.
func (h *Host) detachedReply(request *message.Message, code codes.Code) *message.Message {
	m := h.reply(request, code)
	m.Token = append(message.Token(nil), request.Token...)
	return m
}
