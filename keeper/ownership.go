package keeper

import (
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/upstream"
	"filbertworks.example/filbertworks/verdict"
)

// Limiter returns the limiter of an upstream. A new limiter counts all slots as
// taken until the deadline of the service has passed, because an earlier
// keeper's work may still be in flight.
func (k *Keeper) Limiter(u *config.Upstream) *upstream.Limiter {
	limiter := k.limiters[u.ID]
	if limiter == nil {
		limiter = upstream.NewLimiter(u, upstream.WithHold(k.holdDurations(u.ID)))
		k.limiters[u.ID] = limiter
	}
	return limiter
}

// StartLimiter starts the hold of an upstream that this balancer now keeps. It
// has no effect on one that it already keeps.
func (k *Keeper) StartLimiter(now time.Time, u *config.Upstream) *upstream.Limiter {
	limiter := k.Limiter(u)
	limiter.Start(now)
	return limiter
}

// UpdateOwnership handles a change of the member view: keeps reports whether
// this balancer keeps an upstream. An upstream that another balancer keeps gets
// no new work here, and its limiter holds again when it returns.
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

// holdDurations returns how long all slots of an upstream count as taken and
// how long few new watches are admitted. An earlier keeper's requests end by
// the deadline of the service, and its watches return with their next refresh.
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
