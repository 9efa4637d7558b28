package wire_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/wire"
)

func TestRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ip [4]byte
		copy(ip[:], rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))
		r := keeper.Release{
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			Caller:      netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16().Draw(t, "port")),
			Token:       packet.TokenOf(rapid.SliceOfN(rapid.Byte(), 0, packet.MaxTokenSize).Draw(t, "token")),
			Upstream:    rapid.Uint32().Draw(t, "upstream"),
			Serial:      rapid.Uint64().Draw(t, "serial"),
		}
		data := wire.AppendRelease(nil, &r)
		require.Len(t, data, wire.ReleaseSize)
		var got keeper.Release
		require.NoError(t, wire.ParseRelease(data, &got))
		require.Equal(t, r, got)
		require.ErrorIs(t, wire.ParseRelease(data[:len(data)-1], &got), wire.ErrRelease)
	})
}
