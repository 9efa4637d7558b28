package keeper

import (
	"time"

	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/upstream"
)

// Bounds of the retry buffer.
const (
	maxBufferedRequests = 4096
	// maxBufferedSize is the largest datagram buffered, in bytes.
	maxBufferedSize = 1472
)

// A Retrier sends idempotent requests that an upstream has shed to another
// upstream.
type Retrier interface {
	// Retry reports whether it has accepted the request; a request that it has
	// not accepted has not run.
	Retry(now time.Time, r *Retry) bool
	// RecordSuccess records an answer from an upstream of a service.
	RecordSuccess(now time.Time, service uint32)
}

// PriorAttempts counts the upstreams that have refused a request and names the
// first of them in Excluded.
type PriorAttempts struct {
	Attempts uint8
	Excluded [3]uint32
}

// A Retry is an idempotent request that an upstream has shed.
type Retry struct {
	// Header has no ticket; its deadline is the one originally given to the
	// request.
	Header *packet.Header
	// Upstream is the one that shed the request last.
	Upstream      uint32
	PriorAttempts PriorAttempts
	// Elapsed is the time since the first keeper received the request.
	Elapsed time.Duration
	// Datagram is valid only during the call.
	Datagram []byte
}

// A bufferedRequest holds what a retry of an exchange needs.
type bufferedRequest struct {
	datagram      []byte
	priorAttempts PriorAttempts
	deadline      time.Duration
	elapsed       time.Duration
}

// A retryBuffer holds the datagrams of idempotent requests in flight, by the
// indexes of their exchanges. It reuses memory. Invariant: it holds at most
// maxBufferedRequests datagrams.
type retryBuffer struct {
	requests map[uint32]*bufferedRequest
	free     []*bufferedRequest
}

func newRetryBuffer() *retryBuffer {
	return &retryBuffer{requests: make(map[uint32]*bufferedRequest)}
}

// drop removes and recycles the request at index.
func (t *retryBuffer) drop(index uint32) {
	if h := t.take(index); h != nil {
		t.recycle(h)
	}
}

// add buffers the request at index, if there is room and another upstream may
// answer it.
func (t *retryBuffer) add(index uint32, r *Request) {
	if r.Header.LaterBlock || len(t.requests) >= maxBufferedRequests || len(r.Datagram) > maxBufferedSize {
		return
	}
	h := t.allocate()
	h.datagram = append(h.datagram[:0], r.Datagram...)
	h.priorAttempts = r.PriorAttempts
	h.deadline = r.Header.Deadline
	h.elapsed = r.Elapsed
	t.requests[index] = h
}

func (t *retryBuffer) allocate() *bufferedRequest {
	n := len(t.free)
	if n == 0 {
		return &bufferedRequest{}
	}
	h := t.free[n-1]
	t.free = t.free[:n-1]
	return h
}

func (t *retryBuffer) recycle(h *bufferedRequest) {
	t.free = append(t.free, h)
}

// take removes and returns the request at index, or nil; the caller recycles
// it.
func (t *retryBuffer) take(index uint32) *bufferedRequest {
	h := t.requests[index]
	delete(t.requests, index)
	return h
}

// handleShed ends an idempotent request that its upstream has shed. It is sent
// to another upstream, or its caller gets the upstream's answer.
func (k *Keeper) handleShed(now time.Time, index uint32, e *exchange, datagram []byte) {
	h := k.retryBuffer.take(index)
	ended := *e
	k.endRequest(now, index, e, upstream.ResultShed)
	if h == nil {
		k.deliver(now, &ended, datagram)
		return
	}
	defer k.retryBuffer.recycle(h)
	taken := k.retrier.Retry(now, &Retry{
		Header:        ended.header(h.deadline),
		Upstream:      ended.upstream,
		PriorAttempts: h.priorAttempts,
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
		MessageID:   e.messageID,
		Confirmable: e.confirmable,
		Deadline:    deadline,
	}
}
