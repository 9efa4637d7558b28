// Package keeper holds the work of the upstreams that one balancer keeps: it
// counts requests and watches against what each upstream bears, executes
// non-idempotent requests at most once, and follows watches.
package keeper

import (
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ticket"
	"filbertworks.example/filbertworks/timer"
	"filbertworks.example/filbertworks/upstream"
	"filbertworks.example/filbertworks/verdict"
)

// Times of a keeper.
const (
	// ExecutionLifetime is how long a ticket gives the right to start a
	// non-idempotent request.
	ExecutionLifetime = 10 * time.Second
	// AnswerRetention is how long answers to non-idempotent requests are kept
	// after their ticket has expired.
	AnswerRetention = 60 * time.Second
	// WatchLeaseIntervals is how many refresh intervals a watch outlives its
	// last refresh.
	WatchLeaseIntervals = 3
	// RetryAfter is the retry hint of a refusal.
	RetryAfter = time.Second
)

// A Request is a caller's datagram at the keeper of its upstream.
type Request struct {
	Header *packet.Header
	// Ticket is nil where the caller sent none.
	Ticket  *ticket.Ticket
	Service *config.Service
	// Upstream is nil only for a non-idempotent request whose ticket names an
	// upstream that takes no new work.
	Upstream *config.Upstream
	Datagram []byte
}

// Limits bound a keeper's memory.
type Limits struct {
	// Exchanges is the greatest number of open watches and requests.
	Exchanges int
	// Entries is the greatest number of remembered executions.
	Entries int
}

// A Keeper decides on the work of the upstreams that one balancer keeps. It is
// not safe for concurrent use.
type Keeper struct {
	incarnation uint64
	start       time.Time
	sealer      Sealer
	outlet      Outlet
	timers      *timer.Queue
	exchanges   *exchangeTable
	ledger      *ledger
	gates       map[uint32]*upstream.Gate
	queues      map[uint32]*queue
	// resigned are the upstreams with a gate that another balancer keeps.
	resigned map[uint32]bool
	// config is nil before the first configuration.
	config *config.Snapshot
	// message numbers the messages that the keeper sends by itself.
	message uint16
	sealed  [ticket.Size]byte
}

// New returns a keeper of a process that started at start under a random
// incarnation.
func New(start time.Time, incarnation uint64, limits Limits, timers *timer.Queue, sealer Sealer, outlet Outlet) *Keeper {
	return &Keeper{
		incarnation: incarnation,
		start:       start,
		sealer:      sealer,
		outlet:      outlet,
		timers:      timers,
		exchanges:   newExchangeTable(limits.Exchanges),
		ledger:      newLedger(limits.Entries, AnswerRetention),
		gates:       make(map[uint32]*upstream.Gate),
		queues:      make(map[uint32]*queue),
		resigned:    make(map[uint32]bool),
	}
}

// Answer takes an upstream's message and reports whether it belongs to an open
// exchange.
func (k *Keeper) Answer(now time.Time, from uint32, a *Answer, datagram []byte) bool {
	place, e := k.exchanges.at(a.Token)
	if e == nil || e.upstream != from {
		return false
	}
	switch e.kind {
	case packet.KindWatchOpen:
		k.watchAnswer(now, place, e, a, datagram)
	case packet.KindIdempotent:
		k.deliver(now, e, datagram)
		k.endRequest(now, place, e, a.result())
	case packet.KindOnce:
		k.onceAnswer(now, place, e, a, datagram)
	default:
		return false
	}
	return true
}

// Configure follows a new configuration: exchanges at upstreams that are gone
// or lie in zones taken out end.
func (k *Keeper) Configure(now time.Time, c *config.Snapshot) {
	k.config = c
	k.flushUnusable(c)
	for id, g := range k.gates {
		if p := c.Upstream(id); p.Upstream != nil {
			g.Configure(p.Upstream)
		}
	}
	for place := range k.exchanges.places {
		e := &k.exchanges.places[place]
		if e.generation%2 == 0 {
			continue
		}
		p := c.Upstream(e.upstream)
		if p.Upstream == nil || p.Service.ID != e.service || !c.ZoneIn(p.Upstream.Zone) {
			k.abandon(now, uint32(place), e)
		}
	}
}

