package coap

import (
	"github.com/plgd-dev/go-coap/v3/message"

	"filbertworks.example/filbertworks/packet"
)

// blockNumberShift shifts the value of a block option to the block's number
// (RFC 7959).
const blockNumberShift = 4

// checkOptions returns ErrBadOption if m has an option that a balancer may not
// forward.
func checkOptions(m *message.Message, kind packet.Kind) error {
	tickets := 0
	for _, o := range m.Options {
		switch {
		case o.ID == message.Echo:
			tickets++
		case kind == packet.KindOnce && isPartial(&o):
			return ErrBadOption
		case isUnsupported(o.ID):
			return ErrBadOption
		}
	}
	if tickets > 1 {
		return ErrBadOption
	}
	return nil
}

// isPartial reports whether o makes a request one part of several, which could
// not be executed at most once as a whole.
func isPartial(o *message.Option) bool {
	if o.ID == message.Block1 {
		return true
	}
	return o.ID == message.Block2 && uintOf(o.Value)>>blockNumberShift > 0
}

// isUnsupported reports whether an option is critical and unsafe to forward
// (RFC 7252, section 5.4.6) and not supported here.
func isUnsupported(id message.OptionID) bool {
	const critical, unsafe = 1, 2
	if id&critical == 0 || id&unsafe == 0 {
		return false
	}
	switch id {
	case message.URIHost, message.URIPort, message.URIPath, message.URIQuery, message.Block1, message.Block2:
		return false
	default:
		return true
	}
}
