package daemon

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// A guard accepts connections of listed VMs and known members only: what peers
// get includes the keys of tickets.
type guard struct {
	net.Listener
	known func(netip.Addr) bool
	// refused counts a connection of somebody else.
	refused func()
}

// Accept returns the next connection of a known host.
func (g *guard) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, eris.Wrap(err, "accept")
		}
		from, ok := c.RemoteAddr().(*net.TCPAddr)
		if ok && g.known(from.AddrPort().Addr().Unmap()) {
			return c, nil
		}
		_ = c.Close()
		g.refused()
	}
}

// guard returns the listener for peers' calls.
func (d *Daemon) guard(ctx context.Context) net.Listener {
	return &guard{
		Listener: d.control,
		known: func(ip netip.Addr) bool {
			known := false
			d.call(ctx, func(time.Time) { known = d.tracker.KnownHost(ip) })
			return known
		},
		refused: func() { d.counters.add("control", "unknown-peer") },
	}
}
