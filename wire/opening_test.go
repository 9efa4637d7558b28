package wire

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/flow"
)

func TestOpeningRoundTrip(t *testing.T) {
	o := flow.Opening{
		Flow: flow.ID{
			Client:   netip.MustParseAddrPort("100.64.0.7:40001"),
			Service:  netip.MustParseAddrPort("198.18.0.1:443"),
			Sequence: 1<<32 - 1,
		},
		Ticket: 7,
		Open:   true,
	}
	data, err := AppendHealth(nil, &Health{
		Lookups:   []*Flow{NewFlow(&o.Flow)},
		Openings:  []*Opening{NewOpening(&o)},
		Ambiguous: []*Opening{NewOpening(&o)},
	})
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), 120)
	m, err := ParseHealth(data)
	require.NoError(t, err)
	id, ok := m.GetLookups()[0].Decode()
	require.True(t, ok)
	require.Equal(t, o.Flow, id)
	for _, v := range append(m.GetOpenings(), m.GetAmbiguous()...) {
		decoded, ok := v.Decode()
		require.True(t, ok)
		require.Equal(t, o, decoded)
	}
}

// TestInvalidFlows checks that flows between addresses that no packet can have are refused: the
// forwarder keeps flows by their IPv4 addresses.
func TestInvalidFlows(t *testing.T) {
	valid := netip.MustParseAddrPort("100.64.0.7:40001")
	for _, test := range []struct {
		name string
		flow *Flow
	}{
		{
			name: "none",
		},
		{
			name: "no service",
			flow: &Flow{Client: addressBytes(valid)},
		},
		{
			name: "IPv6",
			flow: NewFlow(&flow.ID{
				Client:  netip.MustParseAddrPort("[fe80::1]:40001"),
				Service: valid,
			}),
		},
		{
			name: "bytes that are no address",
			flow: &Flow{
				Client:  addressBytes(valid),
				Service: []byte{1, 2, 3},
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, ok := test.flow.Decode()
			require.False(t, ok)
			_, ok = (&Opening{Flow: test.flow}).Decode()
			require.False(t, ok)
		})
	}
}
