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
	// renewAfter is the silence after which a watch moves to a fresh source
	// port.
	renewAfter = 4 * time.Second
	// brokenAfter is the silence after which a watch counts as broken.
	brokenAfter = 10 * time.Second
	// refreshJitter is the part of the refresh interval by which it varies.
	refreshJitter = 0.1
	// sequenceLifetime is the age beyond which sequence numbers are not
	// compared (RFC 7641).
	sequenceLifetime = 128 * time.Second
	// watchTick is the interval at which a watch looks at its timers.
	watchTick = 50 * time.Millisecond
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
	// next is the time of the next refresh.
	next time.Time
	// heard is the time of the last notification or answer; zero before the
	// first.
	heard time.Time
	// sequence is the Observe value heard last.
	sequence uint32
	// renewed is the time of the last change of source port.
	renewed time.Time
	// silent tells that the present silence has been counted.
	silent bool
	// upstream serves the watch; empty before the first notification.
	upstream string
	tally    Counts
}

// run keeps the watch until ctx ends, then closes it.
func (w *watch) run(ctx context.Context) error {
	if err := w.renew(time.Now()); err != nil {
		return err
	}
	defer func() { w.socket.close() }()
	w.tally.Opened++
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	for {
		select {
		case a, ok := <-w.socket.answers:
			if ok {
				w.receive(ctx, time.Now(), a)
			}
		case now := <-ticker.C:
			if err := w.tick(now); err != nil {
				return err
			}
		case <-ctx.Done():
			_, _ = w.socket.transmit(w.message(observeClose))
			return nil
		}
	}
}

// message returns a GET of the calendar with an Observe value.
func (w *watch) message(observe uint32) *message.Message {
	options := append(standin.Path("/calendar"), standin.Uint(message.Observe, observe))
	return &message.Message{
		Code:    codes.GET,
		Token:   w.token,
		Options: append(options, echo(w.ticket)...),
	}
}

// receive handles a message of the balancers.
func (w *watch) receive(ctx context.Context, now time.Time, a *coap.Response) {
	if a.Token != packet.TokenOf(w.token) || a.IsEmptyAck() || a.Reset() {
		return
	}
	answer := a.Type == message.Acknowledgement
	if answer && (w.pending == nil || w.pending.id != a.Message) {
		return
	}
	if len(a.Ticket) > 0 {
		w.ticket = a.Ticket
	}
	if answer || a.Code != codes.Content {
		w.pending = nil
	}
	switch a.Code {
	case codes.Content:
		w.notified(ctx, now, a)
	case codes.Unauthorized:
		w.next = now
	case codes.ServiceUnavailable:
		w.refused(now, a)
	case codes.Forbidden:
		// A rotated key retires the ticket, not the watch.
		w.ticket = nil
		w.tally.MayHaveRun++
		w.next = now.Add(defaultMaxAge)
	case codes.GatewayTimeout:
		w.tally.MayHaveRun++
		w.next = now.Add(defaultMaxAge)
	default:
		w.log.Errorf("watch: wrong answer %v", a.Code)
		w.tally.Wrong++
		w.next = now.Add(defaultMaxAge)
	}
}

// notified takes a notification or the answer of a registration.
func (w *watch) notified(ctx context.Context, now time.Time, a *coap.Response) {
	upstream, _, ok := strings.Cut(string(a.Payload), " ")
	if !ok || !a.Observed {
		w.tally.Wrong++
		return
	}
	if !w.fresh(now, a.Sequence) {
		return
	}
	if w.heard.IsZero() {
		w.tally.Answered++
	}
	w.heard = now
	w.sequence = a.Sequence
	w.silent = false
	if a.Type == message.Acknowledgement {
		w.next = now.Add(w.interval())
	}
	if w.upstream != "" && w.upstream != upstream && !w.directory.MayMove(ctx, w.upstream) {
		w.log.Errorf("watch: broken, moved from %s to %s", w.upstream, upstream)
		w.tally.Broken++
	}
	w.upstream = upstream
}

// fresh reports whether a notification is not older than the last one, by the
// rule of RFC 7641.
func (w *watch) fresh(now time.Time, sequence uint32) bool {
	if w.heard.IsZero() || now.Sub(w.heard) > sequenceLifetime {
		return true
	}
	return (sequence-w.sequence)&(1<<24-1) < 1<<23
}

// interval returns the refresh interval with jitter.
func (w *watch) interval() time.Duration {
	factor := 1 + refreshJitter*(2*w.random.Float64()-1)
	return time.Duration(factor * float64(w.refresh))
}

// refused waits as told. A watch that was never open asks anew, without its
// ticket; an open one keeps what leads to its upstream.
func (w *watch) refused(now time.Time, a *coap.Response) {
	w.tally.Refused++
	if w.heard.IsZero() {
		w.ticket = nil
	}
	maxAge := a.MaxAge
	if maxAge == 0 {
		maxAge = defaultMaxAge
	}
	w.next = now.Add(maxAge)
}

// register sends the registration.
func (w *watch) register(now time.Time) error {
	pending, err := w.socket.transmit(w.message(observeOpen))
	if err != nil {
		return err
	}
	w.pending = pending
	w.next = now.Add(w.interval())
	return nil
}

// renew registers from a fresh source port.
func (w *watch) renew(now time.Time) error {
	s, err := newSocket(w.source, w.balancers, w.ackTimeout, w.random)
	if err != nil {
		return err
	}
	if w.socket != nil {
		w.socket.close()
	}
	w.socket = s
	w.renewed = now
	if w.token == nil {
		w.token = s.token()
	}
	return w.register(now)
}

// tick looks at the timers.
func (w *watch) tick(now time.Time) error {
	w.tickSilence(now)
	if w.mute(now) {
		return w.renew(now)
	}
	switch {
	case w.pending != nil && w.pending.failed(now):
		w.pending = nil
		w.next = now
	case w.pending != nil && w.pending.resend(now):
		w.socket.spray(w.pending.datagram)
	}
	if w.pending == nil && !now.Before(w.next) {
		return w.register(now)
	}
	return nil
}

// mute reports whether an open watch has heard nothing for long enough to
// move to a fresh source port.
func (w *watch) mute(now time.Time) bool {
	return !w.heard.IsZero() && now.Sub(w.heard) > renewAfter && now.Sub(w.renewed) > renewAfter
}

// tickSilence counts a silence once.
func (w *watch) tickSilence(now time.Time) {
	if w.heard.IsZero() || w.silent || now.Sub(w.heard) <= brokenAfter {
		return
	}
	w.silent = true
	w.log.Errorf("watch: broken, nothing heard from %s for %v", w.upstream, brokenAfter)
	w.tally.Broken++
}
