// Package ticket seals what balancers must know of a flow into a value that
// the caller carries, so that any balancer can follow it without state.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"hash"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// Size is the size of a sealed ticket, in bytes: the most that Echo holds
// (RFC 9175).
const Size = 40

// Layout of a sealed ticket, as offsets in bytes; numbers are big-endian.
const (
	offsetKey         = 0
	offsetFormat      = 1
	offsetService     = 2
	offsetUpstream    = 6
	offsetIncarnation = 10
	offsetSerial      = 18
	offsetExpiry      = 24
	offsetMAC         = 28
	macSize           = Size - offsetMAC
)

// Formats of this layout: what the field at offsetExpiry holds.
const (
	// formatExecution tickets hold the expiry.
	formatExecution = 1
	// formatFlow tickets hold the version.
	formatFlow = 2
)

// MaxSerial is the greatest serial that a ticket holds.
const MaxSerial = 1<<48 - 1

// expiryUnit is the resolution of a ticket's expiry.
const expiryUnit = 10 * time.Millisecond

// ErrInvalid reports a ticket that is damaged, forged, of another caller or
// sealed with a key that is not in force.
var ErrInvalid = eris.New("invalid ticket")

// A Ticket names the upstream of a flow, and one execution at its keeper.
type Ticket struct {
	Service  uint32
	Upstream uint32
	// Incarnation is the keeper process that alone may execute Serial.
	Incarnation uint64
	// Serial is unique within Incarnation and at most MaxSerial.
	Serial uint64
	// Expiry ends the right to start the execution. It counts from the start
	// of Incarnation, on that process's own monotonic clock, in steps of 10 ms.
	Expiry time.Duration
	// Version is not zero on the ticket of a flow, which has no expiry and gives
	// no right to an execution. It is the configuration version in force at the
	// keeper, by which a balancer sees that its own is older.
	Version uint32
}

// IsExecution reports whether t names an execution.
func (t *Ticket) IsExecution() bool {
	return t.Version == 0
}

// A Key is a secret with the number that tickets name it by.
type Key struct {
	ID     uint8
	Secret []byte
}

// A Sealer seals and opens tickets; it is not safe for concurrent use.
type Sealer struct {
	// keys is not empty; the first key seals.
	keys []sealKey
	sum  [sha256.Size]byte
	in   [offsetMAC + 16]byte
}

type sealKey struct {
	id   uint8
	hash hash.Hash
}

// NewSealer returns a sealer; the first of keys seals and all of them open.
func NewSealer(keys ...Key) *Sealer {
	s := &Sealer{}
	for _, k := range keys {
		s.keys = append(s.keys, sealKey{
			id:   k.ID,
			hash: hmac.New(sha256.New, k.Secret),
		})
	}
	return s
}

// Open returns the ticket that data seals for a caller. The caller is bound by
// its IP address, not its port, so that a flow can move to a fresh source
// port. The error is ErrInvalid.
func (s *Sealer) Open(data []byte, caller netip.Addr) (Ticket, error) {
	if len(data) != Size || (data[offsetFormat] != formatExecution && data[offsetFormat] != formatFlow) {
		return Ticket{}, ErrInvalid
	}
	k := s.key(data[offsetKey])
	if k == nil {
		return Ticket{}, ErrInvalid
	}
	mac := s.mac(k, data, caller)
	if subtle.ConstantTimeCompare(mac, data[offsetMAC:]) != 1 {
		return Ticket{}, ErrInvalid
	}
	t := Ticket{
		Service:     binary.BigEndian.Uint32(data[offsetService:]),
		Upstream:    binary.BigEndian.Uint32(data[offsetUpstream:]),
		Incarnation: binary.BigEndian.Uint64(data[offsetIncarnation:]),
		Serial:      uint48(data[offsetSerial:]),
	}
	trailer := binary.BigEndian.Uint32(data[offsetExpiry:])
	if data[offsetFormat] == formatFlow {
		t.Version = trailer
	} else {
		t.Expiry = time.Duration(trailer) * expiryUnit
	}
	return t, nil
}

// Seal writes t, sealed for a caller, into out, which has Size bytes.
func (s *Sealer) Seal(out []byte, t Ticket, caller netip.Addr) {
	k := &s.keys[0]
	out = out[:Size]
	putBody(out, k.id, &t)
	copy(out[offsetMAC:], s.mac(k, out, caller))
}

func (s *Sealer) key(id uint8) *sealKey {
	for i := range s.keys {
		if s.keys[i].id == id {
			return &s.keys[i]
		}
	}
	return nil
}

// mac returns the code of a ticket's body and its caller, valid until the next
// call.
func (s *Sealer) mac(k *sealKey, data []byte, caller netip.Addr) []byte {
	copy(s.in[:], data[:offsetMAC])
	ip := caller.As16()
	copy(s.in[offsetMAC:], ip[:])
	k.hash.Reset()
	_, _ = k.hash.Write(s.in[:])
	return k.hash.Sum(s.sum[:0])[:macSize]
}

// putBody writes a ticket without its code.
func putBody(out []byte, key uint8, t *Ticket) {
	out[offsetKey] = key
	out[offsetFormat] = formatExecution
	binary.BigEndian.PutUint32(out[offsetService:], t.Service)
	binary.BigEndian.PutUint32(out[offsetUpstream:], t.Upstream)
	binary.BigEndian.PutUint64(out[offsetIncarnation:], t.Incarnation)
	putUint48(out[offsetSerial:], t.Serial)
	trailer := uint32(t.Expiry / expiryUnit)
	if !t.IsExecution() {
		out[offsetFormat] = formatFlow
		trailer = t.Version
	}
	binary.BigEndian.PutUint32(out[offsetExpiry:], trailer)
}

func putUint48(b []byte, v uint64) {
	binary.BigEndian.PutUint16(b, uint16(v>>32))
	binary.BigEndian.PutUint32(b[2:], uint32(v))
}

func uint48(b []byte) uint64 {
	return uint64(binary.BigEndian.Uint16(b))<<32 | uint64(binary.BigEndian.Uint32(b[2:]))
}
