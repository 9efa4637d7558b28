package keeper

import (
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
)

// queuePerSlot is the number of requests that wait at an upstream for each of
// its slots.
const queuePerSlot = 2

// A waiting is a request in a queue, with copies of what it needs.
type waiting struct {
	header   packet.Header
	service  *config.Service
	upstream *config.Upstream
	datagram []byte
	tried    PriorAttempts
	// arrived is when the keeper took the request, elapsed its age then.
	arrived time.Time
	elapsed time.Duration
	// expires is the end of the request's deadline, which counts from its
	// arrival.
	expires time.Time
}

// A queue holds the requests that wait for a slot of one upstream, in the order
// of their arrival. A caller has at most one entry for each token.
type queue struct {
	entries []waiting
}

// expire removes the entries that are due and returns them.
func (q *queue) expire(now time.Time) []waiting {
	var due []waiting
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

// find returns the entry of a caller's token, or nil.
func (q *queue) find(key exchangeKey) *waiting {
	for i := range q.entries {
		w := &q.entries[i]
		if keyOf(w.header.Caller, w.header.Token) == key {
			return w
		}
	}
	return nil
}

// pop removes the entry with the earliest deadline; among equals the one that
// came first.
func (q *queue) pop() (waiting, bool) {
	if len(q.entries) == 0 {
		return waiting{}, false
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
	q.entries[last] = waiting{}
	q.entries = q.entries[:last]
	return w, true
}

// push adds a request, or replaces the one of the same token; ok is false where
// limit is reached.
func (q *queue) push(w waiting, limit int) bool {
	if old := q.find(keyOf(w.header.Caller, w.header.Token)); old != nil {
		if old.header.Message != w.header.Message {
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

// Queued returns the number of requests that wait for a slot of an upstream.
func (k *Keeper) Queued(id uint32) int {
	if q := k.queues[id]; q != nil {
		return len(q.entries)
	}
	return 0
}

// await queues a request that its upstream has no slot for, and reports whether
// it did.
func (k *Keeper) await(now time.Time, r *Request) bool {
	q := k.queues[r.Upstream.ID]
	if q == nil {
		q = &queue{}
		k.queues[r.Upstream.ID] = q
	}
	w := waiting{
		header:   *r.Header,
		service:  r.Service,
		upstream: r.Upstream,
		datagram: append([]byte(nil), r.Datagram...),
		tried:    r.PriorAttempts,
		arrived:  now,
		elapsed:  r.Elapsed,
		expires:  now.Add(deadline(r)),
	}
	w.header.Ticket = nil
	if !q.push(w, int(queuePerSlot*r.Upstream.Slots)) {
		return false
	}
	k.timers.Subscribe(w.expires, (*queueTimer)(k), uint64(r.Upstream.ID))
	if at, ok := k.gates[r.Upstream.ID].ResumeAt(now); ok {
		k.timers.Subscribe(at, (*queueTimer)(k), uint64(r.Upstream.ID))
	}
	return true
}

// dequeue sends the requests that wait for an upstream while it has slots.
func (k *Keeper) dequeue(now time.Time, id uint32) {
	q := k.queues[id]
	if q == nil {
		return
	}
	for _, w := range q.expire(now) {
		k.refuseWaiting(&w, verdict.ReasonBusy)
	}
	g := k.gates[id]
	for len(q.entries) > 0 && g.Refusal(now) == verdict.ReasonNone {
		w, _ := q.pop()
		k.startWaiting(now, &w)
	}
	if at, ok := g.ResumeAt(now); ok && len(q.entries) > 0 {
		k.timers.Subscribe(at, (*queueTimer)(k), uint64(id))
	}
	if len(q.entries) == 0 {
		delete(k.queues, id)
	}
}

// flush refuses all requests that wait for an upstream.
func (k *Keeper) flush(id uint32, reason verdict.Reason) {
	q := k.queues[id]
	if q == nil {
		return
	}
	delete(k.queues, id)
	for i := range q.entries {
		k.refuseWaiting(&q.entries[i], reason)
	}
}

// flushUnusable refuses the requests that wait for upstreams which take no new
// work under c; gone are those that may not be sent to at all.
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

// passing reports whether what a reason tells of is over by itself within the
// deadline of a request.
func passing(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonBusy, verdict.ReasonCold, verdict.ReasonShed:
		return true
	default:
		return false
	}
}

func (k *Keeper) refuseWaiting(w *waiting, reason verdict.Reason) {
	k.outlet.Refuse(&w.header, newRefusal(verdict.NotRun, reason, RetryAfter))
}

// startWaiting sends a request that has waited, with what is left of its
// deadline.
func (k *Keeper) startWaiting(now time.Time, w *waiting) {
	reason := k.begin(now, &Request{
		Header:        &w.header,
		Service:       w.service,
		Upstream:      w.upstream,
		Datagram:      w.datagram,
		PriorAttempts: w.tried,
		Elapsed:       w.elapsed + now.Sub(w.arrived),
	})
	if reason != verdict.ReasonNone {
		k.refuseWaiting(w, reason)
	}
}

// queueTimer looks at a queue whose upstream may take work again or whose
// entries may be due.
type queueTimer Keeper

// Expire looks at the queue of an upstream.
func (t *queueTimer) Expire(now time.Time, id uint64) {
	(*Keeper)(t).dequeue(now, uint32(id))
}
