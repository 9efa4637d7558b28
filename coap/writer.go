package coap

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/packet"
)

// An Envelope holds the fields that a balancer replaces in a message that it
// forwards.
type Envelope struct {
	Type      message.Type
	MessageID uint16
	Token     packet.Token
	// Ticket becomes the Echo option; if it is empty, Echo is removed.
	Ticket []byte
	// Deadline becomes OptionDeadline if it is above zero; otherwise that option
	// is removed.
	Deadline time.Duration
}

// A Reply is an answer that a balancer sends on its own.
type Reply struct {
	Type      message.Type
	Code      codes.Code
	MessageID uint16
	Token     packet.Token
	// MaxAge is sent if it is above zero, rounded up to seconds.
	MaxAge  time.Duration
	Ticket  []byte
	Payload string
}

// A Writer encodes datagrams. It is reused for many of them and not safe for
// concurrent use.
type Writer struct {
	parser  *Parser
	options message.Options
	buffer  []byte
	// uints holds the values of options of format uint.
	uints [8]byte
}

// NewWriter returns a writer.
func NewWriter() *Writer {
	return &Writer{
		parser:  NewParser(),
		options: make(message.Options, 0, MaxOptions+3),
		buffer:  make([]byte, MaxDatagramSize+MaxTicketSize+64),
	}
}

// Empty returns an empty message of a type. It is valid until the next call.
func (w *Writer) Empty(t message.Type, id uint16) []byte {
	b := w.buffer[:4]
	b[0] = 1<<6 | byte(t)<<4
	b[1] = byte(codes.Empty)
	binary.BigEndian.PutUint16(b[2:], id)
	return b
}

// Forward returns datagram with the fields of e replaced. It is valid until the
// next call. The error is ErrMalformed or ErrOversized.
func (w *Writer) Forward(datagram []byte, e *Envelope) ([]byte, error) {
	if err := w.parser.decode(datagram); err != nil {
		return nil, err
	}
	m := w.parser.message
	w.options = w.options[:0]
	for _, o := range m.Options {
		if o.ID != message.Echo && o.ID != OptionDeadline {
			w.options = append(w.options, o)
		}
	}
	if len(e.Ticket) > 0 {
		w.insert(message.Echo, e.Ticket)
	}
	if e.Deadline > 0 {
		w.insert(OptionDeadline, w.uintValue(0, uint32(e.Deadline.Milliseconds())))
	}
	m.Options = w.options
	m.Type = e.Type
	m.MessageID = int32(e.MessageID)
	m.Token = e.Token.Slice()
	return w.encode(&m)
}

// Reply returns the datagram of r. It is valid until the next call.
func (w *Writer) Reply(r *Reply) ([]byte, error) {
	w.options = w.options[:0]
	if r.MaxAge > 0 {
		w.insert(message.MaxAge, w.uintValue(0, uint32((r.MaxAge+time.Second-1)/time.Second)))
	}
	if len(r.Ticket) > 0 {
		w.insert(message.Echo, r.Ticket)
	}
	m := message.Message{
		Type:      r.Type,
		Code:      r.Code,
		MessageID: int32(r.MessageID),
		Token:     r.Token.Slice(),
		Options:   w.options,
	}
	if r.Payload != "" {
		m.Payload = []byte(r.Payload)
	}
	return w.encode(&m)
}

func (w *Writer) encode(m *message.Message) ([]byte, error) {
	n, err := coder.DefaultCoder.Encode(*m, w.buffer)
	if err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	return w.buffer[:n], nil
}

// insert adds an option, keeping the options sorted by number.
func (w *Writer) insert(id message.OptionID, value []byte) {
	i := len(w.options)
	for i > 0 && w.options[i-1].ID > id {
		i--
	}
	w.options = slices.Insert(w.options, i, message.Option{
		ID:    id,
		Value: value,
	})
}

// uintValue returns the shortest encoding of v as an option of format uint,
// stored in slot 0 or 1 of uints.
func (w *Writer) uintValue(slot int, v uint32) []byte {
	b := w.uints[slot*4 : slot*4+4]
	binary.BigEndian.PutUint32(b, v)
	for len(b) > 0 && b[0] == 0 {
		b = b[1:]
	}
	return b
}

// CloseWatch returns the request that closes an upstream's watch with a token.
// It is valid until the next call.
func (w *Writer) CloseWatch(id uint16, token packet.Token) []byte {
	m := message.Message{
		Type:      message.NonConfirmable,
		Code:      codes.GET,
		MessageID: int32(id),
		Token:     token.Slice(),
		Options: message.Options{{
			ID:    message.Observe,
			Value: []byte{1},
		}},
	}
	b, err := w.encode(&m)
	if err != nil {
		return nil
	}
	return b
}
