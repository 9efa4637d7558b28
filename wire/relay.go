// Package wire defines the protocol between the system's own processes:
// datagrams, such as relays from the balancer that received a caller's datagram
// to the keeper of an upstream, and calls between peers.
package wire

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// Layout of a relay's header, as offsets in bytes; numbers are big-endian.
const (
	relayOffsetFormat   = 0
	relayOffsetHops     = 1
	relayOffsetAttempts = 2
	relayOffsetCaller   = 4
	relayOffsetPort     = 20
	relayOffsetElapsed  = 22
	relayOffsetVersion  = 24
	relayOffsetService  = 32
	relayOffsetUpstream = 36
	relayOffsetExcluded = 40
)

// MaxExcluded is the maximum number of upstreams that a relay lists as already
// tried.
const MaxExcluded = 3

// MaxElapsed is the longest elapsed time that a relay can hold; it exceeds
// config.MaxDeadline.
const MaxElapsed = (1<<16 - 1) * time.Millisecond

// RelayHeaderSize is the size of a relay's header, in bytes.
const RelayHeaderSize = relayOffsetExcluded + 4*MaxExcluded

// relayFormat is the first byte of a relay.
const relayFormat = 0xf1

// ErrRelay reports a datagram that is not a relay of this format.
var ErrRelay = eris.New("malformed relay")

// A Relay passes a caller's datagram to the keeper of an upstream.
type Relay struct {
	// Hops is the number of balancers that relayed the datagram.
	Hops uint8
	// Attempts is the number of upstreams that refused the request so far; the
	// first MaxExcluded of them are listed in Excluded.
	Attempts uint8
	Caller   netip.AddrPort
	// Version is the configuration version of the sender.
	Version  config.Version
	Service  uint32
	Upstream uint32
	Excluded [MaxExcluded]uint32
	// Elapsed is the used part of the request's deadline, in whole milliseconds up
	// to MaxElapsed.
	Elapsed time.Duration
}

// AppendRelay appends the header of r and a caller's datagram to buf.
func AppendRelay(buf []byte, r *Relay, datagram []byte) []byte {
	var h [RelayHeaderSize]byte
	h[relayOffsetFormat] = relayFormat
	h[relayOffsetHops] = r.Hops
	h[relayOffsetAttempts] = r.Attempts
	ip := r.Caller.Addr().As16()
	copy(h[relayOffsetCaller:], ip[:])
	binary.BigEndian.PutUint16(h[relayOffsetPort:], r.Caller.Port())
	elapsed := min(r.Elapsed, MaxElapsed) / time.Millisecond
	binary.BigEndian.PutUint16(h[relayOffsetElapsed:], uint16(elapsed))
	binary.BigEndian.PutUint64(h[relayOffsetVersion:], uint64(r.Version))
	binary.BigEndian.PutUint32(h[relayOffsetService:], r.Service)
	binary.BigEndian.PutUint32(h[relayOffsetUpstream:], r.Upstream)
	for i, id := range r.Excluded {
		binary.BigEndian.PutUint32(h[relayOffsetExcluded+4*i:], id)
	}
	return append(append(buf, h[:]...), datagram...)
}

// ParseRelay parses data into r and returns the caller's datagram, which
// aliases data. The error is ErrRelay.
func ParseRelay(data []byte, r *Relay) ([]byte, error) {
	if len(data) <= RelayHeaderSize || data[relayOffsetFormat] != relayFormat {
		return nil, ErrRelay
	}
	ip := netip.AddrFrom16([16]byte(data[relayOffsetCaller:relayOffsetPort])).Unmap()
	*r = Relay{
		Hops:     data[relayOffsetHops],
		Attempts: data[relayOffsetAttempts],
		Caller:   netip.AddrPortFrom(ip, binary.BigEndian.Uint16(data[relayOffsetPort:])),
		Version:  config.Version(binary.BigEndian.Uint64(data[relayOffsetVersion:])),
		Service:  binary.BigEndian.Uint32(data[relayOffsetService:]),
		Upstream: binary.BigEndian.Uint32(data[relayOffsetUpstream:]),
		Elapsed:  time.Duration(binary.BigEndian.Uint16(data[relayOffsetElapsed:])) * time.Millisecond,
	}
	for i := range r.Excluded {
		r.Excluded[i] = binary.BigEndian.Uint32(data[relayOffsetExcluded+4*i:])
	}
	return data[RelayHeaderSize:], nil
}
