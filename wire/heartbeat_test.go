package wire

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/member"
)

func drawAddress(t *rapid.T) netip.AddrPort {
	size := rapid.SampledFrom([]int{0, 4, 16}).Draw(t, "size")
	if size == 0 {
		return netip.AddrPort{}
	}
	ip, _ := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), size, size).Draw(t, "ip"))
	return netip.AddrPortFrom(ip.Unmap(), rapid.Uint16().Draw(t, "port"))
}

func drawRecord(t *rapid.T) member.Record {
	return member.Record{
		Name:        rapid.StringN(0, 20, 60).Draw(t, "name"),
		Zone:        rapid.StringN(0, 20, 60).Draw(t, "zone"),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Sequence:    rapid.Uint32().Draw(t, "sequence"),
		State:       rapid.SampledFrom([]member.State{member.Alive, member.Leaving, member.Dead}).Draw(t, "state"),
		Suspected:   rapid.Bool().Draw(t, "suspected"),
		Joining:     rapid.Bool().Draw(t, "joining"),
		Relay:       drawAddress(t),
		Control:     drawAddress(t),
		Admin:       drawAddress(t),
		Version:     config.Version(rapid.Uint64().Draw(t, "version")),
	}
}

func TestHeartbeatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := member.Heartbeat{
			Sender:      drawRecord(t),
			Digest:      rapid.Uint64().Draw(t, "digest"),
			PlatformAge: rapid.Uint32().Draw(t, "age"),
			Probe:       rapid.Uint32().Draw(t, "probe"),
			Echo:        rapid.Uint32().Draw(t, "echo"),
			Records:     rapid.SliceOfN(rapid.Custom(drawRecord), 0, member.MaxRecords).Draw(t, "records"),
		}
		data := AppendHeartbeat(nil, &want)
		var got member.Heartbeat
		require.NoError(t, ParseHeartbeat(data, &got))
		require.Equal(t, want.Sender, got.Sender)
		require.ElementsMatch(t, want.Records, got.Records)
		require.Equal(t, []any{want.Digest, want.PlatformAge, want.Probe, want.Echo},
			[]any{got.Digest, got.PlatformAge, got.Probe, got.Echo})
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		require.ErrorIs(t, ParseHeartbeat(data[:cut], &got), ErrHeartbeat)
		require.ErrorIs(t, ParseHeartbeat(append(data, 0), &got), ErrHeartbeat)
	})
}

func FuzzParseHeartbeat(f *testing.F) {
	f.Add(AppendHeartbeat(nil, &member.Heartbeat{
		Sender: member.Record{
			Incarnation: 5,
			State:       member.Leaving,
			Version:     3,
		},
	}))
	f.Add([]byte{0xf2})
	f.Fuzz(func(t *testing.T, data []byte) {
		var h member.Heartbeat
		if err := ParseHeartbeat(data, &h); err != nil {
			require.ErrorIs(t, err, ErrHeartbeat)
			return
		}
		require.Equal(t, data, AppendHeartbeat(nil, &h))
	})
}
