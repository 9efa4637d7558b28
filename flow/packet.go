// Package flow decides what a balancer does with the packets of flows whose content
// only the two endpoints read. It chooses the upstream of a new flow, forwards the
// packets of an open flow to its upstream, and resets flows whose upstream has failed,
// so that their clients connect elsewhere. It has no sockets, goroutines, clock or
// random source of its own: equal inputs give equal decisions.
package flow

import (
	"encoding/binary"
	"net/netip"

	"filbertworks.example/filbertworks/directory"
)

// Flags are the control flags of a packet.
type Flags uint8

// Flags of a packet.
const (
	// FlagOpen marks the first packet of a flow and its retransmissions.
	FlagOpen Flags = 1 << iota
	// FlagAcknowledge means that Packet.Acknowledged is valid.
	FlagAcknowledge
	// FlagFinish means that the client sends nothing more.
	FlagFinish
	// FlagReset means that the client has aborted the flow.
	FlagReset
)

// Has reports whether all flags of o are set.
func (f Flags) Has(o Flags) bool {
	return f&o == o
}

// A Packet holds the header fields of a client's packet that a balancer reads.
type Packet struct {
	Client netip.AddrPort
	// Service is the address that the client sent the packet to.
	Service netip.AddrPort
	// Ticket names the flow's upstream; zero in the first packet and its
	// retransmissions.
	Ticket directory.Ticket
	Flags  Flags
	// Sequence is the sequence number of the first byte of the content.
	Sequence uint32
	// Acknowledged is the sequence number that the client expects next.
	Acknowledged uint32
	// Length is the length of the content in bytes.
	Length int
	// Copy is which retransmission of a flow's first packet this is, as the client counts
	// them; zero for the first packet itself and for later ones.
	Copy int
	// Delayed reports whether the packet may have waited while the balancer's process did
	// not run.
	Delayed bool
}

// key returns the key of the packet's flow.
func (p *Packet) key() key {
	return newKey(p.Client, p.Service)
}

// flow returns the ID of the flow whose first packet p is, or a copy of that.
func (p *Packet) flow() ID {
	return ID{
		Client:   p.Client,
		Service:  p.Service,
		Sequence: p.Sequence,
	}
}

// A key identifies a flow by its two IPv4 addresses and ports.
type key [12]byte

// client returns the client's address.
func (k key) client() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(k[0:4])), binary.BigEndian.Uint16(k[8:]))
}

// service returns the address that the client connects to.
func (k key) service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(k[4:8])), binary.BigEndian.Uint16(k[10:]))
}

// hash returns a hash value that is distributed evenly over flows.
func (k key) hash() uint64 {
	low := uint64(binary.BigEndian.Uint32(k[8:]))
	return binary.BigEndian.Uint64(k[0:])*0x9e3779b97f4a7c15 ^ low
}
