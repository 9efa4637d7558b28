package emulation

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// hostState is how a host treats packets.
type hostState uint8

const (
	hostServing hostState = iota
	hostCrashed
	hostPoweredOff
)

// host is an emulated host.
type host struct {
	emulation *emulation
	upstream  *directory.Upstream
	state     hostState
	// incarnation counts the failures of the host. Flows of earlier
	// incarnations are lost.
	incarnation int
	// flows is the number of open flows of users to the host.
	flows    int
	slowdown float64
	// congestedSlowdown multiplies the time of requests that start while more than half of the
	// slots are in use.
	congestedSlowdown float64
	busy              int
	queue             []func()
	// received counts the requests that reached the host, by kind.
	received []int
	// failedAt is when the host crashed or lost power, and detectedAt when a
	// balancer first considered it dead after that.
	failedAt   time.Time
	detectedAt time.Time
}

// fail crashes the host or takes its power away.
func (h *host) fail(state hostState) {
	h.state = state
	h.incarnation++
	h.flows = 0
	h.busy = 0
	h.queue = nil
	h.failedAt, h.detectedAt = h.emulation.now, time.Time{}
}

// restart starts the host again.
func (h *host) restart() {
	h.state = hostServing
	h.failedAt = time.Time{}
}

// serve starts or queues a request of a kind, or refuses it if the queue is full. It
// calls done with whether the request was answered, unless the host fails
// before that.
func (h *host) serve(kind int, done func(answered bool)) {
	h.received[kind]++
	switch l := &h.emulation.load.Hosts; {
	case h.busy < l.Slots:
		h.startRequest(kind, done)
	case len(h.queue) < l.Queue:
		h.queue = append(h.queue, func() { h.startRequest(kind, done) })
	default:
		done(false)
	}
}

// startRequest works on a request for 0.5 to 1.5 times the mean, and then
// starts the next one in the queue.
func (h *host) startRequest(kind int, done func(bool)) {
	h.busy++
	incarnation := h.incarnation
	mean := h.emulation.kinds[kind].Work.Seconds() * h.slowdown
	if 2*h.busy > h.upstream.Slots {
		mean *= h.congestedSlowdown
	}
	jitter := 0.5 + h.emulation.rand.Float64()
	h.emulation.after(time.Duration(mean*jitter*float64(time.Second)), func() {
		if h.incarnation != incarnation {
			return
		}
		h.busy--
		if len(h.queue) > 0 {
			next := h.queue[0]
			h.queue = h.queue[1:]
			next()
		}
		done(true)
	})
}
