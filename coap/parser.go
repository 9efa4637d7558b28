// Package coap translates between CoAP datagrams (RFC 7252) and the
// protocol-neutral types that routing decisions use.
package coap

import (
	"hash/maphash"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/packet"
)

// Limits of datagrams.
const (
	// MaxDatagramSize is the maximum size of a parsed datagram, in bytes.
	MaxDatagramSize = 1472
	// MaxOptions is the maximum number of options of a message.
	MaxOptions = 32
	// MaxTicketSize is the maximum size of the Echo option, in bytes (RFC
	// 9175).
	MaxTicketSize = 40
)

// OptionDeadline is the number of the elective option that holds a request's
// deadline in milliseconds. It is from the range for experimental use.
const OptionDeadline message.OptionID = 65024

// Errors for datagrams that are not acceptable requests.
var (
	ErrMalformed  = eris.New("malformed message")
	ErrOversized  = eris.New("oversized message")
	ErrNotRequest = eris.New("not a request")
	// ErrBadOption reports a complete request with an option that is not
	// supported.
	ErrBadOption = eris.New("bad option")
)

// A Parser parses datagrams. It is reused for many of them and not safe for
// concurrent use.
type Parser struct {
	message message.Message
	// seed is the same for all parsers of a process, so that their digests are
	// equal, and differs between processes.
	seed maphash.Seed
	hash maphash.Hash
}

// processSeed is shared by all parsers of this process.
var processSeed = maphash.MakeSeed()

// NewParser returns a parser.
func NewParser() *Parser {
	p := &Parser{
		message: message.Message{
			Options: make(message.Options, 0, MaxOptions),
		},
		seed: processSeed,
	}
	p.hash.SetSeed(p.seed)
	return p
}

// ParseRequest parses a caller's datagram into h, which aliases data. The
// caller and the service come from the socket on which the datagram arrived.
// The error is ErrMalformed, ErrOversized, ErrNotRequest or, with h set,
// ErrBadOption.
func (p *Parser) ParseRequest(data []byte, service uint32, caller netip.AddrPort, h *packet.Header) error {
	if err := p.decode(data); err != nil {
		return err
	}
	m := &p.message
	*h = packet.Header{
		Service:     service,
		Caller:      caller,
		Token:       packet.TokenOf(m.Token),
		MessageID:   uint16(m.MessageID),
		Confirmable: m.Type == message.Confirmable,
	}
	if m.Code == codes.Empty {
		return p.parsePing(h)
	}
	if m.Type != message.Confirmable && m.Type != message.NonConfirmable {
		return ErrNotRequest
	}
	kind := p.kind()
	if kind == packet.KindInvalid {
		return ErrNotRequest
	}
	h.Kind = kind
	p.readOptions(h)
	return checkOptions(m, kind)
}

// ParseResponse parses an upstream's datagram into r, which aliases data. The
// error is ErrMalformed or ErrOversized.
func (p *Parser) ParseResponse(data []byte, r *Response) error {
	if err := p.decode(data); err != nil {
		return err
	}
	m := &p.message
	*r = Response{
		Type:      m.Type,
		Code:      m.Code,
		MessageID: uint16(m.MessageID),
		Token:     packet.TokenOf(m.Token),
		Payload:   m.Payload,
	}
	for _, o := range m.Options {
		switch o.ID {
		case message.Observe:
			r.HasObserve = true
			r.Sequence = uintOf(o.Value)
		case message.MaxAge:
			r.MaxAge = time.Duration(uintOf(o.Value)) * time.Second
		case message.Echo:
			r.Ticket = o.Value
		case message.Block2:
			r.HasBlock2 = true
			r.Block2 = uintOf(o.Value)
		default:
		}
	}
	return nil
}

func (p *Parser) decode(data []byte) error {
	if len(data) > MaxDatagramSize {
		return ErrOversized
	}
	if _, err := coder.DefaultCoder.Decode(data, &p.message); err != nil {
		return ErrMalformed
	}
	return nil
}

// parsePing sets the kind of an empty message, which is a ping if confirmable.
func (p *Parser) parsePing(h *packet.Header) error {
	if p.message.Type != message.Confirmable {
		return ErrNotRequest
	}
	h.Kind = packet.KindPing
	return nil
}

func (p *Parser) kind() packet.Kind {
	switch p.message.Code {
	case codes.GET:
		return p.getKind()
	case codes.PUT, codes.DELETE, codes.FETCH, codes.IPATCH:
		return packet.KindIdempotent
	case codes.POST, codes.PATCH:
		return packet.KindOnce
	default:
		return packet.KindInvalid
	}
}

func (p *Parser) getKind() packet.Kind {
	for _, o := range p.message.Options {
		if o.ID != message.Observe {
			continue
		}
		switch uintOf(o.Value) {
		case 0:
			return packet.KindWatchOpen
		case 1:
			return packet.KindWatchClose
		default:
			return packet.KindInvalid
		}
	}
	return packet.KindIdempotent
}

// readOptions sets the fields of h that come from the options, and the digest
// of the method, the payload and the options except for the ticket and the
// deadline.
func (p *Parser) readOptions(h *packet.Header) {
	p.hash.Reset()
	_ = p.hash.WriteByte(byte(p.message.Code))
	for _, o := range p.message.Options {
		switch o.ID {
		case message.Echo:
			h.Ticket = o.Value
			continue
		case OptionDeadline:
			h.Deadline = time.Duration(uintOf(o.Value)) * time.Millisecond
			continue
		case message.Block2:
			h.LaterBlock = uintOf(o.Value)>>blockNumberShift > 0
		default:
		}
		_ = p.hash.WriteByte(byte(o.ID >> 8))
		_ = p.hash.WriteByte(byte(o.ID))
		_ = p.hash.WriteByte(byte(len(o.Value) >> 8))
		_ = p.hash.WriteByte(byte(len(o.Value)))
		_, _ = p.hash.Write(o.Value)
	}
	_ = p.hash.WriteByte(payloadMarker)
	_, _ = p.hash.Write(p.message.Payload)
	h.Digest = p.hash.Sum64()
}

// payloadMarker separates the options from the payload in the digest, as it
// does on the wire.
const payloadMarker = 0xff

// uintOf returns the value of an option of format uint; bytes after the fourth
// are ignored.
func uintOf(b []byte) uint32 {
	var v uint32
	for _, c := range b[:min(len(b), 4)] {
		v = v<<8 | uint32(c)
	}
	return v
}
