package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Layout of a packet: a header of 31 bytes, then up to 1,200 bytes of data.
const (
	headerSize = 31
	maxData    = 1200
	numberSize = 8
)

// Flags of a packet.
const (
	flagFIN = 1
	flagACK = 2
	flagRST = 16
	flagSYN = 64
)

// A packet is one packet of a flow. The echo is the only field that the system may change.
type packet struct {
	echo     uint32
	src, dst netip.AddrPort
	sum      uint32
	flags    byte
	seq, ack uint32
	data     []byte
}

// keyedSum returns the sum over all fields except echo and pad. The key is known to clients and
// hosts only.
func (p *packet) keyedSum() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the stand-ins"))
	var head [21]byte
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(head[0:], src[:])
	copy(head[4:], dst[:])
	binary.BigEndian.PutUint16(head[8:], p.src.Port())
	binary.BigEndian.PutUint16(head[10:], p.dst.Port())
	head[12] = p.flags
	binary.BigEndian.PutUint32(head[13:], p.seq)
	binary.BigEndian.PutUint32(head[17:], p.ack)
	_, _ = h.Write(head[:])
	_, _ = h.Write(p.data)
	return h.Sum32() | 1
}

func (p *packet) marshal() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint32(b[0:], p.echo)
	binary.BigEndian.PutUint16(b[4:], p.src.Port())
	copy(b[6:], dst[:])
	binary.BigEndian.PutUint16(b[10:], p.dst.Port())
	copy(b[12:], src[:])
	binary.BigEndian.PutUint16(b[16:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[18:], p.keyedSum())
	b[22] = p.flags
	binary.BigEndian.PutUint32(b[23:], p.seq)
	binary.BigEndian.PutUint32(b[27:], p.ack)
	return append(b, p.data...)
}

func parsePacket(b []byte) (*packet, bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[16:])) {
		return nil, false
	}
	return &packet{
		echo:  binary.BigEndian.Uint32(b[0:]),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[12:16])), binary.BigEndian.Uint16(b[4:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[6:10])), binary.BigEndian.Uint16(b[10:])),
		sum:   binary.BigEndian.Uint32(b[18:]),
		flags: b[22],
		seq:   binary.BigEndian.Uint32(b[23:]),
		ack:   binary.BigEndian.Uint32(b[27:]),
		data:  append([]byte(nil), b[headerSize:]...),
	}, true
}

// flowID identifies a flow by the addresses and ports of its client and of its service.
type flowID struct {
	client, service netip.AddrPort
}
