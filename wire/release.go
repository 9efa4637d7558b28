package wire

import (
	"encoding/binary"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/keeper"
)

// Layout of a release, as offsets in bytes; numbers are big-endian.
const (
	releaseOffsetFormat      = 0
	releaseOffsetIncarnation = 1
	releaseOffsetSerials     = 9
	serialSize               = 6
	// MaxReleaseSize is the maximum size of a release, in bytes.
	MaxReleaseSize = releaseOffsetSerials + serialSize*keeper.MaxReleases
)

// releaseFormat is the first byte of a release. It differs from the formats of
// other datagrams between balancers.
const releaseFormat = 0xf4

// ErrRelease reports a datagram that is not a release of this format.
var ErrRelease = eris.New("malformed release")

// AppendRelease appends r to buf.
func AppendRelease(buf []byte, r *keeper.Release) []byte {
	buf = append(buf, releaseFormat)
	buf = binary.BigEndian.AppendUint64(buf, r.Incarnation)
	for _, serial := range r.Serials {
		buf = binary.BigEndian.AppendUint16(buf, uint16(serial>>32))
		buf = binary.BigEndian.AppendUint32(buf, uint32(serial))
	}
	return buf
}

// IsRelease reports whether data is a release.
func IsRelease(data []byte) bool {
	return len(data) > 0 && data[releaseOffsetFormat] == releaseFormat
}

// ParseRelease parses data into r; it reuses the memory of r's serials. The
// error is ErrRelease.
func ParseRelease(data []byte, r *keeper.Release) error {
	serials := len(data) - releaseOffsetSerials
	if !IsRelease(data) || serials <= 0 || serials%serialSize != 0 || len(data) > MaxReleaseSize {
		return ErrRelease
	}
	r.Incarnation = binary.BigEndian.Uint64(data[releaseOffsetIncarnation:])
	r.Serials = r.Serials[:0]
	for b := data[releaseOffsetSerials:]; len(b) > 0; b = b[serialSize:] {
		high := uint64(binary.BigEndian.Uint16(b))
		r.Serials = append(r.Serials, high<<32|uint64(binary.BigEndian.Uint32(b[2:])))
	}
	return nil
}
