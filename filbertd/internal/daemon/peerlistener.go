package daemon

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// A peerListener accepts connections from listed VMs and known members only,
// because the configuration that peers get includes the secret keys of tickets.
type peerListener struct {
	net.Listener
	isPeer func(netip.Addr) bool
	// onRefused is called for each connection from another host.
	onRefused func()
}

// Accept returns the next connection from a known host. It closes connections
// from other hosts.
func (l *peerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, eris.Wrap(err, "accept")
		}
		from, ok := c.RemoteAddr().(*net.TCPAddr)
		if ok && l.isPeer(from.AddrPort().Addr().Unmap()) {
			return c, nil
		}
		_ = c.Close()
		l.onRefused()
	}
}

// newPeerListener returns the listener for peers' calls, which accepts only
// hosts that the tracker knows.
func (d *Daemon) newPeerListener(ctx context.Context) net.Listener {
	return &peerListener{
		Listener: d.controlListener,
		isPeer: func(ip netip.Addr) bool {
			known := false
			d.call(ctx, func(time.Time) { known = d.tracker.KnownHost(ip) })
			return known
		},
		onRefused: func() { d.counters.add("control", "unknown-peer") },
	}
}
