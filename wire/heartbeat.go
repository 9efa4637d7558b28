package wire

import (
	"encoding/binary"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// Layout of a heartbeat, as offsets in bytes; numbers are big-endian.
const (
	heartbeatOffsetFormat      = 0
	heartbeatOffsetLeaving     = 1
	heartbeatOffsetIncarnation = 2
	heartbeatOffsetVersion     = 10
	// HeartbeatSize is the size of a heartbeat, in bytes.
	HeartbeatSize = 18
)

// heartbeatFormat is the number of this layout; it differs from relayFormat.
const heartbeatFormat = 0xf2

// ErrHeartbeat reports a datagram that is no heartbeat of this format.
var ErrHeartbeat = eris.New("malformed heartbeat")

// A Heartbeat tells peers that a process lives; it comes from the relay
// address of its sender.
type Heartbeat struct {
	Incarnation uint64
	Leaving     bool
	// Version is the configuration in force at the sender.
	Version config.Version
}

// AppendHeartbeat appends h to buf.
func AppendHeartbeat(buf []byte, h *Heartbeat) []byte {
	var b [HeartbeatSize]byte
	b[heartbeatOffsetFormat] = heartbeatFormat
	if h.Leaving {
		b[heartbeatOffsetLeaving] = 1
	}
	binary.BigEndian.PutUint64(b[heartbeatOffsetIncarnation:], h.Incarnation)
	binary.BigEndian.PutUint64(b[heartbeatOffsetVersion:], uint64(h.Version))
	return append(buf, b[:]...)
}

// IsHeartbeat reports whether data is a heartbeat rather than a relay.
func IsHeartbeat(data []byte) bool {
	return len(data) > 0 && data[0] == heartbeatFormat
}

// ParseHeartbeat sets h from data. The error is ErrHeartbeat.
func ParseHeartbeat(data []byte, h *Heartbeat) error {
	if len(data) != HeartbeatSize || !IsHeartbeat(data) || data[heartbeatOffsetLeaving] > 1 {
		return ErrHeartbeat
	}
	*h = Heartbeat{
		Leaving:     data[heartbeatOffsetLeaving] == 1,
		Incarnation: binary.BigEndian.Uint64(data[heartbeatOffsetIncarnation:]),
		Version:     config.Version(binary.BigEndian.Uint64(data[heartbeatOffsetVersion:])),
	}
	return nil
}
