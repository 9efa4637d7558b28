package coap_test

import (
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/packet"
)

const maxSizeTicket = "0123456789012345678901234567890123456789"

func TestRequestRefuses(t *testing.T) {
	large := post()
	large.Payload = make([]byte, coap.MaxDatagramSize)
	good := encode(t, post(option(message.URIPath, "holds")))
	cases := []struct {
		name string
		data []byte
		err  error
	}{
		{
			name: "good",
			data: good,
		},
		{
			name: "unknown elective option",
			data: encode(t, post(option(65000, "x"))),
		},
		{
			name: "unknown critical option, safe to forward",
			data: encode(t, post(option(65001, "x"))),
		},
		{
			name: "unknown critical option, unsafe to forward",
			data: encode(t, post(option(65003, "x"))),
			err:  coap.ErrBadOption,
		},
		{
			name: "proxy URI",
			data: encode(t, post(option(message.ProxyURI, "coap://elsewhere"))),
			err:  coap.ErrBadOption,
		},
		{
			name: "two tickets",
			data: encode(t, post(option(message.Echo, maxSizeTicket), option(message.Echo, "x"))),
			err:  coap.ErrBadOption,
		},
		{
			name: "part of a non-idempotent request",
			data: encode(t, post(option(message.Block1, "\x0e"))),
			err:  coap.ErrBadOption,
		},
		{
			name: "later block of a non-idempotent request",
			data: encode(t, post(option(message.Block2, "\x16"))),
			err:  coap.ErrBadOption,
		},
		{
			name: "oversized",
			data: encode(t, large),
			err:  coap.ErrOversized,
		},
		{
			name: "truncated in its token",
			data: good[:5],
			err:  coap.ErrMalformed,
		},
		{
			name: "truncated in its options",
			data: good[:9],
			err:  coap.ErrMalformed,
		},
		{
			name: "empty",
			err:  coap.ErrMalformed,
		},
		{
			name: "answer",
			data: encode(t, message.Message{Type: message.Confirmable, Code: codes.Content}),
			err:  coap.ErrNotRequest,
		},
		{
			name: "unknown method",
			data: encode(t, message.Message{Type: message.Confirmable, Code: 31}),
			err:  coap.ErrNotRequest,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var h packet.Header
			err := coap.NewParser().ParseRequest(c.data, 1, caller, &h)
			require.Equal(t, c.err, err)
		})
	}
}

// TestRequestLaterBlock checks which requests ask for a later block of an
// answer.
func TestRequestLaterBlock(t *testing.T) {
	for value, want := range map[string]bool{
		"":         false,
		"\x06":     false,
		"\x16":     true,
		"\x01\x06": true,
	} {
		m := post(option(message.Block2, value))
		m.Code = codes.GET
		var h packet.Header
		require.NoError(t, coap.NewParser().ParseRequest(encode(t, m), 1, caller, &h))
		require.Equal(t, want, h.LaterBlock, "%x", value)
	}
}

func TestPrefix(t *testing.T) {
	var h packet.Header
	require.True(t, coap.ParsePrefix(encode(t, post()), 1, caller, &h))
	require.Equal(t, packet.TokenOf([]byte{1, 2}), h.Token)
	require.Equal(t, uint16(7), h.MessageID)
	require.True(t, h.Confirmable)
	for _, data := range [][]byte{
		{},
		{0x44, 1, 0, 0},
		{0x49, 1, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9},
		{0x60, 1, 0, 0},
		{0x40, 0, 0, 0},
		{0x40, 0x45, 0, 0},
		{0x80, 1, 0, 0},
	} {
		require.False(t, coap.ParsePrefix(data, 1, caller, &h), "%x", data)
	}
}
