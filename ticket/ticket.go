// Package ticket seals the state of a flow that balancers need into a value
// that the caller carries, so that any balancer can route the flow without
// storing that state.
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

// Size is the size of a sealed ticket, in bytes. It is the maximum size of the
// Echo option (RFC 9175).
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

// Formats of the layout. They differ in the field at offsetExpiry.
const (
	// formatExecution tickets have the expiry there.
	formatExecution = 1
	// formatFlow tickets have the version there.
	formatFlow = 2
)

// MaxSerial is the highest serial that a ticket can hold.
const MaxSerial = 1<<48 - 1

// expiryUnit is the resolution of a ticket's expiry.
const expiryUnit = 10 * time.Millisecond

// ErrInvalid reports a ticket that is damaged, forged, issued to another caller
// or sealed with a key that is not in use.
var ErrInvalid = eris.New("invalid ticket")

// A Ticket identifies the upstream of a flow, and optionally one execution of a
// request at the upstream's keeper.
type Ticket struct {
	Service  uint32
	Upstream uint32
	// Incarnation identifies the keeper process, the only one that may execute
	// Serial.
	Incarnation uint64
	// Serial is unique within Incarnation and at most MaxSerial.
	Serial uint64
	// Expiry is the end of the time in which the execution may be started. It
	// counts from the start of Incarnation, on that process's own monotonic clock,
	// in steps of 10 ms.
	Expiry time.Duration
	// Version is nonzero on the ticket of a flow, which has no expiry and grants
	// no execution. It is the keeper's configuration version, by which a balancer
	// detects that its own is older.
	Version uint32
}

// IsExecution reports whether t grants an execution.
func (t *Ticket) IsExecution() bool {
	return t.Version == 0
}

// A Key is a secret and the number by which tickets refer to it.
type Key struct {
	ID     uint8
	Secret []byte
}

// A Sealer seals and opens tickets; it is not safe for concurrent use.
type Sealer struct {
	// keys has at least one key; the first one seals.
	keys []sealKey
	// sum and in are scratch space of mac.
	sum [sha256.Size]byte
	in  [offsetMAC + 16]byte
}

type sealKey struct {
	id   uint8
	hash hash.Hash
}

// NewSealer returns a sealer that seals with the first of keys and opens with
// all of them. It needs at least one key.
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

// Open returns the ticket that is sealed in data for a caller. A ticket is
// bound to the caller's IP address but not to its port, so that a flow can move
// to a new source port. The error is ErrInvalid.
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

// Seal writes t, sealed for a caller, to the first Size bytes of out.
func (s *Sealer) Seal(out []byte, t Ticket, caller netip.Addr) {
	k := &s.keys[0]
	out = out[:Size]
	putBody(out, k.id, &t)
	copy(out[offsetMAC:], s.mac(k, out, caller))
}

// key returns the key with an id, or nil.
func (s *Sealer) key(id uint8) *sealKey {
	for i := range s.keys {
		if s.keys[i].id == id {
			return &s.keys[i]
		}
	}
	return nil
}

// mac returns the authentication code (truncated HMAC-SHA-256) of a ticket's
// body and its caller. It is valid until the next call.
func (s *Sealer) mac(k *sealKey, data []byte, caller netip.Addr) []byte {
	copy(s.in[:], data[:offsetMAC])
	ip := caller.As16()
	copy(s.in[offsetMAC:], ip[:])
	k.hash.Reset()
	_, _ = k.hash.Write(s.in[:])
	return k.hash.Sum(s.sum[:0])[:macSize]
}

// putBody writes a ticket without its authentication code.
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
