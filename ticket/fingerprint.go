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
	mac     [macSize]byte
}

// FingerprintOf returns the stamp of a sealed ticket of a flow.
func FingerprintOf(data []byte) Fingerprint {
	f := Fingerprint{
		version: binary.BigEndian.Uint32(data[offsetExpiry:]),
		key:     data[offsetKey],
	}
	copy(f.mac[:], data[offsetMAC:Size])
	return f
}

// Matches reports whether data is the sealed ticket of the stamp; t is its
// content, apart from the version.
func (f *Fingerprint) Matches(data []byte, t *Ticket) bool {
	if len(data) != Size || f.version == 0 {
		return false
	}
	var body [Size]byte
	original := *t
	original.Version = f.version
	putBody(body[:], f.key, &original)
	copy(body[offsetMAC:], f.mac[:])
	return subtle.ConstantTimeCompare(body[:], data) == 1
}
