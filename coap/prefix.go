package coap

import (
	"encoding/binary"
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"

	"filbertworks.example/filbertworks/packet"
)

// Layout of a message's fixed part (RFC 7252, section 3).
const (
	prefixSize  = 4
	version     = 1
	codeMaximum = 31
)

// ParsePrefix sets h from the first bytes of a request that is not parsed
// further, so that it can be refused. It reports whether data starts like a
// request.
func ParsePrefix(data []byte, service uint32, caller netip.AddrPort, h *packet.Header) bool {
	if len(data) < prefixSize || data[0]>>6 != version {
		return false
	}
	kind := message.Type(data[0] >> 4 & 3)
	size := int(data[0] & 0xf)
	if kind != message.Confirmable && kind != message.NonConfirmable {
		return false
	}
	if size > packet.MaxTokenSize || len(data) < prefixSize+size {
		return false
	}
	if data[1] == 0 || data[1] > codeMaximum {
		return false
	}
	*h = packet.Header{
		Service:     service,
		Caller:      caller,
		Token:       packet.TokenOf(data[prefixSize : prefixSize+size]),
		MessageID:   binary.BigEndian.Uint16(data[2:]),
		Confirmable: kind == message.Confirmable,
	}
	return true
}
