package keeper

import (
	"time"

	"filbertworks.example/filbertworks/packet"
)

// endSpread is the number of values that the retry hint takes where all watches
// end at once, so that their callers don't all come back together.
const endSpread = 5

// ActiveWork is what a keeper holds.
type ActiveWork struct {
	// Watches and Requests are those open.
	Watches  int
	Requests int
	// LastTicketExpiry is when the last right to an execution ends.
	LastTicketExpiry time.Time
}

// EndWatches closes all open watches at their upstreams and tells their callers
// to register anew.
func (k *Keeper) EndWatches(now time.Time) {
	for place := range k.exchanges.count {
		e := k.exchanges.entry(place)
		if e.generation%2 == 1 && e.kind == packet.KindWatchOpen {
			k.cancel(place, e)
			k.dismiss(now, place, e, RetryAfter*time.Duration(1+place%endSpread))
		}
	}
}

// ActiveWork returns what the keeper holds.
func (k *Keeper) ActiveWork() ActiveWork {
	watches := k.leases.Len()
	return ActiveWork{
		Watches:          watches,
		Requests:         k.exchanges.len() - watches,
		LastTicketExpiry: k.start.Add(k.rights),
	}
}

// Leave makes the keeper grant no further rights to executions.
func (k *Keeper) Leave() {
	k.leaving = true
}

// grants reports whether the keeper gives rights to executions at now.
func (k *Keeper) grants(now time.Time) bool {
	return !k.leaving && now.Sub(k.start) >= k.settle
}
