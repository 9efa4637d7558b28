package wire_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/wire"
)

func TestLoadsRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		loads := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) wire.Load {
			return wire.Load{
				Upstream: rapid.Uint32().Draw(r, "upstream"),
				Requests: wire.Level(rapid.Byte().Draw(r, "requests")),
				Watches:  wire.Level(rapid.Byte().Draw(r, "watches")),
			}
		}), 1, wire.MaxLoads).Draw(r, "loads")
		b := wire.AppendLoads(nil, loads)
		require.True(r, wire.IsLoads(b))
		parsed, err := wire.ParseLoads(b, nil)
		require.NoError(r, err)
		require.Equal(r, loads, parsed)
		_, err = wire.ParseLoads(b[:len(b)-1], nil)
		require.ErrorIs(r, err, wire.ErrLoads)
	})
}

func TestLevelOf(t *testing.T) {
	for utilization, level := range map[float32]wire.Level{
		-1:   0,
		0:    0,
		0.25: 25,
		1:    100,
		2:    200,
		1e9:  255,
	} {
		require.Equal(t, level, wire.LevelOf(utilization), "%v", utilization)
	}
}
