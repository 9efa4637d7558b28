package ticket

import (
	"crypto/subtle"
	"encoding/binary"
)

// A Stamp is what a process that knows a flow must keep of the flow's sealed
// ticket to recognize it without its key. The zero Stamp recognizes none.
type Stamp struct {
	version uint32
	key     uint8
	code    [macSize]byte
}

// StampOf returns the stamp of a sealed ticket of a flow.
func StampOf(data []byte) Stamp {
	s := Stamp{
		version: binary.BigEndian.Uint32(data[offsetExpiry:]),
		key:     data[offsetKey],
	}
	copy(s.code[:], data[offsetMAC:Size])
	return s
}

// Recognizes reports whether data is the sealed ticket of the stamp; t is its
// content, apart from the version.
func (s *Stamp) Recognizes(data []byte, t *Ticket) bool {
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
