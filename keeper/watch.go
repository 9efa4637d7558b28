package keeper

import (
	"time"

	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ticket"
	"filbertworks.example/filbertworks/verdict"
)

// openWatch opens a watch at its upstream or refreshes it there.
func (k *Keeper) openWatch(now time.Time, r *Request) verdict.Reason {
	key := keyOf(r.Header.Caller, r.Header.Token)
	place, e := k.exchanges.find(key)
	if e != nil && (e.kind != packet.KindWatchOpen || e.upstream != r.Upstream.ID) {
		k.supersede(now, place, e)
		e = nil
	}
	if e == nil {
		place, e = k.moveWatch(r, &key)
	}
	if e != nil {
		k.refreshWatch(now, place, e, r)
		return verdict.ReasonNone
	}
	if !r.reopens() {
		if reason := k.Limiter(r.Upstream).AdmitWatch(now); reason != verdict.ReasonNone {
			return reason
		}
		return k.addWatch(now, key, r)
	}
	reason := k.Limiter(r.Upstream).ReadmitWatch(now)
	if reason == verdict.ReasonNone {
		reason = k.addWatch(now, key, r)
	}
	if reason != verdict.ReasonNone {
		// The flow belongs here: it is not offered to another upstream.
		k.refuse(r, verdict.NotRun, reason)
	}
	return verdict.ReasonNone
}

// reopens reports whether r is from a flow that the upstream has already.
func (r *Request) reopens() bool {
	return r.Ticket != nil && r.Ticket.Upstream == r.Upstream.ID
}

// addWatch opens a watch that the gate has admitted.
func (k *Keeper) addWatch(now time.Time, key exchangeKey, r *Request) verdict.Reason {
	place, e := k.open(now, key, r, leaseOf(r))
	if e == nil {
		k.Limiter(r.Upstream).EndWatch(now)
		return verdict.ReasonLedgerFull
	}
	e.registration = k.registrations.hold(r.Header, r.Datagram)
	k.nextSerial(place, e)
	k.takeOver(e, r)
	k.forward(now, place, e, r)
	if r.Ticket != nil && !r.reopens() {
		k.releaseTicket(now, r)
	}
	return verdict.ReasonNone
}

// takeOver notes the former keeper of a watch where r's ticket names one.
func (k *Keeper) takeOver(e *exchange, r *Request) {
	if t := r.Ticket; r.reopens() && !t.IsExecution() && t.Incarnation != k.incarnation {
		e.former = t.Incarnation
		e.serial = t.Serial
		e.stamp = ticket.Fingerprint{}
	}
}

// moveWatch returns the watch that r's ticket names, which it moves to r's
// port, or nil. A caller whose path has gone silent comes back from a fresh
// port.
func (k *Keeper) moveWatch(r *Request, key *exchangeKey) (uint32, *exchange) {
	t := r.Ticket
	if t == nil || t.IsExecution() || t.Incarnation != k.incarnation {
		return 0, nil
	}
	place, e := k.watchOf(t.Serial)
	if e == nil || e.upstream != r.Upstream.ID || !e.key.sameHost(key) {
		return 0, nil
	}
	k.exchanges.attach(place, *key)
	return place, e
}

// refreshWatch extends a watch and registers it again, so that the upstream's
// answer proves the whole path.
func (k *Keeper) refreshWatch(now time.Time, place uint32, e *exchange, r *Request) {
	if e.message != r.Header.Message || e.repaired {
		e.forwarded = k.nextForwarded(e.upstream)
	}
	e.message = r.Header.Message
	e.confirmable = r.Header.Confirmable
	e.repaired = false
	k.takeOver(e, r)
	e.expires = now.Sub(k.start) + leaseOf(r)
	k.forward(now, place, e, r)
}

// closeWatch ends a watch and confirms it to the caller.
func (k *Keeper) closeWatch(now time.Time, r *Request) {
	key := keyOf(r.Header.Caller, r.Header.Token)
	place, e := k.exchanges.find(key)
	if e != nil && e.kind == packet.KindWatchOpen {
		k.cancel(place, e)
		k.endWatch(now, place, e)
	}
	if r.Ticket != nil {
		k.releaseTicket(now, r)
	}
	k.outlet.Refuse(r.Header, &Refusal{
		Error: verdict.Error{Verdict: verdict.Answered},
	})
}

// watchAnswer passes a registration's answer or a notification on.
func (k *Keeper) watchAnswer(now time.Time, place uint32, e *exchange, a *UpstreamMessage, datagram []byte) {
	if a.Acknowledged && a.Shed && e.former != 0 {
		// The upstream may be full with the former keeper's registration: the
		// caller's retransmission finds the room that its end makes.
		k.releaseFormer(now, place, e)
		return
	}
	if a.Acknowledged && a.Observed {
		k.releaseFormer(now, place, e)
		e.settled = true
	}
	if a.Acknowledged && !e.repaired {
		k.deliverWatch(e, datagram)
	} else {
		k.notify(e, datagram)
	}
	e.repaired = e.repaired && !a.Acknowledged
	if !a.Observed {
		if !a.Acknowledged {
			k.gates[e.upstream].WatchReset(now)
		}
		k.endWatch(now, place, e)
	}
}

// deliverWatch passes the answer to a registration on, with a ticket that names
// the flow and gives no right to an execution.
func (k *Keeper) deliverWatch(e *exchange, datagram []byte) {
	caller := e.key.caller()
	k.sealer.Seal(k.sealed[:], ticket.Ticket{
		Service:     e.service,
		Upstream:    e.upstream,
		Incarnation: k.incarnation,
		Serial:      e.serial,
		Version:     k.version,
	}, caller.Addr())
	d := &k.delivery
	*d = Delivery{
		Service:     e.service,
		Caller:      caller,
		Token:       e.key.token,
		Message:     e.message,
		Acknowledge: e.confirmable,
		Ticket:      k.sealed[:],
	}
	if e.former != 0 {
		// The caller's ticket still names the keeper that is to be released.
		d.Ticket = nil
	} else {
		e.stamp = ticket.FingerprintOf(k.sealed[:])
	}
	k.outlet.Deliver(d, datagram)
}

// notify passes a notification on.
func (k *Keeper) notify(e *exchange, datagram []byte) {
	k.delivery = Delivery{
		Service: e.service,
		Caller:  e.key.caller(),
		Token:   e.key.token,
		Message: k.nextMessage(),
	}
	k.outlet.Deliver(&k.delivery, datagram)
}

func (k *Keeper) endWatch(now time.Time, place uint32, e *exchange) {
	k.gates[e.upstream].EndWatch(now)
	k.registrations.drop(e.registration)
	k.leases.Clear(place)
	k.exchanges.remove(place)
}

// leaseOf returns how long a watch outlives its refresh r.
func leaseOf(r *Request) time.Duration {
	return WatchLeaseIntervals * time.Duration(r.Service.Refresh)
}
