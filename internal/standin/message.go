package standin

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/coap"
)

// ErrMessage reports a datagram that is not a CoAP message, or a message that
// can't be encoded.
var ErrMessage = eris.New("invalid CoAP message")

// Decode decodes a CoAP message from a datagram. The message aliases data.
func Decode(data []byte) (*message.Message, error) {
	m := &message.Message{
		Options: make(message.Options, 0, coap.MaxOptions),
	}
	if _, err := coder.DefaultCoder.Decode(data, m); err != nil {
		return nil, eris.Wrap(ErrMessage, err.Error())
	}
	return m, nil
}

// Encode encodes a CoAP message as a datagram. It sorts the options of m in
// place, so they may be in any order.
func Encode(m *message.Message) ([]byte, error) {
	slices.SortStableFunc(m.Options, func(a, b message.Option) int {
		return int(a.ID) - int(b.ID)
	})
	buffer := make([]byte, coap.MaxDatagramSize)
	n, err := coder.DefaultCoder.Encode(*m, buffer)
	if err != nil {
		return nil, eris.Wrap(ErrMessage, err.Error())
	}
	return buffer[:n], nil
}

// PathOptions returns the Uri-Path options of a path such as "/photos/1".
func PathOptions(path string) message.Options {
	segments := strings.Split(strings.Trim(path, "/"), "/")
	options := make(message.Options, 0, len(segments))
	for _, s := range segments {
		options = append(options, message.Option{
			ID:    message.URIPath,
			Value: []byte(s),
		})
	}
	return options
}

// PathOf returns the path in a message's Uri-Path options, such as "/photos/1".
func PathOf(m *message.Message) string {
	var b strings.Builder
	for _, o := range m.Options {
		if o.ID == message.URIPath {
			b.WriteByte('/')
			b.Write(o.Value)
		}
	}
	return b.String()
}

// UintOption returns an option with a value in CoAP's uint format, which has no
// leading zero bytes.
func UintOption(id message.OptionID, v uint32) message.Option {
	b := binary.BigEndian.AppendUint32(nil, v)
	for len(b) > 0 && b[0] == 0 {
		b = b[1:]
	}
	return message.Option{
		ID:    id,
		Value: b,
	}
}

// UintOf returns the value of the first option with the given number, in CoAP's
// uint format, and whether the message has such an option. It reads at most 4
// bytes.
func UintOf(m *message.Message, id message.OptionID) (uint32, bool) {
	for _, o := range m.Options {
		if o.ID != id {
			continue
		}
		var v uint32
		for _, c := range o.Value[:min(len(o.Value), 4)] {
			v = v<<8 | uint32(c)
		}
		return v, true
	}
	return 0, false
}
