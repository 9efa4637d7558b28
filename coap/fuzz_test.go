package coap_test

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/packet"
)

var caller = netip.MustParseAddrPort("10.0.0.1:5683")

// encode returns the datagram of a message.
func encode(t testing.TB, m message.Message) []byte {
	b := make([]byte, 2*coap.MaxDatagramSize)
	n, err := coder.DefaultCoder.Encode(m, b)
	require.NoError(t, err)
	return b[:n]
}

// post returns a non-idempotent request with options.
func post(options ...message.Option) message.Message {
	return message.Message{
		Type:      message.Confirmable,
		Code:      codes.POST,
		MessageID: 7,
		Token:     message.Token{1, 2},
		Options:   options,
		Payload:   []byte("hold 1"),
	}
}

func option(id message.OptionID, value string) message.Option {
	return message.Option{
		ID:    id,
		Value: []byte(value),
	}
}

func addSeeds(f *testing.F) {
	f.Add(encode(f, post()))
	f.Add(encode(f, post(option(message.URIPath, "holds"), option(message.Echo, "0123456789012345678901234567890123456789"), option(coap.OptionDeadline, "\x01\xf4"))))
	f.Add(encode(f, message.Message{Type: message.Confirmable, Code: codes.GET, MessageID: 1, Options: message.Options{option(message.Observe, ""), option(message.Block2, "\x06")}}))
	f.Add([]byte{0x40, 0, 0, 1})
	f.Add([]byte{0x48, 2, 0, 1})
	f.Add([]byte{})
	f.Add(make([]byte, coap.MaxDatagramSize+1))
}

func FuzzRequest(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var h packet.Header
		p := coap.NewParser()
		err := p.ParseRequest(data, 1, caller, &h)
		if err != nil {
			known := []error{coap.ErrMalformed, coap.ErrOversized, coap.ErrNotRequest, coap.ErrBadOption}
			require.Contains(t, known, err)
			return
		}
		require.NotEqual(t, packet.KindInvalid, h.Kind)
		require.Equal(t, uint32(1), h.Service)
		require.LessOrEqual(t, len(h.Ticket), coap.MaxTicketSize)
		require.GreaterOrEqual(t, h.Deadline, time.Duration(0))
	})
}

func FuzzResponse(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var r coap.Response
		if err := coap.NewParser().ParseResponse(data, &r); err != nil {
			require.Contains(t, []error{coap.ErrMalformed, coap.ErrOversized}, err)
		}
	})
}

// FuzzForward checks that a forwarded datagram is the same request with another
// token and ticket, and can be parsed again if its size allows.
func FuzzForward(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var before, after packet.Header
		p := coap.NewParser()
		if p.ParseRequest(data, 1, caller, &before) != nil || before.Kind == packet.KindPing {
			return
		}
		e := &coap.Envelope{
			Type:      message.NonConfirmable,
			MessageID: 9,
			Token:     packet.TokenOf([]byte{8, 7, 6, 5, 4, 3, 2, 1}),
			Ticket:    bytes.Repeat([]byte{3}, coap.MaxTicketSize),
			Deadline:  250 * time.Millisecond,
		}
		b, err := coap.NewWriter().Forward(data, e)
		require.NoError(t, err)
		if len(b) > coap.MaxDatagramSize {
			return
		}
		require.NoError(t, p.ParseRequest(b, 1, caller, &after))
		require.Equal(t, before.Kind, after.Kind)
		require.Equal(t, before.Digest, after.Digest)
		require.Equal(t, e.Token, after.Token)
		require.Equal(t, e.Ticket, after.Ticket)
		require.Equal(t, e.Deadline, after.Deadline)
	})
}
