package daemon

import (
	"errors"
	"net"
	"net/netip"

	"filbertworks.example/filbertworks/ring"
)

// readDatagrams offers the datagrams of a socket to a ring until the socket is
// closed. template gives all fields of the events but from and buffer.
func readDatagrams(socket *net.UDPConn, events *ring.Ring[event], template event) {
	for {
		b := newBuffer()
		n, from, err := socket.ReadFromUDPAddrPort(b.bytes[:])
		if errors.Is(err, net.ErrClosed) {
			b.release()
			return
		}
		if err != nil {
			// A connected socket reports refused datagrams here; the work that
			// they belong to ends by its deadline.
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
