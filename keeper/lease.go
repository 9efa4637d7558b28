package keeper

import "time"

// Resolution of the watch leases.
const (
	leaseTick  = 100 * time.Millisecond
	leaseSlots = 1024
)

// setLease makes the lease of the watch at index end at expires, which counts
// from the keeper's start.
func (k *Keeper) setLease(now time.Time, index uint32, expires time.Duration) {
	k.leases.Set(index, expires)
	if !k.leaseTimerArmed {
		k.leaseTimerArmed = true
		k.timers.Subscribe(now.Add(leaseTick), (*leaseTimer)(k), 0)
	}
}

// leaseTimer is the timer handler that ends watches whose leases have expired.
type leaseTimer Keeper

// Expire handles all leases that have expired at now.
func (l *leaseTimer) Expire(now time.Time, _ uint64) {
	k := (*Keeper)(l)
	k.leaseTimerArmed = false
	k.leases.Advance(now.Sub(k.start), func(index uint32) { k.expireLease(now, index) })
	if k.leases.Len() > 0 && !k.leaseTimerArmed {
		k.leaseTimerArmed = true
		k.timers.Subscribe(now.Add(leaseTick), l, 0)
	}
}

// expireLease ends the watch at index unless it has been refreshed.
func (k *Keeper) expireLease(now time.Time, index uint32) {
	e := k.exchanges.entry(index)
	if e.expires > now.Sub(k.start) {
		k.setLease(now, index, e.expires)
		return
	}
	k.cancel(index, e)
	k.endWatch(now, index, e)
}
