package config

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDocumentCheckFindsEachFault(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Document)
		// paths are the expected paths of the faults, in order.
		paths []string
	}{
		{name: "no fault", change: func(*Document) {}},
		{name: "no keys", change: func(d *Document) { d.Keys = nil }, paths: []string{"keys"}},
		{name: "too many keys", change: func(d *Document) {
			for i := range uint8(MaxKeys) {
				d.Keys = append(d.Keys, Key{ID: i + 2, Secret: d.Keys[0].Secret})
			}
		}, paths: []string{"keys"}},
		{name: "key id twice", change: func(d *Document) { d.Keys = append(d.Keys, d.Keys[0]) }, paths: []string{"keys[1].id"}},
		{name: "short secret", change: func(d *Document) { d.Keys[0].Secret = make([]byte, MinSecretSize-1) }, paths: []string{"keys[0].secret"}},
		{name: "long secret", change: func(d *Document) { d.Keys[0].Secret = make([]byte, MaxSecretSize+1) }, paths: []string{"keys[0].secret"}},
		{name: "zone without name", change: func(d *Document) { d.Zones = append(d.Zones, Zone{Region: "r", State: ZoneIn}) }, paths: []string{"zones[2].name"}},
		{name: "zone twice", change: func(d *Document) { d.Zones = append(d.Zones, d.Zones[0]) }, paths: []string{"zones[2].name"}},
		{name: "zone name with a space", change: func(d *Document) { d.Zones = append(d.Zones, Zone{Name: "a b", Region: "r", State: ZoneIn}) }, paths: []string{"zones[2].name"}},
		{name: "zone without region", change: func(d *Document) { d.Zones[0].Region = "" }, paths: []string{"zones[0].region"}},
		{name: "unknown zone state", change: func(d *Document) { d.Zones[0].State = "half" }, paths: []string{"zones[0].state"}},
		{name: "service without id", change: func(d *Document) { d.Services[0].ID = 0 }, paths: []string{"services[0].id"}},
		{name: "service id twice", change: func(d *Document) {
			s := d.Services[0]
			s.Name = "planimetrie"
			s.Address = netip.MustParseAddrPort("127.0.2.2:5683")
			s.Upstreams = nil
			d.Services = append(d.Services, s)
		}, paths: []string{"services[1].id"}},
		{name: "service name with a slash", change: func(d *Document) { d.Services[0].Name = "a/b" }, paths: []string{"services[0].name"}},
		{name: "upstream with the name of a service", change: func(d *Document) { d.Services[0].Upstreams[0].Name = "bacheca" }, paths: []string{"services[0].upstreams[0].name"}},
		{name: "service without address", change: func(d *Document) { d.Services[0].Address = netip.AddrPort{} }, paths: []string{"services[0].address"}},
		{name: "address without port", change: func(d *Document) {
			d.Services[0].Address = netip.MustParseAddrPort("127.0.2.1:0")
		}, paths: []string{"services[0].address"}},
		{name: "unspecified address", change: func(d *Document) {
			d.Services[0].Address = netip.MustParseAddrPort("0.0.0.0:5683")
		}, paths: []string{"services[0].address"}},
		{name: "multicast address", change: func(d *Document) {
			d.Services[0].Address = netip.MustParseAddrPort("224.0.1.187:5683")
		}, paths: []string{"services[0].address"}},
		{name: "long name", change: func(d *Document) {
			d.Services[0].Name = strings.Repeat("a", MaxNameSize+1)
		}, paths: []string{"services[0].name"}},
		{name: "address twice", change: func(d *Document) { d.Services[0].Upstreams[0].Address = d.Services[0].Address }, paths: []string{"services[0].upstreams[0].address"}},
		{name: "duplicate address mapped to IPv6", change: func(d *Document) {
			d.Services[0].Upstreams[0].Address = netip.MustParseAddrPort("[::ffff:127.0.2.1]:5683")
		}, paths: []string{"services[0].upstreams[0].address"}},
		{name: "short deadline", change: func(d *Document) { d.Services[0].Deadline = Duration(MinDeadline - 1) }, paths: []string{"services[0].deadline"}},
		{name: "long deadline", change: func(d *Document) { d.Services[0].Deadline = Duration(MaxDeadline + 1) }, paths: []string{"services[0].deadline"}},
		{name: "short refresh", change: func(d *Document) { d.Services[0].Refresh = Duration(MinRefresh - 1) }, paths: []string{"services[0].refresh"}},
		{name: "long refresh", change: func(d *Document) { d.Services[0].Refresh = Duration(MaxRefresh + time.Nanosecond) }, paths: []string{"services[0].refresh"}},
		{name: "upstream without id", change: func(d *Document) { d.Services[0].Upstreams[0].ID = 0 }, paths: []string{"services[0].upstreams[0].id"}},
		{name: "upstream id twice", change: func(d *Document) { d.Services[0].Upstreams[1].ID = 1 }, paths: []string{"services[0].upstreams[1].id"}},
		{name: "upstream name twice", change: func(d *Document) { d.Services[0].Upstreams[1].Name = "upstream-1" }, paths: []string{"services[0].upstreams[1].name"}},
		{name: "unknown zone", change: func(d *Document) { d.Services[0].Upstreams[0].Zone = "brunico" }, paths: []string{"services[0].upstreams[0].zone"}},
		{name: "no share", change: func(d *Document) { d.Services[0].Upstreams[0].Share = 0 }, paths: []string{"services[0].upstreams[0].share"}},
		{name: "share too large", change: func(d *Document) { d.Services[0].Upstreams[0].Share = MaxShare + 1 }, paths: []string{"services[0].upstreams[0].share"}},
		{name: "no slots", change: func(d *Document) { d.Services[0].Upstreams[0].Slots = 0 }, paths: []string{"services[0].upstreams[0].slots"}},
		{name: "too many slots", change: func(d *Document) { d.Services[0].Upstreams[0].Slots = MaxSlots + 1 }, paths: []string{"services[0].upstreams[0].slots"}},
		{name: "no connections", change: func(d *Document) { d.Services[0].Upstreams[0].Connections = 0 }, paths: []string{"services[0].upstreams[0].connections"}},
		{name: "too many connections", change: func(d *Document) { d.Services[0].Upstreams[0].Connections = MaxConnections + 1 }, paths: []string{"services[0].upstreams[0].connections"}},
		{name: "no upstream state", change: func(d *Document) { d.Services[0].Upstreams[0].State = "" }, paths: []string{"services[0].upstreams[0].state"}},
		{name: "several faults", change: func(d *Document) {
			d.Keys = nil
			d.Zones[1].State = ""
			d.Services[0].Upstreams[1].Slots = 0
		}, paths: []string{"keys", "zones[1].state", "services[0].upstreams[1].slots"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := sampleDocument()
			tt.change(d)
			err := d.Check()
			if tt.paths == nil {
				require.NoError(t, err)
				return
			}
			var check *CheckError
			require.ErrorAs(t, err, &check)
			var paths []string
			for _, f := range check.Faults {
				paths = append(paths, f.Path)
				require.NotEmpty(t, f.Allowed)
			}
			require.Equal(t, tt.paths, paths, "%v", err)
		})
	}
}

func TestDocumentCheckAllowsDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, drawDocument(t).Check())
	})
}

func TestFaultString(t *testing.T) {
	d := sampleDocument()
	d.Zones[0].State = "half"
	require.EqualError(t, d.Check(), `zones[0].state: "half" is not allowed, want "in" or "out"`)
}
