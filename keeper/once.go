package keeper

import (
	"time"

	"filbertworks.example/filbertworks/upstream"
	"filbertworks.example/filbertworks/verdict"
)

// handleOnce executes a non-idempotent request at most once. A request without
// a ticket is not executed but answered with a ticket.
func (k *Keeper) handleOnce(now time.Time, r *Request) verdict.Reason {
	if r.Ticket == nil {
		return k.offerTicket(now, r)
	}
	if r.Ticket.Incarnation != k.incarnation {
		k.refuse(r, verdict.MayHaveRun, verdict.ReasonKeeperGone)
		return verdict.ReasonNone
	}
	serial := r.Ticket.Serial
	if n := k.ledger.entries[serial]; n != nil {
		k.answerRetransmission(now, r, n)
		return verdict.ReasonNone
	}
	if err := k.ledger.checkSerial(serial, r.Ticket.Expiry, now.Sub(k.start)); err != nil {
		k.refuseWithTicket(now, r, err)
		return verdict.ReasonNone
	}
	if k.ledger.barIfFull() {
		k.refuse(r, verdict.NotRun, verdict.ReasonLedgerFull)
		return verdict.ReasonNone
	}
	k.execute(now, r)
	return verdict.ReasonNone
}

// refuseSerial refuses a request permanently: its serial never begins. The
// refusal is recorded until the ticket expires; from then on the expiry bars
// the serial.
func (k *Keeper) refuseSerial(r *Request, reason verdict.Reason) {
	k.timers.Subscribe(k.start.Add(r.Ticket.Expiry), (*ledgerTimer)(k), r.Ticket.Serial)
	k.ledger.recordRefusal(r.Ticket.Serial, r.Header.Digest, reason)
	k.refuse(r, verdict.NotRun, reason)
}

// execute sends a request whose serial has not begun, or refuses the serial.
func (k *Keeper) execute(now time.Time, r *Request) {
	serial := r.Ticket.Serial
	if r.Upstream == nil {
		k.refuseSerial(r, verdict.ReasonNoUpstream)
		return
	}
	if reason := k.Limiter(r.Upstream).AdmitRequest(now); reason != verdict.ReasonNone {
		k.refuseSerial(r, reason)
		return
	}
	key := keyOf(r.Header.Caller, r.Header.Token)
	if index, e := k.exchanges.find(key); e != nil {
		k.supersede(now, index, e)
	}
	index, e := k.openExchange(now, key, r, deadline(r))
	if e == nil {
		k.Limiter(r.Upstream).EndRequest(now, upstream.ResultCancelled, 0)
		k.refuseSerial(r, verdict.ReasonLedgerFull)
		return
	}
	e.serial = serial
	retainedUntil := r.Ticket.Expiry + k.ledger.retention
	k.timers.Subscribe(k.start.Add(retainedUntil), (*ledgerTimer)(k), serial)
	k.ledger.begin(serial, r.Header.Digest, r.Upstream.ID, k.exchanges.token(index))
	k.forward(now, index, e, r)
}

// offerTicket answers a request without a ticket with one, if the upstream
// could accept the request now.
func (k *Keeper) offerTicket(now time.Time, r *Request) verdict.Reason {
	if !k.grantsExecutions(now) {
		return verdict.ReasonUnsettled
	}
	if reason := k.Limiter(r.Upstream).Refusal(now); reason != verdict.ReasonNone {
		return reason
	}
	f := newRefusal(verdict.NotRun, verdict.ReasonTicketNeeded, 0)
	f.Ticket = k.issueTicket(now, r.Service.ID, r.Upstream.ID, r.Header.Caller.Addr())
	k.transport.Refuse(r.Header, f)
	return verdict.ReasonNone
}

