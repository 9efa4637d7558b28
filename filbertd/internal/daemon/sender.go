package daemon

import (
	"net"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/ring"
)

// maxSendDelay bounds how long a datagram waits to be sent: what a paused
// process decided before its pause may have lost its ground.
const maxSendDelay = 500 * time.Millisecond

// A outgoing is one datagram on its way out.
type outgoing struct {
	socket *net.UDPConn
	// to is the zero value where socket is connected.
	to netip.AddrPort
	// decidedAt is when the datagram was decidedAt on.
	decidedAt time.Time
	buffer    *buffer
}

// A sender writes datagrams in a goroutine of its own, so that the loop decides
// on the next datagram meanwhile.
type sender struct {
	// name is that of the direction in counters.
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

// run writes datagrams until stop is closed, and then those that wait.
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

// send queues a copy of b, decided on at now.
func (s *sender) send(now time.Time, socket *net.UDPConn, to netip.AddrPort, b []byte) {
	p := newBuffer()
	p.size = copy(p.bytes[:], b)
	queued := s.queue.Offer(outgoing{
		socket:    socket,
		to:        to,
		decidedAt: now,
		buffer:    p,
	})
	if !queued {
		p.release()
		s.counters.add("send", s.name+"-full")
	}
}

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
