package config_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
)

// A patch must not give the id or address of an upstream to another service: a
// balancer with the version before would send packets of one service to the other.
func TestPatchReuse(t *testing.T) {
	host := func(id uint32, name, address string) config.Upstream {
		return config.Upstream{
			ID:          id,
			Name:        name,
			Zone:        "a",
			Address:     netip.MustParseAddrPort(address),
			Share:       1,
			Slots:       1,
			Connections: 1,
			State:       config.UpstreamActive,
		}
	}
	document := &config.Document{
		Keys:  []config.Key{{ID: 1, Secret: make([]byte, config.MinSecretSize)}},
		Zones: []config.Zone{{Name: "a", Region: "r", State: config.ZoneIn}},
	}
	for i, name := range []string{"holds", "photos"} {
		document.Services = append(document.Services, config.Service{
			ID:       uint32(i + 1),
			Name:     name,
			Address:  netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), uint16(i+1)),
			Deadline: config.Duration(config.MinDeadline),
			Refresh:  config.Duration(config.MinRefresh),
		})
	}
	document.Services[0].Upstreams = []config.Upstream{host(10, "u10", "10.2.0.1:1")}
	remove := config.Operation{RemoveUpstream: &config.RemoveUpstream{
		Service: "holds",
		Name:    "u10",
	}}
	put := func(service string, u config.Upstream) config.Operation {
		return config.Operation{PutUpstream: &config.PutUpstream{
			Service:  service,
			Upstream: u,
		}}
	}
	cases := []struct {
		name       string
		operations []config.Operation
		refused    bool
	}{
		{
			name:       "replaced within its service",
			operations: []config.Operation{remove, put("holds", host(11, "u11", "10.2.0.1:1"))},
		},
		{
			name:       "new address of the same upstream",
			operations: []config.Operation{put("holds", host(10, "u10", "10.2.0.2:1"))},
		},
		{
			name:       "id moves to another service",
			operations: []config.Operation{remove, put("photos", host(10, "u10", "10.2.0.2:1"))},
			refused:    true,
		},
		{
			name:       "address moves to another service",
			operations: []config.Operation{remove, put("photos", host(11, "u11", "10.2.0.1:1"))},
			refused:    true,
		},
		{
			name:       "removed without reuse",
			operations: []config.Operation{remove},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := config.Patch{
				Base:       1,
				Operations: c.operations,
			}
			_, err := p.Apply(1, document)
			var check *config.CheckError
			if c.refused {
				require.ErrorAs(t, err, &check)
				return
			}
			require.NoError(t, err)
		})
	}
}
