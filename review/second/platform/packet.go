package main

import (
	"encoding/binary"
	"net/netip"
)

// Flags of a packet.
const (
	flagFIN = 1
	flagACK = 2
	flagRST = 16
	flagSYN = 64
)

const headerSize = 31

// packet is the header of a packet of a flow, and its data.
type packet struct {
	echo     uint32
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	sum      uint32
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// marshal appends the datagram of p to b.
func (p *packet) marshal(b []byte) []byte {
	var h [headerSize]byte
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint32(h[0:], p.echo)
	binary.BigEndian.PutUint16(h[4:], p.src.Port())
	copy(h[6:], dst[:])
	binary.BigEndian.PutUint16(h[10:], p.dst.Port())
	copy(h[12:], src[:])
	binary.BigEndian.PutUint16(h[16:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(h[18:], p.sum)
	h[22] = p.flags
	binary.BigEndian.PutUint32(h[23:], p.seq)
	binary.BigEndian.PutUint32(h[27:], p.ack)
	return append(append(b, h[:]...), p.data...)
}

// parsePacket parses a datagram. The data is copied.
func parsePacket(b []byte) (packet, bool) {
	if len(b) < headerSize || headerSize+int(binary.BigEndian.Uint16(b[16:])) != len(b) {
		return packet{}, false
	}
	return packet{
		echo:  binary.BigEndian.Uint32(b[0:]),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[12:16])), binary.BigEndian.Uint16(b[4:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[6:10])), binary.BigEndian.Uint16(b[10:])),
		flags: b[22],
		seq:   binary.BigEndian.Uint32(b[23:]),
		ack:   binary.BigEndian.Uint32(b[27:]),
		sum:   binary.BigEndian.Uint32(b[18:]),
		data:  append([]byte(nil), b[headerSize:]...),
	}, true
}
