package coap

import (
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"filbertworks.example/filbertworks/packet"
)

// Probe returns a confirmable GET request for a path of one segment. It is
// valid until the next call.
func (w *Writer) Probe(id uint16, token packet.Token, path string) ([]byte, error) {
	w.options = w.options[:0]
	w.insert(message.URIPath, []byte(path))
	return w.encode(&message.Message{
		Type:      message.Confirmable,
		Code:      codes.GET,
		MessageID: int32(id),
		Token:     token.Slice(),
		Options:   w.options,
	})
}
