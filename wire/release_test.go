package wire_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/ticket"
	"filbertworks.example/filbertworks/wire"
)

func TestRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := keeper.Release{
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			Serials:     rapid.SliceOfN(rapid.Uint64Max(ticket.MaxSerial), 1, keeper.MaxReleases).Draw(t, "serials"),
		}
		data := wire.AppendRelease(nil, &r)
		require.LessOrEqual(t, len(data), wire.MaxReleaseSize)
		var got keeper.Release
		require.NoError(t, wire.ParseRelease(data, &got))
		require.Equal(t, r, got)
	})
}

func TestParseReleaseRefuses(t *testing.T) {
	whole := wire.AppendRelease(nil, &keeper.Release{Serials: []uint64{1, 2}})
	tests := []struct {
		name string
		data []byte
	}{
		{name: "empty", data: nil},
		{name: "other format", data: append([]byte{0xf1}, whole[1:]...)},
		{name: "cut", data: whole[:len(whole)-1]},
		{name: "no serial", data: whole[:9]},
		{name: "too many serials", data: wire.AppendRelease(nil, &keeper.Release{Serials: make([]uint64, keeper.MaxReleases+1)})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r keeper.Release
			require.ErrorIs(t, wire.ParseRelease(tt.data, &r), wire.ErrRelease)
		})
	}
}
