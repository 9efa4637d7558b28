package coap

import (
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"filbertworks.example/filbertworks/packet"
)

// A Response is what is read of an answer or notification.
type Response struct {
	Type    message.Type
	Code    codes.Code
	Message uint16
	Token   packet.Token
	// Observed tells that the message carries an Observe sequence number.
	Observed bool
	Sequence uint32
	MaxAge   time.Duration
	// Ticket aliases the datagram and is empty where none was sent.
	Ticket []byte
	// HasBlock2 tells that the message carries a Block2 option, in Block.
	HasBlock2 bool
	Block     uint32
	// Payload aliases the datagram.
	Payload []byte
}

// Reset reports whether r is a message that rejects another.
func (r *Response) Reset() bool {
	return r.Type == message.Reset
}

// IsEmptyAck reports whether r is an empty acknowledgement.
func (r *Response) IsEmptyAck() bool {
	return r.Type == message.Acknowledgement && r.Code == codes.Empty
}

// Shed reports whether r refuses a request as not run.
func (r *Response) Shed() bool {
	return r.Code == codes.ServiceUnavailable
}
