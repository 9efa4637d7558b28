package daemon

import (
	"net"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/ring"
)

// maxSendDelay is the longest time that a datagram may wait to be sent. Older
// ones are dropped, because decisions made before the process was paused may no
// longer hold.
const maxSendDelay = 500 * time.Millisecond

// An outgoing is a datagram that waits to be sent.
type outgoing struct {
	socket *net.UDPConn
	// to is the destination, or the zero value if socket is connected.
	to netip.AddrPort
	// decidedAt is when the decision to send the datagram was made.
	decidedAt time.Time
	buffer    *buffer
}

// A sender writes datagrams in its own goroutine, so that the loop can process
// the next datagram meanwhile.
type sender struct {
	// name identifies the direction in the reasons of counters.
	name     string
	queue    *ring.Ring[outgoing]
	counters *counters
}

func newSender(name string, size int, c *counters) *sender {
	return &sender{
		name:     name,
		queue:    ring.New[outgoing](size),
		counters: c,
	}
}

// run writes datagrams until stop is closed, and then the ones that still wait.
func (s *sender) run(stop <-chan struct{}) {
	for {
		select {
		case p := <-s.queue.C():
			s.write(&p)
		case <-stop:
			s.flush()
			return
		}
	}
}

// send queues a copy of the datagram b, whose sending was decided at now. It
// drops and counts the datagram if the queue is full.
func (s *sender) send(now time.Time, socket *net.UDPConn, to netip.AddrPort, b []byte) {
	buf := newBuffer()
	buf.size = copy(buf.bytes[:], b)
	queued := s.queue.Offer(outgoing{
		socket:    socket,
		to:        to,
		decidedAt: now,
		buffer:    buf,
	})
	if !queued {
		buf.release()
		s.counters.add("send", s.name+"-full")
	}
}

// flush writes the datagrams that wait.
func (s *sender) flush() {
	for {
		select {
		case p := <-s.queue.C():
			s.write(&p)
		default:
			return
		}
	}
}

// write sends a datagram, or drops and counts it if it waited longer than
// maxSendDelay.
func (s *sender) write(p *outgoing) {
	defer p.buffer.release()
	if time.Since(p.decidedAt) > maxSendDelay {
		s.counters.add("send", s.name+"-stale")
		return
	}
	var err error
	if p.to.IsValid() {
		_, err = p.socket.WriteToUDPAddrPort(p.buffer.data(), p.to)
	} else {
		_, err = p.socket.Write(p.buffer.data())
	}
	if err != nil {
		s.counters.add("send", s.name)
	}
}
