package ticket

import (
	"crypto/subtle"
	"encoding/binary"
)

// A Fingerprint is what a process that knows a flow must keep of the flow's sealed
// ticket to recognize it without its key. The zero Fingerprint recognizes none.
type Fingerprint struct {
	version uint32
	key     uint8
	code    [macSize]byte
}

// FingerprintOf returns the stamp of a sealed ticket of a flow.
func FingerprintOf(data []byte) Fingerprint {
	s := Fingerprint{
		version: binary.BigEndian.Uint32(data[offsetExpiry:]),
		key:     data[offsetKey],
	}
	copy(s.code[:], data[offsetMAC:Size])
	return s
}

// Matches reports whether data is the sealed ticket of the stamp; t is its
// content, apart from the version.
func (s *Fingerprint) Matches(data []byte, t *Ticket) bool {
	if len(data) != Size || s.version == 0 {
		return false
	}
	var body [Size]byte
	stamped := *t
	stamped.Version = s.version
	putBody(body[:], s.key, &stamped)
	copy(body[offsetMAC:], s.code[:])
	return subtle.ConstantTimeCompare(body[:], data) == 1
}
