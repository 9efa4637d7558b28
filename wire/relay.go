// Package wire is the protocol between the system's own processes: datagrams
// relayed from the balancer that received them to the keeper of an upstream,
// and calls between peers.
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

// MaxExcluded is the number of upstreams that a relay names as already tried.
const MaxExcluded = 3

// MaxElapsed is the longest time that a relay tells of; it exceeds
// config.MaxDeadline.
const MaxElapsed = (1<<16 - 1) * time.Millisecond

// RelayHeaderSize is the size of a relay's header, in bytes.
const RelayHeaderSize = relayOffsetExcluded + 4*MaxExcluded

// relayFormat is the number of this layout.
const relayFormat = 0xf1

// ErrRelay reports a datagram that is no relay of this format.
var ErrRelay = eris.New("malformed relay")

// A Relay hands a caller's datagram to the keeper of an upstream.
type Relay struct {
	// Hops counts the balancers that passed the datagram on.
	Hops uint8
	// Attempts counts the upstreams that refused the request so far; the first
	// MaxExcluded of them are named in Excluded.
	Attempts uint8
	Caller   netip.AddrPort
	// Version is the configuration in force at the sender.
	Version  config.Version
	Service  uint32
	Upstream uint32
	Excluded [MaxExcluded]uint32
	// Elapsed is the part of the request's deadline that is used up, in whole
	// milliseconds up to MaxElapsed.
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

// ParseRelay sets r from data and returns the caller's datagram, which aliases
// data. The error is ErrRelay.
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
