package main

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// Layout and flags of a packet, as PROTOCOL.md's example gives them.
const (
	headerSize = 31
	maxData    = 1200

	flagFIN = 1
	flagACK = 2
	flagRST = 16
	flagSYN = 64
)

// endpoint is the address and port of one end of a flow.
type endpoint = netip.AddrPort

type packet struct {
	echo     uint32
	src, dst endpoint
	flags    byte
	seq, ack uint32
	sum      uint32
	data     []byte
}

var errPacket = errors.New("malformed packet")

// marshal returns the packet's datagram, with a keyed sum unless it is a reset of the system.
func (p *packet) marshal() []byte {
	b := make([]byte, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.echo)
	binary.BigEndian.PutUint16(b[4:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[6:], dst[:])
	binary.BigEndian.PutUint16(b[10:], p.dst.Port())
	copy(b[12:], src[:])
	binary.BigEndian.PutUint16(b[16:], uint16(len(p.data)))
	b[22] = p.flags
	binary.BigEndian.PutUint32(b[23:], p.seq)
	binary.BigEndian.PutUint32(b[27:], p.ack)
	copy(b[headerSize:], p.data)
	binary.BigEndian.PutUint32(b[18:], checksum(b))
	return b
}

// checksum is a keyed sum over all fields except echo, pad and sum.
func checksum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of this run"))
	_, _ = h.Write(b[4:18])
	_, _ = h.Write(b[22:])
	return h.Sum32() | 1
}

func parse(b []byte) (*packet, error) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[16:])) != len(b)-headerSize {
		return nil, errPacket
	}
	p := &packet{
		echo:  binary.BigEndian.Uint32(b[0:]),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[6:10])), binary.BigEndian.Uint16(b[10:])),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[12:16])), binary.BigEndian.Uint16(b[4:])),
		sum:   binary.BigEndian.Uint32(b[18:]),
		flags: b[22],
		seq:   binary.BigEndian.Uint32(b[23:]),
		ack:   binary.BigEndian.Uint32(b[27:]),
		data:  append([]byte(nil), b[headerSize:]...),
	}
	if p.sum != 0 && p.sum != checksum(b) {
		return nil, errPacket
	}
	return p, nil
}
