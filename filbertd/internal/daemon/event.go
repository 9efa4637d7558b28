package daemon

import "net/netip"

// A source tells from which kind of socket a datagram came.
type source uint8

const (
	sourceCaller source = iota
	sourcePeer
	sourceUpstream
)

// An event is one datagram on its way to the loop.
type event struct {
	source source
	// id is the service of a caller's datagram, and the upstream of an
	// upstream's.
	id   uint32
	from netip.AddrPort
	// path is set on an upstream's datagrams.
	path *path
	// buffer is released by the loop.
	buffer *buffer
}
