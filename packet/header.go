// Package packet defines the protocol-neutral view of a caller's datagram that
// routing decisions use.
package packet

import (
	"fmt"
	"net/netip"
	"time"
)

// A Kind classifies a caller's datagram by how it may be forwarded.
type Kind uint8

// Kinds of datagram.
const (
	// KindInvalid is the zero value and is never forwarded.
	KindInvalid Kind = iota
	// KindIdempotent is a request that may be sent to an upstream repeatedly.
	KindIdempotent
	// KindOnce is a non-idempotent request: it is sent to at most one upstream,
	// at most once.
	KindOnce
	// KindWatchOpen opens or refreshes a watch: a long-lived flow of
	// notifications, which in CoAP is an observation (RFC 7641).
	KindWatchOpen
	// KindWatchClose ends a watch.
	KindWatchClose
	// KindPing checks whether the balancer is alive.
	KindPing
)

// String returns k's name in logs and reports.
func (k Kind) String() string {
	switch k {
	case KindInvalid:
		return "invalid"
	case KindIdempotent:
		return "idempotent"
	case KindOnce:
		return "once"
	case KindWatchOpen:
		return "watch-open"
	case KindWatchClose:
		return "watch-close"
	case KindPing:
		return "ping"
	default:
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
}

// MaxTokenSize is the maximum size of a token, in bytes (RFC 7252).
const MaxTokenSize = 8

// A Token identifies an exchange between a caller and the system.
type Token struct {
	// Size is at most MaxTokenSize; the bytes beyond it are zero.
	Size  uint8
	Bytes [MaxTokenSize]byte
}

// TokenOf returns the token with the bytes of b, truncated to MaxTokenSize.
func TokenOf(b []byte) Token {
	var t Token
	t.Size = uint8(copy(t.Bytes[:], b))
	return t
}

// Slice returns t's bytes; it aliases t.
func (t *Token) Slice() []byte {
	return t.Bytes[:t.Size]
}

// A Header holds the parsed fields of a caller's datagram.
type Header struct {
	// Service is the id of the service on whose address the datagram arrived;
	// it is never taken from the datagram's content.
	Service uint32
	Caller  netip.AddrPort
	Kind    Kind
	Token   Token
	// MessageID is the caller's message id.
	MessageID uint16
	// Confirmable is set if the caller retransmits the message until it is
	// answered.
	Confirmable bool
	// Ticket aliases the datagram; it is empty if the datagram has none.
	Ticket []byte
	// Deadline is how long the caller waits; zero means that of the service.
	Deadline time.Duration
	// LaterBlock is set if the request asks for a later block of an answer,
	// which only the upstream of its ticket can send.
	LaterBlock bool
	// Digest is a hash of the request's content without its ticket, deadline,
	// token and message id. It is equal for all retransmissions.
	Digest uint64
}
