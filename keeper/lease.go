package keeper

import "time"

// Resolution of watches' leases.
const (
	leaseTick  = 100 * time.Millisecond
	leaseSlots = 1024
)

// setLease has the watch at a place end with its lease.
func (k *Keeper) setLease(now time.Time, index uint32, expires time.Duration) {
	k.leases.Set(index, expires)
	if !k.leaseTimerArmed {
		k.leaseTimerArmed = true
		k.timers.Subscribe(now.Add(leaseTick), (*leaseTimer)(k), 0)
	}
}

// leaseTimer ends watches whose leases are over.
type leaseTimer Keeper

// Expire looks at the leases of the ticks up to now.
func (l *leaseTimer) Expire(now time.Time, _ uint64) {
	k := (*Keeper)(l)
	k.leaseTimerArmed = false
	k.leases.Advance(now.Sub(k.start), func(index uint32) { k.expireLease(now, index) })
	if k.leases.Len() > 0 && !k.leaseTimerArmed {
		k.leaseTimerArmed = true
		k.timers.Subscribe(now.Add(leaseTick), l, 0)
	}
}

// expireLease ends the watch at a place unless it has been refreshed.
func (k *Keeper) expireLease(now time.Time, index uint32) {
	e := k.exchanges.entry(index)
	if e.expires > now.Sub(k.start) {
		k.setLease(now, index, e.expires)
		return
	}
	k.cancel(index, e)
	k.endWatch(now, index, e)
}
