package ticket

import (
	"crypto/subtle"
	"encoding/binary"
)

// A Fingerprint is the part of a flow's sealed ticket that the flow's keeper
// stores to recognize the ticket without the key. The zero Fingerprint matches
// none.
type Fingerprint struct {
	version uint32
	key     uint8
	mac     [macSize]byte
}

// FingerprintOf returns the fingerprint of a flow's sealed ticket.
func FingerprintOf(data []byte) Fingerprint {
	f := Fingerprint{
		version: binary.BigEndian.Uint32(data[offsetExpiry:]),
		key:     data[offsetKey],
	}
	copy(f.mac[:], data[offsetMAC:Size])
	return f
}

// Matches reports whether data is the sealed ticket of the fingerprint; t is
// the ticket's content except for the version.
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
