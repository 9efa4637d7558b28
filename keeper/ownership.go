package keeper

import (
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/upstream"
	"filbertworks.example/filbertworks/verdict"
)

// Limiter returns the gate of an upstream. A new one counts all slots as taken
// until the deadline of the service has passed: an earlier keeper's work may
// still be in flight.
func (k *Keeper) Limiter(u *config.Upstream) *upstream.Limiter {
	limiter := k.limiters[u.ID]
	if limiter == nil {
		limiter = upstream.NewLimiter(u, upstream.WithHold(k.holdDurations(u.ID)))
		k.limiters[u.ID] = limiter
	}
	return limiter
}

// StartLimiter begins the hold of an upstream that this balancer keeps from now on; one
// that it kept already is left as it is.
func (k *Keeper) StartLimiter(now time.Time, u *config.Upstream) *upstream.Limiter {
	limiter := k.Limiter(u)
	limiter.Start(now)
	return limiter
}

// UpdateOwnership follows a change of the member view: keeps tells whether this balancer
// keeps an upstream. Upstreams that are another's take no new work here, and
// are held anew once they come back.
func (k *Keeper) UpdateOwnership(now time.Time, keeps func(id uint32) bool) {
	for id, limiter := range k.limiters {
		switch kept := keeps(id); {
		case !kept && !k.notKept[id]:
			k.notKept[id] = true
			k.flush(id, verdict.ReasonNotKeeper)
		case kept && k.notKept[id]:
			delete(k.notKept, id)
			slots, watches := k.holdDurations(id)
			limiter.Hold(now, slots, watches)
		}
	}
}

// holdDurations returns how long an upstream's slots count as taken and its new
// watches are few: an earlier keeper's requests end by the deadline, and its
// watches come back with their refreshes.
func (k *Keeper) holdDurations(id uint32) (slots, watches time.Duration) {
	if k.config == nil {
		return 0, 0
	}
	s := k.config.Upstream(id).Service
	if s == nil {
		return 0, 0
	}
	return time.Duration(s.Deadline), time.Duration(s.Refresh) * 11 / 10
}
