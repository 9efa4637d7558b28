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
	// ExecutionTicketLifetime is how long a ticket gives the right to start a
	// non-idempotent request.
	ExecutionTicketLifetime = 10 * time.Second
	// AnswerRetention is how long answers to non-idempotent requests are kept
	// after their ticket has expired: the longest time between the first
	// transmission of a message and the arrival of its last retransmission
	// (RFC 7252, MAX_TRANSMIT_SPAN and MAX_LATENCY). It exceeds
	// config.MaxDeadline, so that an execution ends before its entry.
	AnswerRetention = 145 * time.Second
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
	// PriorAttempts are the upstreams that refused the request before.
	PriorAttempts PriorAttempts
	// Elapsed is the part of the deadline that is used up.
	Elapsed time.Duration
}

// Limits bound a keeper's memory.
type Limits struct {
	// Exchanges is the greatest number of open watches and requests.
	Exchanges int
	// Entries is the greatest number of remembered executions.
	Entries int
}

// An Option changes a keeper.
type Option func(*Keeper)

// WithReleaser makes a keeper tell former keepers of the watches that it takes
// over.
func WithReleaser(r Releaser) Option {
	return func(k *Keeper) { k.releaser = r }
}

// WithStartupGrace makes a keeper give no rights to executions for a time after its
// start: other balancers must have heard of the process that they name.
func WithStartupGrace(d time.Duration) Option {
	return func(k *Keeper) { k.settle = d }
}

// A Keeper decides on the work of the upstreams that one balancer keeps. It is
// not safe for concurrent use.
type Keeper struct {
	incarnation uint64
	start       time.Time
	sealer      Sealer
	outlet      Transport
	timers      *timer.Queue
	exchanges   *exchangeTable
	ledger      *ledger
	retention   *retention
	retrier     Retrier
	gates       map[uint32]*upstream.Limiter
	queues      map[uint32]*queue
	// resigned are the upstreams with a gate that another balancer keeps.
	resigned map[uint32]bool
	// registrations are the requests by which watches were opened.
	registrations *registrations
	// leases hold the watches; leasesArmed tells that they are looked at.
	leases      *timer.Wheel
	leasesArmed bool
	// sweeps are under way where there are any.
	sweeps   []sweep
	releaser Releaser
	// releases are serials that wait to be passed on, by incarnation.
	releases map[uint64][]uint64
	// epoch makes the serials of watches differ.
	epoch   uint16
	leaving bool
	// settle is the time after start in which no rights are given.
	settle time.Duration
	// rights is when the last right to an execution ends, from start.
	rights time.Duration
	// version is that of config, the configuration in force or nil.
	version uint32
	config  *config.Snapshot
	// message is the last message id towards callers, messages that towards each
	// upstream. They start at random, since receivers take a repeated id for a
	// duplicate (RFC 7252, section 4.5), and callers hear several keepers.
	message  uint16
	messages map[uint32]uint16
	sealed   [ticket.Size]byte
	// forwarding and delivery are scratch space for the outlet's arguments.
	forwarding Forward
	delivery   Delivery
}

// New returns a keeper of a process that started at start under a random
// incarnation.
func New(start time.Time, incarnation uint64, limits Limits, timers *timer.Queue, sealer Sealer, outlet Transport, retrier Retrier, options ...Option) *Keeper {
	k := &Keeper{
		incarnation: incarnation,
		start:       start,
		sealer:      sealer,
		outlet:      outlet,
		timers:      timers,
		exchanges:   newExchangeTable(limits.Exchanges, incarnation),
		ledger:      newLedger(limits.Entries, AnswerRetention),
		retention:   newRetention(),
		retrier:     retrier,
		gates:       make(map[uint32]*upstream.Limiter),
		queues:      make(map[uint32]*queue),
		resigned:    make(map[uint32]bool),
		message:     uint16(incarnation),
		messages:    make(map[uint32]uint16),
	}
	k.registrations = newRegistrations()
	k.releases = make(map[uint64][]uint64)
	k.leases = timer.NewWheel(k.exchanges, leaseTick, leaseSlots)
	for _, o := range options {
		o(k)
	}
	return k
}

