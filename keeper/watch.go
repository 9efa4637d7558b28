package keeper

import (
	"time"

	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
)

// openWatch opens a watch at its upstream or refreshes it there.
func (k *Keeper) openWatch(now time.Time, r *Request) verdict.Reason {
	key := keyOf(r.Header.Caller, r.Header.Token)
	lifetime := WatchLeaseIntervals * time.Duration(r.Service.Refresh)
	if place, e := k.exchanges.find(key); e != nil {
		if e.kind == packet.KindWatchOpen && e.upstream == r.Upstream.ID {
			k.refreshWatch(now, place, e, r, lifetime)
			return verdict.ReasonNone
		}
		k.supersede(now, place, e)
	}
	if reason := k.admitWatch(now, r); reason != verdict.ReasonNone {
		return reason
	}
	place, e := k.open(now, key, r, lifetime)
	if e == nil {
		k.Gate(r.Upstream).EndWatch(now)
		return verdict.ReasonLedgerFull
	}
	k.forward(now, place, e, r)
	return verdict.ReasonNone
}

// refreshWatch extends a watch and registers it again, so that the upstream's
// answer proves the whole path.
func (k *Keeper) refreshWatch(now time.Time, place uint32, e *exchange, r *Request, lifetime time.Duration) {
	if e.message != r.Header.Message {
		e.forwarded = k.nextForwarded(e.upstream)
	}
	e.message = r.Header.Message
	e.confirmable = r.Header.Confirmable
	e.expires = now.Sub(k.start) + lifetime
	k.forward(now, place, e, r)
}

// closeWatch ends a watch and confirms it to the caller.
func (k *Keeper) closeWatch(now time.Time, r *Request) {
	place, e := k.exchanges.find(keyOf(r.Header.Caller, r.Header.Token))
	if e != nil && e.kind == packet.KindWatchOpen {
		k.cancel(place, e)
		k.endWatch(now, place, e)
	}
	k.outlet.Refuse(r.Header, &Refusal{
		Error: verdict.Error{Verdict: verdict.Answered},
	})
}

// watchAnswer passes a registration's answer or a notification on.
func (k *Keeper) watchAnswer(now time.Time, place uint32, e *exchange, a *Answer, datagram []byte) {
	if a.Acknowledged {
		k.deliver(now, e, datagram)
		if !a.Observed {
			k.endWatch(now, place, e)
			return
		}
		e.settled = true
		return
	}
	k.outlet.Deliver(&Delivery{
		Service: e.service,
		Caller:  e.key.caller(),
		Token:   e.key.token,
		Message: k.nextMessage(),
	}, datagram)
	if !a.Observed {
		k.gates[e.upstream].WatchReset(now)
		k.endWatch(now, place, e)
	}
}

func (k *Keeper) endWatch(now time.Time, place uint32, e *exchange) {
	k.gates[e.upstream].EndWatch(now)
	k.exchanges.remove(place)
}
