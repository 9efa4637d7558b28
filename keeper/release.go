package keeper

import (
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/packet"
)

// A Release tells the former keeper of a watch that another one keeps it now.
type Release struct {
	// Incarnation is the former keeper's.
	Incarnation uint64
	Caller      netip.AddrPort
	Token       packet.Token
	Upstream    uint32
	// Serial is that of the former keeper's tickets for the watch.
	Serial uint64
}

// A Releaser passes releases on to the processes that they name. A lost release
// does no harm: the former keeper's lease ends.
type Releaser interface {
	// Release reports whether r is done with; otherwise the process that it
	// names is not known yet, and the watch's next registration tries again.
	Release(r *Release) bool
}

// Release takes another keeper's release; it ends the watch at the upstream
// and tells the caller nothing. It reports whether there was such a watch.
func (k *Keeper) Release(now time.Time, r *Release) bool {
	if r.Incarnation != k.incarnation {
		return false
	}
	key := keyOf(r.Caller, r.Token)
	place, e := k.watchOf(&key, r.Upstream, r.Serial)
	if e == nil {
		return false
	}
	k.cancel(place, e)
	k.endWatch(now, place, e)
	return true
}

// releaseFormer has the former keeper of a watch let go of it.
func (k *Keeper) releaseFormer(e *exchange) {
	if e.former == 0 {
		return
	}
	done := k.release(&Release{
		Incarnation: e.former,
		Caller:      e.key.caller(),
		Token:       e.key.token,
		Upstream:    e.upstream,
		Serial:      e.serial,
	})
	if !done {
		return
	}
	e.former = 0
	e.serial = k.ledger.issue()
}

func (k *Keeper) release(r *Release) bool {
	return k.releaser == nil || k.releaser.Release(r)
}

// releaseTicket ends the watch that r's ticket names, wherever it is kept.
func (k *Keeper) releaseTicket(now time.Time, r *Request) {
	n := &Release{
		Incarnation: r.Ticket.Incarnation,
		Caller:      r.Header.Caller,
		Token:       r.Header.Token,
		Upstream:    r.Ticket.Upstream,
		Serial:      r.Ticket.Serial,
	}
	if n.Incarnation == k.incarnation {
		k.Release(now, n)
		return
	}
	k.release(n)
}

// watchOf returns the watch of an IP address, token and serial, whatever its
// port, or nil.
func (k *Keeper) watchOf(key *exchangeKey, upstream uint32, serial uint64) (uint32, *exchange) {
	return k.exchanges.search(key, func(e *exchange) bool {
		return e.kind == packet.KindWatchOpen && e.upstream == upstream && e.serial == serial && e.former == 0
	})
}
