// Package keeper manages the work of the upstreams that one balancer is
// responsible for: it is their keeper. It limits requests and watches to what
// each upstream can handle, executes non-idempotent requests at most once, and
// tracks watches, which are long-lived flows of notifications to a caller.
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
	// ExecutionTicketLifetime is how long a ticket permits starting a
	// non-idempotent request.
	ExecutionTicketLifetime = 10 * time.Second
	// AnswerRetention is how long answers to non-idempotent requests are kept
	// after their ticket has expired: the longest time between the first
	// transmission of a message and the arrival of its last retransmission (RFC
	// 7252, MAX_TRANSMIT_SPAN and MAX_LATENCY). It exceeds config.MaxDeadline,
	// so that an execution ends before its ledger entry is removed.
	AnswerRetention = 145 * time.Second
	// WatchLeaseIntervals is the lease of a watch after a refresh, in refresh
	// intervals.
	WatchLeaseIntervals = 3
	// RetryAfter is the retry hint of a refusal.
	RetryAfter = time.Second
)

// A Request is a caller's datagram as given to the keeper of its upstream.
type Request struct {
	Header *packet.Header
	// Ticket is nil if the caller sent none.
	Ticket  *ticket.Ticket
	Service *config.Service
	// Upstream is nil only for a non-idempotent request whose ticket names an
	// upstream that takes no new work.
	Upstream *config.Upstream
	Datagram []byte
	// PriorAttempts names the upstreams that already refused the request.
	PriorAttempts PriorAttempts
	// Elapsed is the part of the deadline that has passed.
	Elapsed time.Duration
}

// Limits bound a keeper's memory.
type Limits struct {
	// Exchanges is the maximum number of open watches and requests in flight.
	Exchanges int
	// LedgerEntries is the maximum number of ledger entries.
	LedgerEntries int
}

// An Option configures a keeper.
type Option func(*Keeper)

// WithReleaser makes a keeper send a release to the former keeper of each watch
// that it takes over.
func WithReleaser(r Releaser) Option {
	return func(k *Keeper) { k.releaser = r }
}

// WithStartupGrace makes a keeper issue no tickets that permit an execution for
// a grace period after its start, because other balancers must first learn of
// the incarnation that the tickets name.
func WithStartupGrace(d time.Duration) Option {
	return func(k *Keeper) { k.startupGrace = d }
}

// A Keeper admits, forwards and tracks the work of the upstreams that one
// balancer is responsible for. It is not safe for concurrent use.
type Keeper struct {
	incarnation uint64
	start       time.Time
	sealer      Sealer
	transport   Transport
	timers      *timer.Queue
	exchanges   *exchangeTable
	ledger      *ledger
	retryBuffer *retryBuffer
	retrier     Retrier
	limiters    map[uint32]*upstream.Limiter
	queues      map[uint32]*queue
	// notKept are the upstreams with a limiter here that another balancer
	// keeps.
	notKept map[uint32]bool
	// registrations are the requests that opened the watches.
	registrations *registrations
	// leases hold the watches by the end of their leases; leaseTimerArmed is
	// set while the lease timer is subscribed.
	leases          *timer.Wheel
	leaseTimerArmed bool
	// sweeps are the sweeps in progress.
	sweeps   []sweep
	releaser Releaser
	// pendingReleases are the serials to be released, by the incarnation of
	// their former keeper.
	pendingReleases map[uint64][]uint64
	// epoch is part of the serials of watches and changes with each one, so
	// that a reused table entry gets another serial.
	epoch   uint16
	leaving bool
	// startupGrace is the time after start in which no ticket permits an
	// execution.
	startupGrace time.Duration
	// lastTicketExpiry is when the last ticket that permits an execution
	// expires, counted from start.
	lastTicketExpiry time.Duration
	// version is the version of config, the configuration in force or nil.
	version uint32
	config  *config.Snapshot
	// lastCallerMessageID is the last message id sent to callers,
	// lastUpstreamMessageIDs the last one sent to each upstream. They start at
	// random values, since receivers take a repeated id for a duplicate (RFC
	// 7252, section 4.5) and callers receive messages from several keepers.
	lastCallerMessageID    uint16
	lastUpstreamMessageIDs map[uint32]uint16
	ticketBuffer           [ticket.Size]byte
	// forwardScratch and deliveryScratch are reused for the arguments of
	// transport.
	forwardScratch  Forward
	deliveryScratch Delivery
}

// New returns a keeper for a process that started at start. incarnation is the
// random identity of that process.
func New(start time.Time, incarnation uint64, limits Limits, timers *timer.Queue, sealer Sealer, transport Transport, retrier Retrier, options ...Option) *Keeper {
	k := &Keeper{
		incarnation:            incarnation,
		start:                  start,
		sealer:                 sealer,
		transport:              transport,
		timers:                 timers,
		exchanges:              newExchangeTable(limits.Exchanges, incarnation),
		ledger:                 newLedger(limits.LedgerEntries, AnswerRetention),
		retryBuffer:            newRetryBuffer(),
		retrier:                retrier,
		limiters:               make(map[uint32]*upstream.Limiter),
		queues:                 make(map[uint32]*queue),
		notKept:                make(map[uint32]bool),
		lastCallerMessageID:    uint16(incarnation),
		lastUpstreamMessageIDs: make(map[uint32]uint16),
	}
	k.registrations = newRegistrations()
	k.pendingReleases = make(map[uint64][]uint64)
	k.leases = timer.NewWheel(k.exchanges, leaseTick, leaseSlots)
	for _, o := range options {
		o(k)
	}
	return k
}

