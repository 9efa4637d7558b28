package flow

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/sirupsen/logrus"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/internal/standin"
	"filbertworks.example/filbertworks/packet"
)

// Liveness of watches.
const (
	// newPortAfter is the silence after which a watch moves to a fresh source
	// port.
	newPortAfter = 4 * time.Second
	// brokenAfter is the silence after which a watch counts as broken.
	brokenAfter = 10 * time.Second
	// refreshJitter is the part of the refresh interval by which it varies.
	refreshJitter = 0.1
	// sequenceLifetime is the age beyond which sequence numbers are not
	// compared (RFC 7641).
	sequenceLifetime = 128 * time.Second
	// tickInterval is the interval at which a watch looks at its timers.
	tickInterval = 50 * time.Millisecond
)

// Values of Observe in requests (RFC 7641).
const (
	observeOpen  = 0
	observeClose = 1
)

// A watch keeps one calendar open.
type watch struct {
	source     netip.Addr
	balancers  []netip.AddrPort
	ackTimeout time.Duration
	refresh    time.Duration
	random     *rand.Rand
	directory  *Directory
	log        *logrus.Logger

	socket *socket
	token  message.Token
	// ticket is the newest that was given, or empty.
	ticket []byte
	// pending is the registration on its way, or nil.
	pending *transmission
	// nextRegistration is the time of the next refresh.
	nextRegistration time.Time
	// lastUpdate is the time of the last notification or answer; zero before the
	// first.
	lastUpdate time.Time
	// sequence is the Observe value heard last.
	sequence uint32
	// lastPortChange is the time of the last change of source port.
	lastPortChange time.Time
	// silenceCounted tells that the present silence has been counted.
	silenceCounted bool
	// upstream serves the watch; empty before the first notification.
	upstream string
	counts   Counts
}

// run keeps the watch until ctx ends, then closes it.
func (w *watch) run(ctx context.Context) error {
	if err := w.registerFromNewPort(time.Now()); err != nil {
		return err
	}
	defer func() { w.socket.close() }()
	w.counts.Opened++
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case a, ok := <-w.socket.responses:
			if ok {
				w.receive(ctx, time.Now(), a)
			}
		case now := <-ticker.C:
			if err := w.tick(now); err != nil {
				return err
			}
		case <-ctx.Done():
			_, _ = w.socket.transmit(w.newRequest(observeClose))
			return nil
		}
	}
}

// newRequest returns a GET of the calendar with an Observe value.
func (w *watch) newRequest(observe uint32) *message.Message {
	options := append(standin.Path("/calendar"), standin.Uint(message.Observe, observe))
	return &message.Message{
		Code:    codes.GET,
		Token:   w.token,
		Options: append(options, ticketOption(w.ticket)...),
	}
}

// receive handles a message of the balancers.
func (w *watch) receive(ctx context.Context, now time.Time, a *coap.Response) {
	if a.Token != packet.TokenOf(w.token) || a.IsEmptyAck() || a.Reset() {
		return
	}
	acknowledgement := a.Type == message.Acknowledgement
	if acknowledgement && (w.pending == nil || w.pending.messageID != a.Message) {
		return
	}
	if len(a.Ticket) > 0 {
		w.ticket = a.Ticket
	}
	if acknowledgement || a.Code != codes.Content {
		w.pending = nil
	}
	switch a.Code {
	case codes.Content:
		w.handleUpdate(ctx, now, a)
	case codes.Unauthorized:
		w.nextRegistration = now
	case codes.ServiceUnavailable:
		w.handleRefusal(now, a)
	case codes.Forbidden:
		// A rotated key retires the ticket, not the watch.
		w.ticket = nil
		w.counts.MayHaveRun++
		w.nextRegistration = now.Add(defaultMaxAge)
	case codes.GatewayTimeout:
		w.counts.MayHaveRun++
		w.nextRegistration = now.Add(defaultMaxAge)
	default:
		w.log.Errorf("watch: wrong answer %v", a.Code)
		w.counts.Wrong++
		w.nextRegistration = now.Add(defaultMaxAge)
	}
}