// HandleUpstreamMessage takes an upstream's message and reports whether it belongs to an open
// exchange or a remembered execution.
func (k *Keeper) HandleUpstreamMessage(now time.Time, from uint32, a *UpstreamMessage, datagram []byte) bool {
	place, e := k.exchanges.at(a.Token)
	if e == nil {
		return k.lateAnswer(from, a, datagram)
	}
	if e.upstream != from {
		return false
	}
	switch e.kind {
	case packet.KindWatchOpen:
		k.watchAnswer(now, place, e, a, datagram)
	case packet.KindIdempotent:
		if a.Shed {
			k.shed(now, place, e, datagram)
			return true
		}
		k.retrier.RecordSuccess(now, e.service)
		k.deliver(now, e, datagram)
		k.endRequest(now, place, e, upstream.ResultAnswered)
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
	gone := k.gone(k.config, c)
	k.config = c
	k.flushUnusable(c, gone)
	k.version = uint32(c.Version)
	for id, g := range k.gates {
		if p := c.Upstream(id); p.Upstream != nil {
			g.Configure(p.Upstream)
		}
	}
	k.closeAt(now, gone)
}

// Exchanges returns the number of open watches and requests.
func (k *Keeper) Exchanges() int {
	return k.exchanges.len()
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
	case packet.KindOnce:
		k.onceTimeout(now, place, e)
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

// begin sends an idempotent request if its upstream has a slot.
func (k *Keeper) begin(now time.Time, r *Request) verdict.Reason {
	if reason := k.Limiter(r.Upstream).AdmitRequest(now); reason != verdict.ReasonNone {
		return reason
	}
	place, e := k.open(now, keyOf(r.Header.Caller, r.Header.Token), r, deadline(r))
	if e == nil {
		k.Limiter(r.Upstream).EndRequest(now, upstream.ResultCancelled, 0)
		return verdict.ReasonLedgerFull
	}
	k.retention.hold(place, r)
	k.forward(now, place, e, r)
	return verdict.ReasonNone
}

// cancel ends an exchange at its upstream, unless that may not be sent to.
func (k *Keeper) cancel(place uint32, e *exchange) {
	if e.closed {
		return
	}
	k.outlet.Cancel(&Cancel{
		Upstream: e.upstream,
		Kind:     e.kind,
		Token:    k.exchanges.token(place),
		Message:  e.forwarded,
	})
}

// deadline returns how long a request may still take.
func deadline(r *Request) time.Duration {
	d := time.Duration(r.Service.Deadline)
	if r.Header.Deadline > 0 {
		d = min(d, r.Header.Deadline)
	}
	return d - r.Elapsed
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
	k.retention.drop(place)
	id := e.upstream
	k.exchanges.remove(place)
	k.dequeue(now, id)
}

// forward sends r to its upstream as the exchange at a place.
func (k *Keeper) forward(now time.Time, place uint32, e *exchange, r *Request) {
	k.forwarding = Forward{
		Upstream:    e.upstream,
		Token:       k.exchanges.token(place),
		Message:     e.forwarded,
		Confirmable: e.kind != packet.KindOnce,
		Deadline:    e.expires - now.Sub(k.start),
	}
	k.outlet.Forward(&k.forwarding, r.Datagram)
}

// grant returns a sealed ticket with the right to one execution, valid until
// the next call. Where the keeper gives no rights, it names the flow only.
func (k *Keeper) grant(now time.Time, service, id uint32, caller netip.Addr) []byte {
	t := ticket.Ticket{
		Service:     service,
		Upstream:    id,
		Incarnation: k.incarnation,
		Serial:      k.ledger.issue(),
	}
	if k.grants(now) {
		t.Expiry = now.Sub(k.start) + ExecutionTicketLifetime
		k.rights = t.Expiry
	} else {
		t.Version = k.version
	}
	k.sealer.Seal(k.sealed[:], t, caller)
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
	if deadline(r) <= 0 {
		return verdict.ReasonDeadline
	}
	if passing(k.Limiter(r.Upstream).Refusal(now)) && k.await(now, r) {
		return verdict.ReasonNone
	}
	return k.begin(now, r)
}

// nextForwarded returns a message id for a message to an upstream.
func (k *Keeper) nextForwarded(id uint32) uint16 {
	n, ok := k.messages[id]
	if !ok {
		n = k.message
	}
	n++
	k.messages[id] = n
	return n
}

// nextMessage returns a message id for a message of the keeper's own to a
// caller.
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
	e := k.exchanges.entry(place)
	e.kind = r.Header.Kind
	e.confirmable = r.Header.Confirmable
	e.message = r.Header.Message
	e.forwarded = k.nextForwarded(r.Upstream.ID)
	e.service = r.Service.ID
	e.upstream = r.Upstream.ID
	e.sent = now.Sub(k.start)
	e.expires = e.sent + lifetime
	if e.kind == packet.KindWatchOpen {
		k.setLease(now, place, e.expires)
	} else {
		k.timers.Subscribe(now.Add(lifetime), k, k.exchanges.timerKey(place))
	}
	return place, e
}

// refuseExchange answers the caller of e without an upstream.
func (k *Keeper) refuseExchange(e *exchange, v verdict.Verdict, reason verdict.Reason) {
	k.outlet.Refuse(e.header(0), newRefusal(v, reason, 0))
}

// supersede ends an exchange whose caller reuses the token. A non-idempotent
// request goes on, since the reuse may be a delayed duplicate; its answer waits
// for a retransmission.
func (k *Keeper) supersede(now time.Time, place uint32, e *exchange) {
	if e.kind == packet.KindOnce {
		k.exchanges.detach(place)
		return
	}
	k.cancel(place, e)
	if e.kind == packet.KindWatchOpen {
		k.endWatch(now, place, e)
		return
	}
	k.endRequest(now, place, e, upstream.ResultCancelled)
}
