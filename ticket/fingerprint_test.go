package ticket_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/ticket"
)

func TestFingerprint(t *testing.T) {
	s := ticket.NewSealer(ticket.Key{
		ID:     9,
		Secret: make([]byte, 32),
	})
	flow := ticket.Ticket{
		Service:     1,
		Upstream:    2,
		Incarnation: 3,
		Serial:      4,
		Version:     5,
	}
	data := make([]byte, ticket.Size)
	s.Seal(data, flow, netip.MustParseAddr("10.0.0.1"))
	fingerprint := ticket.FingerprintOf(data)
	content := flow
	content.Version = 0
	require.True(t, fingerprint.Matches(data, &content))
	require.False(t, fingerprint.Matches(data[1:], &content))
	for i := range data {
		damaged := append([]byte(nil), data...)
		damaged[i] ^= 1
		require.False(t, fingerprint.Matches(damaged, &content), "byte %d", i)
	}
	var none ticket.Fingerprint
	require.False(t, none.Matches(data, &content))
}