// HandleUpstreamMessage processes an upstream's message and reports whether it
// belongs to an open exchange or to an execution in the ledger.
func (k *Keeper) HandleUpstreamMessage(now time.Time, from uint32, m *UpstreamMessage, datagram []byte) bool {
	index, e := k.exchanges.byToken(m.Token)
	if e == nil {
		return k.handleLateAnswer(from, m, datagram)
	}
	if e.upstream != from {
		return false
	}
	switch e.kind {
	case packet.KindWatchOpen:
		k.handleWatchMessage(now, index, e, m, datagram)
	case packet.KindIdempotent:
		if m.Shed {
			k.handleShed(now, index, e, datagram)
			return true
		}
		k.retrier.RecordSuccess(now, e.service)
		k.deliver(now, e, datagram)
		k.endRequest(now, index, e, upstream.ResultAnswered)
	case packet.KindOnce:
		k.handleOnceAnswer(now, index, e, m, datagram)
	default:
		return false
	}
	return true
}

// Configure applies a new configuration. Exchanges end at upstreams that were
// removed, moved to another service or lie in a zone that was taken out.
func (k *Keeper) Configure(now time.Time, c *config.Snapshot) {
	goneUpstreams := k.goneUpstreams(k.config, c)
	k.config = c
	k.flushUnusable(c, goneUpstreams)
	k.version = uint32(c.Version)
	for id, limiter := range k.limiters {
		if p := c.Upstream(id); p.Upstream != nil {
			limiter.Configure(p.Upstream)
		}
	}
	k.closeExchangesAt(now, goneUpstreams)
}

// Exchanges returns the number of open watches and requests in flight.
func (k *Keeper) Exchanges() int {
	return k.exchanges.len()
}

// Expire ends the request whose timer is due; key is its
// exchangeTable.timerKey.
func (k *Keeper) Expire(now time.Time, key uint64) {
	index := uint32(key)
	e := k.exchanges.get(index, uint32(key>>32))
	if e == nil {
		return
	}
	if left := e.expires - now.Sub(k.start); left > 0 {
		k.timers.Subscribe(now.Add(left), k, key)
		return
	}
	switch e.kind {
	case packet.KindOnce:
		k.handleOnceTimeout(now, index, e)
	default:
		k.cancel(index, e)
		k.endRequest(now, index, e, upstream.ResultTimeout)
	}
}

// Request processes a caller's datagram. The result is ReasonNone if the keeper
// has handled it. Otherwise the keeper did nothing, the request has not run,
// and it may be offered to another upstream.
func (k *Keeper) Request(now time.Time, r *Request) verdict.Reason {
	switch r.Header.Kind {
	case packet.KindWatchOpen:
		return k.openWatch(now, r)
	case packet.KindWatchClose:
		k.closeWatch(now, r)
		return verdict.ReasonNone
	case packet.KindIdempotent:
		return k.handleIdempotent(now, r)
	case packet.KindOnce:
		return k.handleOnce(now, r)
	default:
		return verdict.ReasonMalformed
	}
}

// sendIdempotent sends an idempotent request if its upstream has a slot.
func (k *Keeper) sendIdempotent(now time.Time, r *Request) verdict.Reason {
	if reason := k.Limiter(r.Upstream).AdmitRequest(now); reason != verdict.ReasonNone {
		return reason
	}
	index, e := k.openExchange(now, keyOf(r.Header.Caller, r.Header.Token), r, deadline(r))
	if e == nil {
		k.Limiter(r.Upstream).EndRequest(now, upstream.ResultCancelled, 0)
		return verdict.ReasonLedgerFull
	}
	k.retryBuffer.add(index, r)
	k.forward(now, index, e, r)
	return verdict.ReasonNone
}

// cancel ends an exchange at its upstream, unless nothing may be sent there.
func (k *Keeper) cancel(index uint32, e *exchange) {
	if e.upstreamGone {
		return
	}
	k.transport.Cancel(&Cancel{
		Upstream:  e.upstream,
		Kind:      e.kind,
		Token:     k.exchanges.token(index),
		MessageID: e.forwardedID,
	})
}

// deadline returns the remaining time of a request.
func deadline(r *Request) time.Duration {
	d := time.Duration(r.Service.Deadline)
	if r.Header.Deadline > 0 {
		d = min(d, r.Header.Deadline)
	}
	return d - r.Elapsed
}

