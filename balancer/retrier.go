package balancer

import (
	"time"

	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/retry"
	"filbertworks.example/filbertworks/verdict"
	"filbertworks.example/filbertworks/wire"
)

// retrier implements keeper.Retrier: it retries shed requests at other
// upstreams within the retry budget of their service.
type retrier Balancer

// Retry implements keeper.Retrier.
func (t *retrier) Retry(now time.Time, q *keeper.Retry) bool {
	b := (*Balancer)(t)
	h := q.Header
	s := b.config.Service(h.Service)
	if s == nil {
		return false
	}
	r := &wire.Relay{
		Caller:   h.Caller,
		Service:  h.Service,
		Attempts: q.PriorAttempts.Attempts,
		Excluded: q.PriorAttempts.Excluded,
		Elapsed:  q.Elapsed,
	}
	next := b.nextUpstream(h, s, q.Upstream, r)
	if next == nil || !b.retryBudget(now, s.ID).Spend(now) {
		return false
	}
	d := &Decision{
		Header:   h,
		Upstream: next.ID,
		Placed:   true,
		Reason:   verdict.ReasonShed,
	}
	b.offer(now, d, nil, s, next, r, q.Datagram)
	return true
}

// RecordSuccess implements keeper.Retrier.
func (t *retrier) RecordSuccess(now time.Time, service uint32) {
	(*Balancer)(t).retryBudget(now, service).RecordSuccess(now)
}

// retryBudget returns the budget for the retries of a service at this balancer.
func (b *Balancer) retryBudget(now time.Time, service uint32) *retry.Budget {
	g := b.budgets[service]
	if g == nil {
		g = retry.NewBudget(now)
		b.budgets[service] = g
	}
	return g
}
