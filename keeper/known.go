package keeper

import (
	"time"

	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ticket"
)

// FindWatch returns the place and upstream of the open watch that h refreshes. Its
// ticket is the one that was last given for the watch, to the same IP address:
// it need not be opened to be trusted. ok is false where that is not so, which
// says nothing against h.
func (k *Keeper) FindWatch(h *packet.Header) (place, upstream uint32, ok bool) {
	if h.Kind != packet.KindWatchOpen {
		return 0, 0, false
	}
	place, e := k.exchanges.find(keyOf(h.Caller, h.Token))
	if e == nil || e.kind != packet.KindWatchOpen || e.service != h.Service || e.closed {
		return 0, 0, false
	}
	given := ticket.Ticket{
		Service:     e.service,
		Upstream:    e.upstream,
		Incarnation: k.incarnation,
		Serial:      e.serial,
	}
	if !e.stamp.Matches(h.Ticket, &given) {
		return 0, 0, false
	}
	return place, e.upstream, true
}

// Refresh extends the watch at a place that FindWatch returned for r's header.
func (k *Keeper) Refresh(now time.Time, place uint32, r *Request) {
	k.refreshWatch(now, place, k.exchanges.entry(place), r)
}
