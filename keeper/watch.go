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
	index, e := k.exchanges.find(key)
	if e != nil && (e.kind != packet.KindWatchOpen || e.upstream != r.Upstream.ID) {
		k.supersede(now, index, e)
		e = nil
	}
	if e == nil {
		index, e = k.moveWatch(r, &key)
	}
	if e != nil {
		k.refreshWatch(now, index, e, r)
		return verdict.ReasonNone
	}
	if !r.isReopen() {
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
		// The upstream already has this flow: it is not offered to another one.
		k.refuse(r, verdict.NotRun, reason)
	}
	return verdict.ReasonNone
}

// isReopen reports whether r belongs to a flow that its upstream already has.
func (r *Request) isReopen() bool {
	return r.Ticket != nil && r.Ticket.Upstream == r.Upstream.ID
}

// addWatch opens a watch that the limiter has admitted.
func (k *Keeper) addWatch(now time.Time, key exchangeKey, r *Request) verdict.Reason {
	index, e := k.openExchange(now, key, r, leaseDuration(r))
	if e == nil {
		k.Limiter(r.Upstream).EndWatch(now)
		return verdict.ReasonLedgerFull
	}
	e.registrationRef = k.registrations.acquire(r.Header, r.Datagram)
	k.assignSerial(index, e)
	k.noteFormerKeeper(e, r)
	k.forward(now, index, e, r)
	if r.Ticket != nil && !r.isReopen() {
		k.releaseTicketWatch(now, r)
	}
	return verdict.ReasonNone
}

// noteFormerKeeper records the former keeper of a watch if r's ticket names
// one.
func (k *Keeper) noteFormerKeeper(e *exchange, r *Request) {
	if t := r.Ticket; r.isReopen() && !t.IsExecution() && t.Incarnation != k.incarnation {
		e.formerKeeper = t.Incarnation
		e.serial = t.Serial
		e.fingerprint = ticket.Fingerprint{}
	}
}

// moveWatch returns the watch that r's ticket identifies, moved to r's port, or
// nil. A caller whose network path has gone silent comes back from a new port.
func (k *Keeper) moveWatch(r *Request, key *exchangeKey) (uint32, *exchange) {
	t := r.Ticket
	if t == nil || t.IsExecution() || t.Incarnation != k.incarnation {
		return 0, nil
	}
	index, e := k.findWatchBySerial(t.Serial)
	if e == nil || e.upstream != r.Upstream.ID || !e.key.sameAddressAndToken(key) {
		return 0, nil
	}
	k.exchanges.attach(index, *key)
	return index, e
}

// refreshWatch extends a watch and registers it again, so that the upstream's
// answer verifies the whole path.
func (k *Keeper) refreshWatch(now time.Time, index uint32, e *exchange, r *Request) {
	if e.messageID != r.Header.MessageID || e.reregistered {
		e.forwardedID = k.nextUpstreamMessageID(e.upstream)
	}
	e.messageID = r.Header.MessageID
	e.confirmable = r.Header.Confirmable
	e.reregistered = false
	k.noteFormerKeeper(e, r)
	e.expires = now.Sub(k.start) + leaseDuration(r)
	k.forward(now, index, e, r)
}

// closeWatch ends a watch and confirms this to the caller.
func (k *Keeper) closeWatch(now time.Time, r *Request) {
	key := keyOf(r.Header.Caller, r.Header.Token)
	index, e := k.exchanges.find(key)
	if e != nil && e.kind == packet.KindWatchOpen {
		k.cancel(index, e)
		k.endWatch(now, index, e)
	}
	if r.Ticket != nil {
		k.releaseTicketWatch(now, r)
	}
	k.transport.Refuse(r.Header, &Refusal{
		Error: verdict.Error{Verdict: verdict.Answered},
	})
}

// handleWatchMessage passes on the answer to a registration or a notification.
func (k *Keeper) handleWatchMessage(now time.Time, index uint32, e *exchange, m *UpstreamMessage, datagram []byte) {
	if m.Acknowledged && m.Shed && e.formerKeeper != 0 {
		// The upstream may have no connection left because of the former
		// keeper's registration. The release frees it for the caller's
		// retransmission.
		k.releaseFormerKeeper(now, index, e)
		return
	}
	if m.Acknowledged && m.Observed {
		k.releaseFormerKeeper(now, index, e)
		e.confirmed = true
	}
	if m.Acknowledged && !e.reregistered {
		k.deliverRegistrationAnswer(e, datagram)
	} else {
		k.deliverNotification(e, datagram)
	}
	e.reregistered = e.reregistered && !m.Acknowledged
	if !m.Observed {
		if !m.Acknowledged {
			k.limiters[e.upstream].WatchReset(now)
		}
		k.endWatch(now, index, e)
	}
}

// deliverRegistrationAnswer passes on the answer to a registration, with a
// ticket that identifies the flow and permits no execution.
func (k *Keeper) deliverRegistrationAnswer(e *exchange, datagram []byte) {
	caller := e.key.caller()
	k.sealer.Seal(k.ticketBuffer[:], ticket.Ticket{
		Service:     e.service,
		Upstream:    e.upstream,
		Incarnation: k.incarnation,
		Serial:      e.serial,
		Version:     k.version,
	}, caller.Addr())
	d := &k.deliveryScratch
	*d = Delivery{
		Service:     e.service,
		Caller:      caller,
		Token:       e.key.token,
		MessageID:   e.messageID,
		Acknowledge: e.confirmable,
		Ticket:      k.ticketBuffer[:],
	}
	if e.formerKeeper != 0 {
		// The caller's current ticket must keep naming the former keeper until
		// that keeper has been sent a release.
		d.Ticket = nil
	} else {
		e.fingerprint = ticket.FingerprintOf(k.ticketBuffer[:])
	}
	k.transport.Deliver(d, datagram)
}

// deliverNotification passes on a notification.
func (k *Keeper) deliverNotification(e *exchange, datagram []byte) {
	k.deliveryScratch = Delivery{
		Service:   e.service,
		Caller:    e.key.caller(),
		Token:     e.key.token,
		MessageID: k.nextCallerMessageID(),
	}
	k.transport.Deliver(&k.deliveryScratch, datagram)
}

func (k *Keeper) endWatch(now time.Time, index uint32, e *exchange) {
	k.limiters[e.upstream].EndWatch(now)
	k.registrations.release(e.registrationRef)
	k.leases.Clear(index)
	k.exchanges.remove(index)
}

// leaseDuration returns how long a watch is kept after its refresh r.
func leaseDuration(r *Request) time.Duration {
	return WatchLeaseIntervals * time.Duration(r.Service.Refresh)
}
