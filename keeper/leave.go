package keeper

import (
	"time"

	"filbertworks.example/filbertworks/packet"
)

// retryHintSteps is the number of values that the retry hint takes where all watches
// end at once, so that their callers don't all come back together.
const retryHintSteps = 5

// ActiveWork are what a keeper holds.
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
	for index := range k.exchanges.allocated {
		e := k.exchanges.entry(index)
		if e.generation%2 == 1 && e.kind == packet.KindWatchOpen {
			k.cancel(index, e)
			k.endWatchWithRetry(now, index, e, RetryAfter*time.Duration(1+index%retryHintSteps))
		}
	}
}

// ActiveWork returns what the keeper holds.
func (k *Keeper) ActiveWork() ActiveWork {
	watches := k.leases.Len()
	return ActiveWork{
		Watches:          watches,
		Requests:         k.exchanges.len() - watches,
		LastTicketExpiry: k.start.Add(k.lastTicketExpiry),
	}
}

// Leave makes the keeper grant no further rights to executions.
func (k *Keeper) Leave() {
	k.leaving = true
}

// grantsExecutions reports whether the keeper gives rights to executions at now.
func (k *Keeper) grantsExecutions(now time.Time) bool {
	return !k.leaving && now.Sub(k.start) >= k.startupGrace
}
