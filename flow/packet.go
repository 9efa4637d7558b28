// Package flow decides where the packets of flows go whose content only the two
// ends read: to which upstream a new flow, how an open one is followed, and when
// a client is told to try elsewhere. It has no sockets, goroutines, clock or
// random source of its own: equal inputs give equal decisions.
package flow

import (
	"encoding/binary"
	"net/netip"

	"filbertworks.example/filbertworks/directory"
)

// Flags tell what a packet is for.
type Flags uint8

// Flags of a packet.
const (
	// Open marks the first packet of a flow and its copies.
	Open Flags = 1 << iota
	// Acknowledge tells that Packet.Acknowledged counts.
	Acknowledge
	// Finish tells that the client sends nothing more.
	Finish
	// Reset tells that the client gave the flow up.
	Reset
)

// Has reports whether all flags of o are set.
func (f Flags) Has(o Flags) bool {
	return f&o == o
}

// A Packet is what a balancer reads of a client's packet.
type Packet struct {
	Client netip.AddrPort
	// Service is the address that the client sent the packet to.
	Service netip.AddrPort
	// Ticket names the flow's upstream; zero in the first packet and its copies.
	Ticket directory.Ticket
	Flags  Flags
	// Sequence is the number of the first byte of the content.
	Sequence uint32
	// Acknowledged is the number of the byte that the client expects next.
	Acknowledged uint32
	// Length is that of the content, in bytes.
	Length int
}

// key returns what names the packet's flow.
func (p *Packet) key() key {
	var k key
	client, service := p.Client.Addr().As4(), p.Service.Addr().As4()
	copy(k[0:], client[:])
	copy(k[4:], service[:])
	binary.BigEndian.PutUint16(k[8:], p.Client.Port())
	binary.BigEndian.PutUint16(k[10:], p.Service.Port())
	return k
}

// A key names a flow by its two IPv4 addresses and ports.
type key [12]byte

// client returns the client's address.
func (k key) client() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(k[0:4])), binary.BigEndian.Uint16(k[8:]))
}

// service returns the address that the client sends to.
func (k key) service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(k[4:8])), binary.BigEndian.Uint16(k[10:]))
}

// hash returns a value that is spread evenly over the flows.
func (k key) hash() uint64 {
	low := uint64(binary.BigEndian.Uint32(k[8:]))
	return binary.BigEndian.Uint64(k[0:])*0x9e3779b97f4a7c15 ^ low
}
