package daemon

import (
	"errors"
	"net"
	"net/netip"

	"filbertworks.example/filbertworks/ring"
)

// readDatagrams adds the datagrams that a socket receives to a ring until the
// socket is closed. template provides all fields of the events except from and
// buffer.
func readDatagrams(socket *net.UDPConn, events *ring.Ring[event], template event) {
	for {
		b := newBuffer()
		n, from, err := socket.ReadFromUDPAddrPort(b.bytes[:])
		if errors.Is(err, net.ErrClosed) {
			b.release()
			return
		}
		if err != nil {
			// A connected socket reports here that the remote host refused a
			// datagram. The request that it belongs to ends at its deadline.
			b.release()
			continue
		}
		b.size = n
		e := template
		e.from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		e.buffer = b
		if !events.Offer(e) {
			b.release()
		}
	}
}