// Exchanges returns the number of open watches and requests.
func (k *Keeper) Exchanges() int {
	return len(k.exchanges.index)
}

// Expire ends the exchange or drops the ledger entry that a timer was set for.
func (k *Keeper) Expire(now time.Time, key uint64) {
	place := uint32(key)
	e := k.exchanges.get(place, uint32(key>>32))
	if e == nil {
		return
	}
	if left := e.expires - now.Sub(k.start); left > 0 {
		k.timers.Subscribe(now.Add(left), k, key)
		return
	}
	switch e.kind {
	case packet.KindWatchOpen:
		k.cancel(place, e)
		k.endWatch(now, place, e)
	case packet.KindOnce:
		k.ledger.entries[e.serial].state = entryUnknown
		k.refuseExchange(e, verdict.MayHaveRun, verdict.ReasonTimeout)
		k.cancel(place, e)
		k.endRequest(now, place, e, upstream.ResultTimeout)
	default:
		k.cancel(place, e)
		k.endRequest(now, place, e, upstream.ResultTimeout)
	}
}

// Request takes a caller's datagram. The result is ReasonNone where the keeper
// has dealt with it; otherwise nothing was done, the request has not run, and
// it may be offered to another upstream.
func (k *Keeper) Request(now time.Time, r *Request) verdict.Reason {
	switch r.Header.Kind {
	case packet.KindWatchOpen:
		return k.openWatch(now, r)
	case packet.KindWatchClose:
		k.closeWatch(now, r)
		return verdict.ReasonNone
	case packet.KindIdempotent:
		return k.idempotent(now, r)
	case packet.KindOnce:
		return k.once(now, r)
	default:
		return verdict.ReasonMalformed
	}
}

// abandon ends an exchange at an upstream that may not be sent to any more.
func (k *Keeper) abandon(now time.Time, place uint32, e *exchange) {
	switch e.kind {
	case packet.KindWatchOpen:
		k.endWatch(now, place, e)
	case packet.KindOnce:
		k.ledger.entries[e.serial].state = entryUnknown
		k.refuseExchange(e, verdict.MayHaveRun, verdict.ReasonZoneOut)
		k.endRequest(now, place, e, upstream.ResultCancelled)
	default:
		k.endRequest(now, place, e, upstream.ResultCancelled)
	}
}

// begin sends an idempotent request if its upstream has a slot.
func (k *Keeper) begin(now time.Time, r *Request) verdict.Reason {
	if reason := k.Gate(r.Upstream).AdmitRequest(now); reason != verdict.ReasonNone {
		return reason
	}
	place, e := k.open(now, keyOf(r.Header.Caller, r.Header.Token), r, deadline(r))
	if e == nil {
		k.Gate(r.Upstream).EndRequest(now, upstream.ResultCancelled, 0)
		return verdict.ReasonLedgerFull
	}
	k.forward(now, place, e, r)
	return verdict.ReasonNone
}

func (k *Keeper) cancel(place uint32, e *exchange) {
	k.outlet.Cancel(&Cancel{
		Upstream: e.upstream,
		Kind:     e.kind,
		Token:    k.exchanges.token(place),
		Message:  e.forwarded,
	})
}

// deadline returns how long a request may take.
func deadline(r *Request) time.Duration {
	d := time.Duration(r.Service.Deadline)
	if r.Header.Deadline > 0 {
		d = min(d, r.Header.Deadline)
	}
	return d
}

// deliver passes an upstream's answer on to the caller of e.
func (k *Keeper) deliver(now time.Time, e *exchange, datagram []byte) {
	k.outlet.Deliver(&Delivery{
		Service:     e.service,
		Caller:      e.key.caller(),
		Token:       e.key.token,
		Message:     e.message,
		Acknowledge: e.confirmable,
		Ticket:      k.grant(now, e.service, e.upstream, e.key.caller().Addr()),
	}, datagram)
}

