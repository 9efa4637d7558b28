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

// Timing of watches.
const (
	// newPortAfter is the time without an update after which a watch registers
	// from a new source port.
	newPortAfter = 4 * time.Second
	// brokenAfter is the time without an update after which a watch counts as
	// broken.
	brokenAfter = 10 * time.Second
	// refreshJitter is the fraction by which the refresh interval varies in
	// both directions.
	refreshJitter = 0.1
	// sequenceLifetime is the age of the last sequence number beyond which new
	// ones are not compared with it (RFC 7641).
	sequenceLifetime = 128 * time.Second
	// tickInterval is the interval at which a watch checks its timers.
	tickInterval = 50 * time.Millisecond
)

// Values of the Observe option in requests (RFC 7641).
const (
	observeOpen  = 0
	observeClose = 1
)

// A watch observes one calendar (RFC 7641).
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
	// ticket is the last ticket received, or empty.
	ticket []byte
	// pending is the registration that is not answered yet, or nil.
	pending *transmission
	// nextRegistration is the time of the next registration, such as a refresh.
	nextRegistration time.Time
	// lastUpdate is the time of the last notification or successful
	// registration; zero before the first.
	lastUpdate time.Time
	// sequence is the Observe value of the last update.
	sequence uint32
	// lastPortChange is the time of the last change of source port.
	lastPortChange time.Time
	// silenceCounted is set when the time since the last update has been
	// counted as a broken watch.
	silenceCounted bool
	// upstream is the name of the upstream that serves the watch; empty before
	// the first update.
	upstream string
	counts   Counts
}

// run opens the watch, maintains it until ctx ends and then closes it.
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

// newRequest returns a GET of the calendar with the given Observe value.
func (w *watch) newRequest(observe uint32) *message.Message {
	options := append(standin.PathOptions("/calendar"), standin.UintOption(message.Observe, observe))
	return &message.Message{
		Code:    codes.GET,
		Token:   w.token,
		Options: append(options, ticketOption(w.ticket)...),
	}
}

// receive handles a message from a balancer.
func (w *watch) receive(ctx context.Context, now time.Time, a *coap.Response) {
	if a.Token != packet.TokenOf(w.token) || a.IsEmptyAck() || a.Reset() {
		return
	}
	acknowledgement := a.Type == message.Acknowledgement
	if acknowledgement && (w.pending == nil || w.pending.messageID != a.MessageID) {
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
		// After a rotation of the keys the ticket is invalid, but the watch is
		// not.
		w.ticket = nil
		w.counts.MayHaveRun++
		w.nextRegistration = now.Add(defaultMaxAge)
	case codes.GatewayTimeout:
		w.counts.MayHaveRun++
		w.nextRegistration = now.Add(defaultMaxAge)
	default:
		w.log.Errorf("watch: unexpected response code %v", a.Code)
		w.counts.Wrong++
		w.nextRegistration = now.Add(defaultMaxAge)
	}
}

// handleUpdate handles a notification or the successful response to a
// registration.
func (w *watch) handleUpdate(ctx context.Context, now time.Time, a *coap.Response) {
	upstream, _, ok := strings.Cut(string(a.Payload), " ")
	if !ok || !a.HasObserve {
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
		w.log.Errorf("watch: broken: moved from upstream %s to %s", w.upstream, upstream)
		w.counts.Broken++
	}
	w.upstream = upstream
}

// inOrder reports whether an update is not older than the last one, by the rule
// of RFC 7641.
func (w *watch) inOrder(now time.Time, sequence uint32) bool {
	if w.lastUpdate.IsZero() || now.Sub(w.lastUpdate) > sequenceLifetime {
		return true
	}
	return (sequence-w.sequence)&(1<<24-1) < 1<<23
}

// refreshInterval returns the refresh interval with random jitter.
func (w *watch) refreshInterval() time.Duration {
	factor := 1 + refreshJitter*(2*w.random.Float64()-1)
	return time.Duration(factor * float64(w.refresh))
}

// handleRefusal schedules the next registration after the response's Max-Age. A
// watch that was never open drops its ticket and starts anew; an open one keeps
// it, because it leads to the watch's upstream.
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

// register sends a registration from the present source port.
func (w *watch) register(now time.Time) error {
	pending, err := w.socket.transmit(w.newRequest(observeOpen))
	if err != nil {
		return err
	}
	w.pending = pending
	w.nextRegistration = now.Add(w.refreshInterval())
	return nil
}

// registerFromNewPort opens a socket with a new source port and registers from
// it.
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

// tick checks the timers of the watch.
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

// needsNewPort reports whether an open watch must register from a new source
// port: for newPortAfter it has neither received an update nor changed its port.
func (w *watch) needsNewPort(now time.Time) bool {
	return !w.lastUpdate.IsZero() && now.Sub(w.lastUpdate) > newPortAfter && now.Sub(w.lastPortChange) > newPortAfter
}

// checkSilence counts the watch as broken when it has received no update for
// brokenAfter, once until the next update.
func (w *watch) checkSilence(now time.Time) {
	if w.lastUpdate.IsZero() || w.silenceCounted || now.Sub(w.lastUpdate) <= brokenAfter {
		return
	}
	w.silenceCounted = true
	w.log.Errorf("watch: broken: no update from upstream %s for %v", w.upstream, brokenAfter)
	w.counts.Broken++
}
