package coap

import (
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"filbertworks.example/filbertworks/packet"
)

// A Response is the parsed content of an answer or notification.
type Response struct {
	Type      message.Type
	Code      codes.Code
	MessageID uint16
	Token     packet.Token
	// HasObserve is set if the message has an Observe option; Sequence is its
	// value.
	HasObserve bool
	Sequence   uint32
	MaxAge     time.Duration
	// Ticket aliases the datagram; it is empty if the message has none.
	Ticket []byte
	// HasBlock2 is set if the message has a Block2 option; Block2 is its value.
	HasBlock2 bool
	Block2    uint32
	// Payload aliases the datagram.
	Payload []byte
}

// Reset reports whether r is a reset message, which rejects another message.
func (r *Response) Reset() bool {
	return r.Type == message.Reset
}

// IsEmptyAck reports whether r is an empty acknowledgement.
func (r *Response) IsEmptyAck() bool {
	return r.Type == message.Acknowledgement && r.Code == codes.Empty
}

// Shed reports whether r refuses a request without having executed it.
func (r *Response) Shed() bool {
	return r.Code == codes.ServiceUnavailable
}
