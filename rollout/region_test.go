package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
)

func TestRegion(t *testing.T) {
	document := &config.Document{
		Keys: []config.Key{{
			ID:     1,
			Secret: make([]byte, config.MinSecretSize),
		}},
		Zones: []config.Zone{
			{Name: "a", Region: "north", State: config.ZoneIn},
			{Name: "b", Region: "north", State: config.ZoneOut},
			{Name: "c", Region: "south", State: config.ZoneIn},
		},
	}
	c, err := config.NewSnapshot(1, document)
	require.NoError(t, err)
	var vms []config.VM
	for _, zone := range []string{"a", "b", "c", "new"} {
		vms = append(vms, config.VM{
			Name: "lb-" + zone,
			Zone: zone,
		})
	}
	for _, tt := range []struct {
		name   string
		config *config.Snapshot
		zone   string
		all    bool
		want   []string
	}{
		{name: "a region, including a zone that is out", config: c, zone: "a", want: []string{"a", "b", "new"}},
		{name: "another region", config: c, zone: "c", want: []string{"c", "new"}},
		{name: "a zone that is not in the configuration", config: c, zone: "new", want: []string{"a", "b", "c", "new"}},
		{name: "no configuration", zone: "a", want: []string{"a"}},
		{name: "no configuration, all VMs wanted", zone: "a", all: true, want: []string{"a", "b", "c", "new"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, v := range RegionVMs(tt.config, tt.zone, vms, tt.all) {
				got = append(got, v.Zone)
			}
			require.Equal(t, tt.want, got)
		})
	}
}
