package keeper

import (
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
)

// queuedPerSlot is the maximum number of queued requests for each slot of an
// upstream.
const queuedPerSlot = 2

// A queuedRequest is a request in a queue, with copies of the caller's data.
type queuedRequest struct {
	header        packet.Header
	service       *config.Service
	upstream      *config.Upstream
	datagram      []byte
	priorAttempts PriorAttempts
	// arrived is when the keeper received the request, elapsed its age at that
	// time.
	arrived time.Time
	elapsed time.Duration
	// expires is the end of the request's deadline, which counts from its
	// arrival.
	expires time.Time
}

// A queue holds the requests that wait for a slot of one upstream, in the order
// of their arrival. It has at most one entry for each caller and token.
type queue struct {
	entries []queuedRequest
}

// expire removes the entries that have expired at now and returns them.
func (q *queue) expire(now time.Time) []queuedRequest {
	var due []queuedRequest
	kept := q.entries[:0]
	for _, w := range q.entries {
		if now.Before(w.expires) {
			kept = append(kept, w)
		} else {
			due = append(due, w)
		}
	}
	clear(q.entries[len(kept):])
	q.entries = kept
	return due
}

// find returns the entry of a caller and token, or nil.
func (q *queue) find(key exchangeKey) *queuedRequest {
	for i := range q.entries {
		w := &q.entries[i]
		if keyOf(w.header.Caller, w.header.Token) == key {
			return w
		}
	}
	return nil
}

// pop removes the entry with the earliest deadline, of several the one that
// arrived first.
func (q *queue) pop() (queuedRequest, bool) {
	if len(q.entries) == 0 {
		return queuedRequest{}, false
	}
	best := 0
	for i := range q.entries {
		if q.entries[i].expires.Before(q.entries[best].expires) {
			best = i
		}
	}
	w := q.entries[best]
	copy(q.entries[best:], q.entries[best+1:])
	last := len(q.entries) - 1
	q.entries[last] = queuedRequest{}
	q.entries = q.entries[:last]
	return w, true
}

// push adds a request, or replaces the one of the same caller and token if its
// message id differs. It returns false if the queue has reached limit.
func (q *queue) push(w queuedRequest, limit int) bool {
	if old := q.find(keyOf(w.header.Caller, w.header.Token)); old != nil {
		if old.header.MessageID != w.header.MessageID {
			*old = w
		}
		return true
	}
	if len(q.entries) >= limit {
		return false
	}
	q.entries = append(q.entries, w)
	return true
}

// Queued returns the number of requests queued for an upstream.
func (k *Keeper) Queued(id uint32) int {
	if q := k.queues[id]; q != nil {
		return len(q.entries)
	}
	return 0
}

// enqueue queues a request for which its upstream has no slot, and reports
// whether there was room.
func (k *Keeper) enqueue(now time.Time, r *Request) bool {
	q := k.queues[r.Upstream.ID]
	if q == nil {
		q = &queue{}
		k.queues[r.Upstream.ID] = q
	}
	w := queuedRequest{
		header:        *r.Header,
		service:       r.Service,
		upstream:      r.Upstream,
		datagram:      append([]byte(nil), r.Datagram...),
		priorAttempts: r.PriorAttempts,
		arrived:       now,
		elapsed:       r.Elapsed,
		expires:       now.Add(deadline(r)),
	}
	w.header.Ticket = nil
	if !q.push(w, int(queuedPerSlot*r.Upstream.Slots)) {
		return false
	}
	k.timers.Subscribe(w.expires, (*queueTimer)(k), uint64(r.Upstream.ID))
	if at, ok := k.limiters[r.Upstream.ID].ResumeAt(now); ok {
		k.timers.Subscribe(at, (*queueTimer)(k), uint64(r.Upstream.ID))
	}
	return true
}

// dequeue sends requests queued for an upstream while it has slots, and refuses
// those that have expired.
func (k *Keeper) dequeue(now time.Time, id uint32) {
	q := k.queues[id]
	if q == nil {
		return
	}
	for _, w := range q.expire(now) {
		k.refuseQueued(&w, verdict.ReasonBusy)
	}
	limiter := k.limiters[id]
	for len(q.entries) > 0 && limiter.Refusal(now) == verdict.ReasonNone {
		w, _ := q.pop()
		k.startQueued(now, &w)
	}
	if at, ok := limiter.ResumeAt(now); ok && len(q.entries) > 0 {
		k.timers.Subscribe(at, (*queueTimer)(k), uint64(id))
	}
	if len(q.entries) == 0 {
		delete(k.queues, id)
	}
}

// flush refuses all requests queued for an upstream.
func (k *Keeper) flush(id uint32, reason verdict.Reason) {
	q := k.queues[id]
	if q == nil {
		return
	}
	delete(k.queues, id)
	for i := range q.entries {
		k.refuseQueued(&q.entries[i], reason)
	}
}

// flushUnusable refuses the requests queued for upstreams that accept no new
// work under c; nothing at all may be sent to those in gone.
func (k *Keeper) flushUnusable(c *config.Snapshot, gone map[uint32]bool) {
	for id := range k.queues {
		p := c.Upstream(id)
		switch {
		case gone[id]:
			k.flush(id, verdict.ReasonZoneOut)
		case p.Upstream.State != config.UpstreamActive:
			k.flush(id, verdict.ReasonDraining)
		}
	}
}

// isTransient reports whether the cause of a refusal can end by itself within
// the deadline of a request.
func isTransient(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonBusy, verdict.ReasonCold, verdict.ReasonShed:
		return true
	default:
		return false
	}
}

func (k *Keeper) refuseQueued(w *queuedRequest, reason verdict.Reason) {
	k.transport.Refuse(&w.header, newRefusal(verdict.NotRun, reason, RetryAfter))
}

// startQueued sends a queued request with what remains of its deadline.
func (k *Keeper) startQueued(now time.Time, w *queuedRequest) {
	reason := k.sendIdempotent(now, &Request{
		Header:        &w.header,
		Service:       w.service,
		Upstream:      w.upstream,
		Datagram:      w.datagram,
		PriorAttempts: w.priorAttempts,
		Elapsed:       w.elapsed + now.Sub(w.arrived),
	})
	if reason != verdict.ReasonNone {
		k.refuseQueued(w, reason)
	}
}

// queueTimer is the timer handler for queues whose upstream may accept work
// again or whose entries may have expired.
type queueTimer Keeper

// Expire processes the queue of an upstream.
func (t *queueTimer) Expire(now time.Time, id uint64) {
	(*Keeper)(t).dequeue(now, uint32(id))
}
