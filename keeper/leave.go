package keeper

import (
	"time"

	"filbertworks.example/filbertworks/packet"
)

// retryHintSteps is the number of different retry hints given when all watches
// end at once, so that their callers do not all come back together.
const retryHintSteps = 5

// ActiveWork summarizes the work that a keeper still has to finish or hand
// over.
type ActiveWork struct {
	// Watches and Requests are the numbers of open watches and of requests in
	// flight.
	Watches  int
	Requests int
	// LastTicketExpiry is when the last ticket that permits an execution
	// expires.
	LastTicketExpiry time.Time
}

// EndWatches closes all open watches at their upstreams and tells their callers
// to register again.
func (k *Keeper) EndWatches(now time.Time) {
	for index := range k.exchanges.allocated {
		e := k.exchanges.entry(index)
		if e.generation%2 == 1 && e.kind == packet.KindWatchOpen {
			k.cancel(index, e)
			k.endWatchWithRetry(now, index, e, RetryAfter*time.Duration(1+index%retryHintSteps))
		}
	}
}

// ActiveWork returns the keeper's work in progress.
func (k *Keeper) ActiveWork() ActiveWork {
	watches := k.leases.Len()
	return ActiveWork{
		Watches:          watches,
		Requests:         k.exchanges.len() - watches,
		LastTicketExpiry: k.start.Add(k.lastTicketExpiry),
	}
}

// Leave makes the keeper issue no further tickets that permit an execution.
func (k *Keeper) Leave() {
	k.leaving = true
}

// grantsExecutions reports whether tickets issued at now may permit an
// execution.
func (k *Keeper) grantsExecutions(now time.Time) bool {
	return !k.leaving && now.Sub(k.start) >= k.startupGrace
}
