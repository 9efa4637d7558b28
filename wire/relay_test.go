package wire_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/wire"
)

func relay() *wire.Relay {
	return &wire.Relay{
		Hops:     2,
		Attempts: 1,
		Caller:   netip.MustParseAddrPort("10.0.0.1:5683"),
		Version:  7,
		Service:  1,
		Upstream: 11,
		Excluded: [wire.MaxExcluded]uint32{10, 12},
		Elapsed:  1500 * time.Millisecond,
	}
}

func TestRelayRoundTrip(t *testing.T) {
	var r wire.Relay
	datagram, err := wire.ParseRelay(wire.AppendRelay(nil, relay(), []byte("x")), &r)
	require.NoError(t, err)
	require.Equal(t, *relay(), r)
	require.Equal(t, "x", string(datagram))
}

// TestRelayElapsed checks that a relay preserves the elapsed time up to
// MaxElapsed.
func TestRelayElapsed(t *testing.T) {
	for _, elapsed := range []time.Duration{0, time.Millisecond, time.Minute, time.Hour} {
		in := relay()
		in.Elapsed = elapsed
		var out wire.Relay
		_, err := wire.ParseRelay(wire.AppendRelay(nil, in, []byte("x")), &out)
		require.NoError(t, err)
		require.Equal(t, min(elapsed, wire.MaxElapsed), out.Elapsed)
	}
}

func FuzzParseRelay(f *testing.F) {
	f.Add(wire.AppendRelay(nil, relay(), []byte("x")))
	f.Add([]byte{})
	f.Add(make([]byte, wire.RelayHeaderSize))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r wire.Relay
		datagram, err := wire.ParseRelay(data, &r)
		if err != nil {
			require.ErrorIs(t, err, wire.ErrRelay)
			return
		}
		require.NotEmpty(t, datagram)
		var again wire.Relay
		_, err = wire.ParseRelay(wire.AppendRelay(nil, &r, datagram), &again)
		require.NoError(t, err)
		require.Equal(t, r, again)
	})
}
