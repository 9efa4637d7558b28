package emulation

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// condition is what a host does with packets.
type condition uint8

const (
	serving condition = iota
	crashed
	dark
)

// host is one emulated host.
type host struct {
	e         *emulation
	upstream  *directory.Upstream
	condition condition
	// life counts the starts of the host: flows of earlier ones are lost.
	life int
	// flows is the number of flows that users have open to it.
	flows  int
	factor float64
	busy   int
	queue  []func()
	// failed is when it crashed or went dark, and found when the first balancer
	// took it for dead since.
	failed time.Time
	found  time.Time
}

// fail ends the host's process or takes its power.
func (h *host) fail(c condition) {
	h.condition = c
	h.life++
	h.flows = 0
	h.busy = 0
	h.queue = nil
	h.failed, h.found = h.e.now, time.Time{}
}

// recover starts the host again.
func (h *host) recover() {
	h.condition = serving
	h.failed = time.Time{}
}

// serve works on a request and calls done with whether it was answered; a host
// that is full refuses it.
func (h *host) serve(done func(answered bool)) {
	switch l := &h.e.load.Hosts; {
	case h.busy < l.Slots:
		h.work(done)
	case len(h.queue) < l.Queue:
		h.queue = append(h.queue, func() { h.work(done) })
	default:
		done(false)
	}
}

func (h *host) work(done func(bool)) {
	h.busy++
	life := h.life
	mean := h.e.load.Hosts.Work.Seconds() * h.factor
	spread := 0.5 + h.e.rand.Float64()
	h.e.after(time.Duration(mean*spread*float64(time.Second)), func() {
		if h.life != life {
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