// handleOnceAnswer records the answer to an execution and delivers it.
func (k *Keeper) handleOnceAnswer(now time.Time, index uint32, e *exchange, m *UpstreamMessage, datagram []byte) {
	k.ledger.entries[e.serial].recordAnswer(datagram)
	if !m.Shed {
		k.retrier.RecordSuccess(now, e.service)
	}
	if !e.detached {
		k.deliver(now, e, datagram)
	}
	k.endRequest(now, index, e, m.result())
}

// handleOnceTimeout ends an execution at its deadline; a later answer is still
// recorded.
func (k *Keeper) handleOnceTimeout(now time.Time, index uint32, e *exchange) {
	k.ledger.entries[e.serial].state = entryUnknown
	if !e.detached {
		k.refuseExchange(e, verdict.MayHaveRun, verdict.ReasonTimeout)
	}
	if !e.upstreamGone {
		k.cancel(index, e)
	}
	k.endRequest(now, index, e, upstream.ResultTimeout)
}

func (k *Keeper) refuse(r *Request, v verdict.Verdict, reason verdict.Reason) {
	k.transport.Refuse(r.Header, newRefusal(v, reason, RetryAfter))
}

// handleLateAnswer stores an answer that arrived after its execution's
// deadline, or repeatedly, for the caller's next retransmission.
func (k *Keeper) handleLateAnswer(from uint32, m *UpstreamMessage, datagram []byte) bool {
	n := k.ledger.findExecution(from, m.Token)
	if n == nil {
		return false
	}
	n.recordAnswer(datagram)
	return true
}

// refuseWithTicket refuses a request with err. If the request has not run, the
// refusal carries a new ticket for sending it again.
func (k *Keeper) refuseWithTicket(now time.Time, r *Request, err *verdict.Error) {
	f := &Refusal{Error: *err}
	if err.Verdict == verdict.NotRun {
		f.Ticket = k.issueTicket(now, r.Service.ID, r.Ticket.Upstream, r.Header.Caller.Addr())
	}
	k.transport.Refuse(r.Header, f)
}

// answerRetransmission answers a retransmitted request from its ledger entry n.
func (k *Keeper) answerRetransmission(now time.Time, r *Request, n *entry) {
	if n.digest != r.Header.Digest {
		k.refuseWithTicket(now, r, &verdict.Error{
			Verdict: verdict.NotRun,
			Reason:  verdict.ReasonTicketUsed,
		})
		return
	}
	switch n.state {
	case entryAnswered:
		k.transport.Deliver(&Delivery{
			Service:     r.Service.ID,
			Caller:      r.Header.Caller,
			Token:       r.Header.Token,
			MessageID:   r.Header.MessageID,
			Acknowledge: r.Header.Confirmable,
			Ticket:      k.issueTicket(now, r.Service.ID, r.Ticket.Upstream, r.Header.Caller.Addr()),
		}, n.answer)
	case entryRefused:
		k.refuse(r, verdict.NotRun, n.reason)
	case entryUnknown:
		k.refuse(r, verdict.MayHaveRun, verdict.ReasonTimeout)
	case entrySent:
		k.redirectAnswer(now, r, n)
	}
}

// redirectAnswer directs the answer to a request in progress to its latest
// retransmission, which may come from another port or under another token.
func (k *Keeper) redirectAnswer(now time.Time, r *Request, n *entry) {
	index, e := k.exchanges.byToken(n.token)
	if e == nil {
		return
	}
	e.messageID = r.Header.MessageID
	e.confirmable = r.Header.Confirmable
	key := keyOf(r.Header.Caller, r.Header.Token)
	if e.key == key && !e.detached {
		return
	}
	if other, o := k.exchanges.find(key); o != nil {
		k.supersede(now, other, o)
	}
	k.exchanges.attach(index, key)
}

// ledgerTimer is the timer handler that removes ledger entries whose retention
// has ended.
type ledgerTimer Keeper

// Expire removes the entry of a serial.
func (l *ledgerTimer) Expire(_ time.Time, serial uint64) {
	l.ledger.remove(serial)
}
