package keeper

import (
	"time"

	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ticket"
)

// FindWatch returns the index and upstream of the open watch that h refreshes.
// It matches only if h carries the ticket that was last issued for the
// watch, from the same IP address, so that the ticket need not be opened to be
// trusted. If ok is false, h may still be valid.
func (k *Keeper) FindWatch(h *packet.Header) (index, upstream uint32, ok bool) {
	if h.Kind != packet.KindWatchOpen {
		return 0, 0, false
	}
	index, e := k.exchanges.find(keyOf(h.Caller, h.Token))
	if e == nil || e.kind != packet.KindWatchOpen || e.service != h.Service || e.upstreamGone {
		return 0, 0, false
	}
	given := ticket.Ticket{
		Service:     e.service,
		Upstream:    e.upstream,
		Incarnation: k.incarnation,
		Serial:      e.serial,
	}
	if !e.fingerprint.Matches(h.Ticket, &given) {
		return 0, 0, false
	}
	return index, e.upstream, true
}

// RefreshWatch extends the watch at an index that FindWatch returned for r's
// header.
func (k *Keeper) RefreshWatch(now time.Time, index uint32, r *Request) {
	k.refreshWatch(now, index, k.exchanges.entry(index), r)
}
