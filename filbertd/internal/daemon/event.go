package daemon

import "net/netip"

// A source is the kind of socket on which a datagram was received.
type source uint8

const (
	sourceCaller source = iota
	sourcePeer
	sourceUpstream
)

// An event is a received datagram that waits for the loop.
type event struct {
	source source
	// id is the ID of the service for a caller's datagram, and of the upstream
	// for an upstream's datagram.
	id   uint32
	from netip.AddrPort
	// path is set for an upstream's datagram only.
	path *path
	// buffer holds the datagram. The loop releases it.
	buffer *buffer
}
