package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/packet"
)

// Layout of a release, as offsets in bytes; numbers are big-endian.
const (
	releaseOffsetFormat      = 0
	releaseOffsetTokenSize   = 1
	releaseOffsetPort        = 2
	releaseOffsetCaller      = 4
	releaseOffsetToken       = 20
	releaseOffsetUpstream    = 28
	releaseOffsetIncarnation = 32
	releaseOffsetSerial      = 40
	// ReleaseSize is the size of a release, in bytes.
	ReleaseSize = 48
)

// releaseFormat is the number of this layout; it differs from those of other
// datagrams between balancers.
const releaseFormat = 0xf4

// ErrRelease reports a datagram that is no release of this format.
var ErrRelease = eris.New("malformed release")

// AppendRelease appends r to buf.
func AppendRelease(buf []byte, r *keeper.Release) []byte {
	var b [ReleaseSize]byte
	b[releaseOffsetFormat] = releaseFormat
	b[releaseOffsetTokenSize] = r.Token.Size
	binary.BigEndian.PutUint16(b[releaseOffsetPort:], r.Caller.Port())
	ip := r.Caller.Addr().As16()
	copy(b[releaseOffsetCaller:], ip[:])
	copy(b[releaseOffsetToken:], r.Token.Bytes[:])
	binary.BigEndian.PutUint32(b[releaseOffsetUpstream:], r.Upstream)
	binary.BigEndian.PutUint64(b[releaseOffsetIncarnation:], r.Incarnation)
	binary.BigEndian.PutUint64(b[releaseOffsetSerial:], r.Serial)
	return append(buf, b[:]...)
}

// IsRelease reports whether data is a release.
func IsRelease(data []byte) bool {
	return len(data) > 0 && data[0] == releaseFormat
}

// ParseRelease sets r from data. The error is ErrRelease.
func ParseRelease(data []byte, r *keeper.Release) error {
	if len(data) != ReleaseSize || !IsRelease(data) || data[releaseOffsetTokenSize] > packet.MaxTokenSize {
		return ErrRelease
	}
	ip := netip.AddrFrom16([16]byte(data[releaseOffsetCaller:releaseOffsetToken])).Unmap()
	token := packet.TokenOf(data[releaseOffsetToken:releaseOffsetUpstream])
	token.Size = data[releaseOffsetTokenSize]
	for _, c := range token.Bytes[token.Size:] {
		if c != 0 {
			return ErrRelease
		}
	}
	*r = keeper.Release{
		Incarnation: binary.BigEndian.Uint64(data[releaseOffsetIncarnation:]),
		Caller:      netip.AddrPortFrom(ip, binary.BigEndian.Uint16(data[releaseOffsetPort:])),
		Token:       token,
		Upstream:    binary.BigEndian.Uint32(data[releaseOffsetUpstream:]),
		Serial:      binary.BigEndian.Uint64(data[releaseOffsetSerial:]),
	}
	return nil
}