// handleUpdate takes a notification or the answer of a registration.
func (w *watch) handleUpdate(ctx context.Context, now time.Time, a *coap.Response) {
	upstream, _, ok := strings.Cut(string(a.Payload), " ")
	if !ok || !a.Observed {
		w.counts.Wrong++
		return
	}
	if !w.inOrder(now, a.Sequence) {
		return
	}
	if w.lastUpdate.IsZero() {
		w.counts.Answered++
	}
	w.lastUpdate = now
	w.sequence = a.Sequence
	w.silenceCounted = false
	if a.Type == message.Acknowledgement {
		w.nextRegistration = now.Add(w.refreshInterval())
	}
	if w.upstream != "" && w.upstream != upstream && !w.directory.MayMove(ctx, w.upstream) {
		w.log.Errorf("watch: broken, moved from %s to %s", w.upstream, upstream)
		w.counts.Broken++
	}
	w.upstream = upstream
}

// inOrder reports whether a notification is not older than the last one, by the
// rule of RFC 7641.
func (w *watch) inOrder(now time.Time, sequence uint32) bool {
	if w.lastUpdate.IsZero() || now.Sub(w.lastUpdate) > sequenceLifetime {
		return true
	}
	return (sequence-w.sequence)&(1<<24-1) < 1<<23
}

// refreshInterval returns the refresh interval with jitter.
func (w *watch) refreshInterval() time.Duration {
	factor := 1 + refreshJitter*(2*w.random.Float64()-1)
	return time.Duration(factor * float64(w.refresh))
}

// handleRefusal waits as told. A watch that was never open asks anew, without its
// ticket; an open one keeps what leads to its upstream.
func (w *watch) handleRefusal(now time.Time, a *coap.Response) {
	w.counts.Refused++
	if w.lastUpdate.IsZero() {
		w.ticket = nil
	}
	maxAge := a.MaxAge
	if maxAge == 0 {
		maxAge = defaultMaxAge
	}
	w.nextRegistration = now.Add(maxAge)
}

// register sends the registration.
func (w *watch) register(now time.Time) error {
	pending, err := w.socket.transmit(w.newRequest(observeOpen))
	if err != nil {
		return err
	}
	w.pending = pending
	w.nextRegistration = now.Add(w.refreshInterval())
	return nil
}

// registerFromNewPort registers from a fresh source port.
func (w *watch) registerFromNewPort(now time.Time) error {
	s, err := newSocket(w.source, w.balancers, w.ackTimeout, w.random)
	if err != nil {
		return err
	}
	if w.socket != nil {
		w.socket.close()
	}
	w.socket = s
	w.lastPortChange = now
	if w.token == nil {
		w.token = s.newToken()
	}
	return w.register(now)
}

// tick looks at the timers.
func (w *watch) tick(now time.Time) error {
	w.checkSilence(now)
	if w.needsNewPort(now) {
		return w.registerFromNewPort(now)
	}
	switch {
	case w.pending != nil && w.pending.failed(now):
		w.pending = nil
		w.nextRegistration = now
	case w.pending != nil && w.pending.retransmit(now):
		w.socket.sendToRandom(w.pending.datagram)
	}
	if w.pending == nil && !now.Before(w.nextRegistration) {
		return w.register(now)
	}
	return nil
}

// needsNewPort reports whether an open watch has heard nothing for long enough to
// move to a fresh source port.
func (w *watch) needsNewPort(now time.Time) bool {
	return !w.lastUpdate.IsZero() && now.Sub(w.lastUpdate) > newPortAfter && now.Sub(w.lastPortChange) > newPortAfter
}

// checkSilence counts a silence once.
func (w *watch) checkSilence(now time.Time) {
	if w.lastUpdate.IsZero() || w.silenceCounted || now.Sub(w.lastUpdate) <= brokenAfter {
		return
	}
	w.silenceCounted = true
	w.log.Errorf("watch: broken, nothing heard from %s for %v", w.upstream, brokenAfter)
	w.counts.Broken++
}