// deliver passes an upstream's answer on to the caller of e.
func (k *Keeper) deliver(now time.Time, e *exchange, datagram []byte) {
	k.transport.Deliver(&Delivery{
		Service:     e.service,
		Caller:      e.key.caller(),
		Token:       e.key.token,
		MessageID:   e.messageID,
		Acknowledge: e.confirmable,
		Ticket:      k.issueTicket(now, e.service, e.upstream, e.key.caller().Addr()),
	}, datagram)
}

func (k *Keeper) endRequest(now time.Time, index uint32, e *exchange, result upstream.Result) {
	latency := now.Sub(k.start) - e.sent
	k.limiters[e.upstream].EndRequest(now, result, latency)
	k.retryBuffer.drop(index)
	id := e.upstream
	k.exchanges.remove(index)
	k.dequeue(now, id)
}

// forward sends r to its upstream as the exchange at index.
func (k *Keeper) forward(now time.Time, index uint32, e *exchange, r *Request) {
	k.forwardScratch = Forward{
		Upstream:    e.upstream,
		Token:       k.exchanges.token(index),
		MessageID:   e.forwardedID,
		Confirmable: e.kind != packet.KindOnce,
		Deadline:    e.expires - now.Sub(k.start),
	}
	k.transport.Forward(&k.forwardScratch, r.Datagram)
}

// issueTicket returns a sealed ticket that permits one execution. While the
// keeper grants no executions, the ticket only identifies the flow. The result
// is valid until the next call.
func (k *Keeper) issueTicket(now time.Time, service, id uint32, caller netip.Addr) []byte {
	t := ticket.Ticket{
		Service:     service,
		Upstream:    id,
		Incarnation: k.incarnation,
		Serial:      k.ledger.issueSerial(),
	}
	if k.grantsExecutions(now) {
		t.Expiry = now.Sub(k.start) + ExecutionTicketLifetime
		k.lastTicketExpiry = t.Expiry
	} else {
		t.Version = k.version
	}
	k.sealer.Seal(k.ticketBuffer[:], t, caller)
	return k.ticketBuffer[:]
}

// handleIdempotent sends or queues a request that may run repeatedly.
func (k *Keeper) handleIdempotent(now time.Time, r *Request) verdict.Reason {
	key := keyOf(r.Header.Caller, r.Header.Token)
	if index, e := k.exchanges.find(key); e != nil {
		if e.kind == packet.KindIdempotent && e.messageID == r.Header.MessageID {
			k.forward(now, index, e, r)
			return verdict.ReasonNone
		}
		k.supersede(now, index, e)
	}
	if deadline(r) <= 0 {
		return verdict.ReasonDeadline
	}
	if isTransient(k.Limiter(r.Upstream).Refusal(now)) && k.enqueue(now, r) {
		return verdict.ReasonNone
	}
	return k.sendIdempotent(now, r)
}

// nextUpstreamMessageID returns a message id for a message to an upstream.
func (k *Keeper) nextUpstreamMessageID(id uint32) uint16 {
	n, ok := k.lastUpstreamMessageIDs[id]
	if !ok {
		n = k.lastCallerMessageID
	}
	n++
	k.lastUpstreamMessageIDs[id] = n
	return n
}

// nextCallerMessageID returns a message id for one of the keeper's own messages
// to a caller.
func (k *Keeper) nextCallerMessageID() uint16 {
	k.lastCallerMessageID++
	return k.lastCallerMessageID
}

// openExchange adds an exchange that expires after a timeout; the exchange is
// nil if there is no room.
func (k *Keeper) openExchange(now time.Time, key exchangeKey, r *Request, timeout time.Duration) (uint32, *exchange) {
	index, ok := k.exchanges.add(key)
	if !ok {
		return 0, nil
	}
	e := k.exchanges.entry(index)
	e.kind = r.Header.Kind
	e.confirmable = r.Header.Confirmable
	e.messageID = r.Header.MessageID
	e.forwardedID = k.nextUpstreamMessageID(r.Upstream.ID)
	e.service = r.Service.ID
	e.upstream = r.Upstream.ID
	e.sent = now.Sub(k.start)
	e.expires = e.sent + timeout
	if e.kind == packet.KindWatchOpen {
		k.setLease(now, index, e.expires)
	} else {
		k.timers.Subscribe(now.Add(timeout), k, k.exchanges.timerKey(index))
	}
	return index, e
}

// refuseExchange refuses the request of e towards its caller.
func (k *Keeper) refuseExchange(e *exchange, v verdict.Verdict, reason verdict.Reason) {
	k.transport.Refuse(e.header(0), newRefusal(v, reason, 0))
}

// supersede ends an exchange whose caller reuses the token. A non-idempotent
// request continues, since the reuse may be a delayed duplicate; its answer is
// kept for a retransmission.
func (k *Keeper) supersede(now time.Time, index uint32, e *exchange) {
	if e.kind == packet.KindOnce {
		k.exchanges.detach(index)
		return
	}
	k.cancel(index, e)
	if e.kind == packet.KindWatchOpen {
		k.endWatch(now, index, e)
		return
	}
	k.endRequest(now, index, e, upstream.ResultCancelled)
}
