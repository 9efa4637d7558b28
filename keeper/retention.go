package keeper

import (
	"time"

	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/upstream"
)

// Bounds of the datagrams that a keeper holds for retries.
const (
	maxRetained = 4096
	// retainedSize is the largest datagram held, in bytes.
	retainedSize = 1472
)

// A Retrier sends idempotent requests that an upstream has shed elsewhere.
type Retrier interface {
	// Retry reports whether it took the request; a request that it did not take
	// has not run.
	Retry(now time.Time, r *Retry) bool
	// RecordSuccess tells of an answer of an upstream of a service.
	RecordSuccess(now time.Time, service uint32)
}

// PriorAttempts names the upstreams that have refused a request; the first of them are
// in Excluded.
type PriorAttempts struct {
	Attempts uint8
	Excluded [3]uint32
}

// A Retry is an idempotent request that an upstream has shed.
type Retry struct {
	// Header has no ticket; its deadline is what was given to the request.
	Header *packet.Header
	// Upstream is the one that shed the request last.
	Upstream      uint32
	PriorAttempts PriorAttempts
	// Elapsed is the time since the first keeper took the request.
	Elapsed time.Duration
	// Datagram is valid only during the call.
	Datagram []byte
}

// A retained is what a retry of an exchange needs.
type retained struct {
	datagram []byte
	tried    PriorAttempts
	deadline time.Duration
	elapsed  time.Duration
}

// A retention holds the datagrams of idempotent requests in flight, by their
// places, in memory that is used again. Invariant: at most maxRetained are held.
type retention struct {
	held map[uint32]*retained
	free []*retained
}

func newRetention() *retention {
	return &retention{held: make(map[uint32]*retained)}
}

// drop ends the holding for a place.
func (t *retention) drop(place uint32) {
	if h := t.take(place); h != nil {
		t.release(h)
	}
}

// hold keeps the datagram of the request at a place, if there is room and another
// upstream may answer it.
func (t *retention) hold(place uint32, r *Request) {
	if r.Header.LaterBlock || len(t.held) >= maxRetained || len(r.Datagram) > retainedSize {
		return
	}
	h := t.next()
	h.datagram = append(h.datagram[:0], r.Datagram...)
	h.tried = r.PriorAttempts
	h.deadline = r.Header.Deadline
	h.elapsed = r.Elapsed
	t.held[place] = h
}

func (t *retention) next() *retained {
	n := len(t.free)
	if n == 0 {
		return &retained{}
	}
	h := t.free[n-1]
	t.free = t.free[:n-1]
	return h
}

func (t *retention) release(h *retained) {
	t.free = append(t.free, h)
}

// take returns what is held for a place, or nil; the caller releases it.
func (t *retention) take(place uint32) *retained {
	h := t.held[place]
	delete(t.held, place)
	return h
}

// shed ends an idempotent request that its upstream has shed: another upstream
// gets it, or its caller the upstream's answer.
func (k *Keeper) shed(now time.Time, place uint32, e *exchange, datagram []byte) {
	h := k.retention.take(place)
	ended := *e
	k.endRequest(now, place, e, upstream.ResultShed)
	if h == nil {
		k.deliver(now, &ended, datagram)
		return
	}
	defer k.retention.release(h)
	taken := k.retrier.Retry(now, &Retry{
		Header:        ended.header(h.deadline),
		Upstream:      ended.upstream,
		PriorAttempts: h.tried,
		Elapsed:       h.elapsed + now.Sub(k.start) - ended.sent,
		Datagram:      h.datagram,
	})
	if !taken {
		k.deliver(now, &ended, datagram)
	}
}

// header returns the header of the caller's datagram without its ticket.
func (e *exchange) header(deadline time.Duration) *packet.Header {
	return &packet.Header{
		Service:     e.service,
		Caller:      e.key.caller(),
		Kind:        e.kind,
		Token:       e.key.token,
		Message:     e.message,
		Confirmable: e.confirmable,
		Deadline:    deadline,
	}
}