func (k *Keeper) endRequest(now time.Time, place uint32, e *exchange, result upstream.Result) {
	latency := now.Sub(k.start) - e.sent
	k.gates[e.upstream].EndRequest(now, result, latency)
	id := e.upstream
	k.exchanges.remove(place)
	k.dequeue(now, id)
}

// forward sends r to its upstream as the exchange at a place.
func (k *Keeper) forward(now time.Time, place uint32, e *exchange, r *Request) {
	k.outlet.Forward(&Forward{
		Upstream:    e.upstream,
		Token:       k.exchanges.token(place),
		Message:     e.forwarded,
		Confirmable: e.kind != packet.KindOnce,
		Deadline:    e.expires - now.Sub(k.start),
	}, r.Datagram)
}

// grant returns a sealed ticket with the right to one execution, valid until
// the next call.
func (k *Keeper) grant(now time.Time, service, id uint32, caller netip.Addr) []byte {
	k.sealer.Seal(k.sealed[:], ticket.Ticket{
		Service:     service,
		Upstream:    id,
		Incarnation: k.incarnation,
		Serial:      k.ledger.issue(),
		Expiry:      now.Sub(k.start) + ExecutionLifetime,
	}, caller)
	return k.sealed[:]
}

// idempotent sends a request that may run repeatedly.
func (k *Keeper) idempotent(now time.Time, r *Request) verdict.Reason {
	key := keyOf(r.Header.Caller, r.Header.Token)
	if place, e := k.exchanges.find(key); e != nil {
		if e.kind == packet.KindIdempotent && e.message == r.Header.Message {
			k.forward(now, place, e, r)
			return verdict.ReasonNone
		}
		k.supersede(now, place, e)
	}
	if k.Gate(r.Upstream).Refusal(now) == verdict.ReasonBusy && k.await(now, r) {
		return verdict.ReasonNone
	}
	return k.begin(now, r)
}

// nextMessage returns a message id for a message of the keeper's own.
func (k *Keeper) nextMessage() uint16 {
	k.message++
	return k.message
}

// open adds an exchange that lives for a time; nil where there is no room.
func (k *Keeper) open(now time.Time, key exchangeKey, r *Request, lifetime time.Duration) (uint32, *exchange) {
	place, ok := k.exchanges.add(key)
	if !ok {
		return 0, nil
	}
	e := &k.exchanges.places[place]
	e.kind = r.Header.Kind
	e.confirmable = r.Header.Confirmable
	e.message = r.Header.Message
	e.forwarded = k.nextMessage()
	e.service = r.Service.ID
	e.upstream = r.Upstream.ID
	e.sent = now.Sub(k.start)
	e.expires = e.sent + lifetime
	k.timers.Subscribe(now.Add(lifetime), k, k.exchanges.timerKey(place))
	return place, e
}

// refuseExchange answers the caller of e without an upstream.
func (k *Keeper) refuseExchange(e *exchange, v verdict.Verdict, reason verdict.Reason) {
	h := &packet.Header{
		Service:     e.service,
		Caller:      e.key.caller(),
		Kind:        e.kind,
		Token:       e.key.token,
		Message:     e.message,
		Confirmable: e.confirmable,
	}
	k.outlet.Refuse(h, newRefusal(v, reason, 0))
}

// supersede ends an exchange whose caller reuses the token.
func (k *Keeper) supersede(now time.Time, place uint32, e *exchange) {
	k.cancel(place, e)
	if e.kind == packet.KindWatchOpen {
		k.endWatch(now, place, e)
		return
	}
	if e.kind == packet.KindOnce {
		k.ledger.entries[e.serial].state = entryUnknown
	}
	k.endRequest(now, place, e, upstream.ResultCancelled)
}
