package ticket_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/ticket"
)

var (
	first = ticket.Key{
		ID:     1,
		Secret: []byte("the first of the keys"),
	}
	second = ticket.Key{
		ID:     2,
		Secret: []byte("the second of the keys"),
	}
	forged = ticket.Key{
		ID:     1,
		Secret: []byte("no key of the operators"),
	}
	caller = netip.MustParseAddr("10.0.0.1")
)

func sealed(k ticket.Key, t ticket.Ticket, a netip.Addr) []byte {
	out := make([]byte, ticket.Size)
	ticket.NewSealer(k).Seal(out, t, a)
	return out
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := ticket.Ticket{
			Service:     rapid.Uint32().Draw(t, "service"),
			Upstream:    rapid.Uint32().Draw(t, "upstream"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			Serial:      rapid.Uint64Max(ticket.MaxSerial).Draw(t, "serial"),
			Expiry:      time.Duration(rapid.Uint32().Draw(t, "expiry")) * 10 * time.Millisecond,
		}
		b := sealed(first, in, caller)
		out, err := ticket.NewSealer(second, first).Open(b, caller)
		require.NoError(t, err)
		require.Equal(t, in, out)
		b[rapid.IntRange(0, len(b)-1).Draw(t, "byte")] ^= byte(rapid.IntRange(1, 255).Draw(t, "damage"))
		_, err = ticket.NewSealer(second, first).Open(b, caller)
		require.ErrorIs(t, err, ticket.ErrInvalid)
	})
}

func TestOpenRefuses(t *testing.T) {
	good := sealed(first, ticket.Ticket{Service: 1}, caller)
	cases := []struct {
		name   string
		data   []byte
		caller netip.Addr
	}{
		{
			name:   "another caller",
			data:   good,
			caller: netip.MustParseAddr("10.0.0.2"),
		},
		{
			name:   "forged",
			data:   sealed(forged, ticket.Ticket{Service: 1}, caller),
			caller: caller,
		},
		{
			name:   "retired key",
			data:   sealed(second, ticket.Ticket{Service: 1}, caller),
			caller: caller,
		},
		{
			name:   "truncated",
			data:   good[:ticket.Size-1],
			caller: caller,
		},
		{
			name:   "oversized",
			data:   append(append([]byte(nil), good...), 0),
			caller: caller,
		},
		{
			name:   "empty",
			caller: caller,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ticket.NewSealer(first).Open(c.data, c.caller)
			require.ErrorIs(t, err, ticket.ErrInvalid)
		})
	}
}

func FuzzOpen(f *testing.F) {
	f.Add(sealed(first, ticket.Ticket{Service: 1}, caller))
	f.Add(sealed(second, ticket.Ticket{Service: 1}, caller))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := ticket.NewSealer(first, second)
		k, err := s.Open(data, caller)
		if err != nil {
			require.ErrorIs(t, err, ticket.ErrInvalid)
			return
		}
		// Data that opens must be what one of the keys seals.
		require.Contains(t, [][]byte{sealed(first, k, caller), sealed(second, k, caller)}, data)
	})
}

func BenchmarkOpen(b *testing.B) {
	s := ticket.NewSealer(first, second)
	data := sealed(first, ticket.Ticket{Service: 1}, caller)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Open(data, caller); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSeal(b *testing.B) {
	s := ticket.NewSealer(first, second)
	out := make([]byte, ticket.Size)
	b.ReportAllocs()
	for b.Loop() {
		s.Seal(out, ticket.Ticket{Service: 1}, caller)
	}
}
