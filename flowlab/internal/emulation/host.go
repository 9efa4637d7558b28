package emulation

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// hostState is what a host does with packets.
type hostState uint8

const (
	hostServing hostState = iota
	hostCrashed
	hostPoweredOff
)

// host is one emulated host.
type host struct {
	emulation *emulation
	upstream  *directory.Upstream
	state     hostState
	// incarnation counts the starts of the host: flows of earlier ones are lost.
	incarnation int
	// flows is the number of flows that users have open to it.
	flows    int
	slowdown float64
	busy     int
	queue    []func()
	// failedAt is when it crashed or went dark, and found when the first balancer
	// took it for dead since.
	failedAt   time.Time
	detectedAt time.Time
}

// fail ends the host's process or takes its power.
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

// serve works on a request and calls done with whether it was answered; a host
// that is full refuses it.
func (h *host) serve(done func(answered bool)) {
	switch l := &h.emulation.load.Hosts; {
	case h.busy < l.Slots:
		h.startRequest(done)
	case len(h.queue) < l.Queue:
		h.queue = append(h.queue, func() { h.startRequest(done) })
	default:
		done(false)
	}
}

func (h *host) startRequest(done func(bool)) {
	h.busy++
	incarnation := h.incarnation
	mean := h.emulation.load.Hosts.Work.Seconds() * h.slowdown
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
