package keeper

import (
	"time"

	"filbertworks.example/filbertworks/upstream"
	"filbertworks.example/filbertworks/verdict"
)

// once executes a non-idempotent request at most once. Without a ticket it only
// grants one.
func (k *Keeper) once(now time.Time, r *Request) verdict.Reason {
	if r.Ticket == nil {
		return k.grantOnce(now, r)
	}
	if r.Ticket.Incarnation != k.incarnation {
		k.refuse(r, verdict.MayHaveRun, verdict.ReasonKeeperGone)
		return verdict.ReasonNone
	}
	serial := r.Ticket.Serial
	if n := k.ledger.entries[serial]; n != nil {
		k.repeat(now, r, n)
		return verdict.ReasonNone
	}
	if err := k.ledger.judge(serial, r.Ticket.Expiry, now.Sub(k.start)); err != nil {
		k.refuseWith(now, r, err)
		return verdict.ReasonNone
	}
	if k.ledger.full() {
		k.refuse(r, verdict.NotRun, verdict.ReasonLedgerFull)
		return verdict.ReasonNone
	}
	k.execute(now, r)
	return verdict.ReasonNone
}

// bar refuses a request for good: its serial never begins. The record is needed
// until the ticket expires, which bars the serial as well.
func (k *Keeper) bar(r *Request, reason verdict.Reason) {
	k.timers.Subscribe(k.start.Add(r.Ticket.Expiry), (*ledgerExpiry)(k), r.Ticket.Serial)
	k.ledger.refuse(r.Ticket.Serial, r.Header.Digest, reason)
	k.refuse(r, verdict.NotRun, reason)
}

// execute sends a request whose serial has not begun, or bars the serial.
func (k *Keeper) execute(now time.Time, r *Request) {
	serial := r.Ticket.Serial
	if r.Upstream == nil {
		k.bar(r, verdict.ReasonNoUpstream)
		return
	}
	if reason := k.Limiter(r.Upstream).AdmitRequest(now); reason != verdict.ReasonNone {
		k.bar(r, reason)
		return
	}
	key := keyOf(r.Header.Caller, r.Header.Token)
	if place, e := k.exchanges.find(key); e != nil {
		k.supersede(now, place, e)
	}
	place, e := k.open(now, key, r, deadline(r))
	if e == nil {
		k.Limiter(r.Upstream).EndRequest(now, upstream.ResultCancelled, 0)
		k.bar(r, verdict.ReasonLedgerFull)
		return
	}
	e.serial = serial
	retained := r.Ticket.Expiry + k.ledger.retention
	k.timers.Subscribe(k.start.Add(retained), (*ledgerExpiry)(k), serial)
	k.ledger.begin(serial, r.Header.Digest, r.Upstream.ID, k.exchanges.token(place))
	k.forward(now, place, e, r)
}

// grantOnce answers a request without a ticket with one, if the upstream could
// take the request now.
func (k *Keeper) grantOnce(now time.Time, r *Request) verdict.Reason {
	if !k.grants(now) {
		return verdict.ReasonUnsettled
	}
	if reason := k.Limiter(r.Upstream).Refusal(now); reason != verdict.ReasonNone {
		return reason
	}
	f := newRefusal(verdict.NotRun, verdict.ReasonTicketNeeded, 0)
	f.Ticket = k.grant(now, r.Service.ID, r.Upstream.ID, r.Header.Caller.Addr())
	k.outlet.Refuse(r.Header, f)
	return verdict.ReasonNone
}

// onceAnswer settles an execution.
func (k *Keeper) onceAnswer(now time.Time, place uint32, e *exchange, a *UpstreamMessage, datagram []byte) {
	k.ledger.entries[e.serial].settle(datagram)
	if !a.Shed {
		k.retrier.RecordSuccess(now, e.service)
	}
	if !e.detached {
		k.deliver(now, e, datagram)
	}
	k.endRequest(now, place, e, a.result())
}

// onceTimeout ends an execution at its deadline; its answer may still come.
func (k *Keeper) onceTimeout(now time.Time, place uint32, e *exchange) {
	k.ledger.entries[e.serial].state = entryUnknown
	if !e.detached {
		k.refuseExchange(e, verdict.MayHaveRun, verdict.ReasonTimeout)
	}
	if !e.closed {
		k.cancel(place, e)
	}
	k.endRequest(now, place, e, upstream.ResultTimeout)
}

func (k *Keeper) refuse(r *Request, v verdict.Verdict, reason verdict.Reason) {
	k.outlet.Refuse(r.Header, newRefusal(v, reason, RetryAfter))
}

// lateAnswer keeps an answer that came after its execution's deadline, or again,
// for the caller's next retransmission.
func (k *Keeper) lateAnswer(from uint32, a *UpstreamMessage, datagram []byte) bool {
	n := k.ledger.executed(from, a.Token)
	if n == nil {
		return false
	}
	n.settle(datagram)
	return true
}

// refuseWith answers with err and, where the request has not run, a ticket to
// send it again with.
func (k *Keeper) refuseWith(now time.Time, r *Request, err *verdict.Error) {
	f := &Refusal{Error: *err}
	if err.Verdict == verdict.NotRun {
		f.Ticket = k.grant(now, r.Service.ID, r.Ticket.Upstream, r.Header.Caller.Addr())
	}
	k.outlet.Refuse(r.Header, f)
}

// repeat answers a retransmission of a request whose serial is recorded.
func (k *Keeper) repeat(now time.Time, r *Request, n *entry) {
	if n.digest != r.Header.Digest {
		k.refuseWith(now, r, &verdict.Error{
			Verdict: verdict.NotRun,
			Reason:  verdict.ReasonTicketUsed,
		})
		return
	}
	switch n.state {
	case entryAnswered:
		k.outlet.Deliver(&Delivery{
			Service:     r.Service.ID,
			Caller:      r.Header.Caller,
			Token:       r.Header.Token,
			Message:     r.Header.Message,
			Acknowledge: r.Header.Confirmable,
			Ticket:      k.grant(now, r.Service.ID, r.Ticket.Upstream, r.Header.Caller.Addr()),
		}, n.answer)
	case entryRefused:
		k.refuse(r, verdict.NotRun, n.reason)
	case entryUnknown:
		k.refuse(r, verdict.MayHaveRun, verdict.ReasonTimeout)
	case entrySent:
		k.follow(now, r, n)
	}
}

// follow makes the answer to a request in progress go to its latest
// retransmission, which may come from another port or under another token.
func (k *Keeper) follow(now time.Time, r *Request, n *entry) {
	place, e := k.exchanges.at(n.token)
	if e == nil {
		return
	}
	e.message = r.Header.Message
	e.confirmable = r.Header.Confirmable
	key := keyOf(r.Header.Caller, r.Header.Token)
	if e.key == key && !e.detached {
		return
	}
	if other, o := k.exchanges.find(key); o != nil {
		k.supersede(now, other, o)
	}
	k.exchanges.attach(place, key)
}

// ledgerExpiry drops ledger entries whose retention is over.
type ledgerExpiry Keeper

// Expire drops the entry of a serial.
func (l *ledgerExpiry) Expire(_ time.Time, serial uint64) {
	l.ledger.forget(serial)
}
