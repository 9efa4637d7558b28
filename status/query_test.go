package status

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestQueryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ip := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip")
		addr, _ := netip.AddrFromSlice(ip)
		want := Query{
			Service: rapid.StringN(1, 20, -1).Draw(t, "service"),
			Caller:  netip.AddrPortFrom(addr, rapid.Uint16().Draw(t, "port")),
			Token:   rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "token"),
			Ticket:  rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "ticket"),
		}
		got, err := ParseQuery(want.Values())
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}
