package load

import (
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
)

// TestOwnZone guards against zone totals that offer room at hosts which take no new flows.
func TestOwnZone(t *testing.T) {
	e := &estimates{values: map[directory.Ticket]capacity.Estimate{
		2: {
			Capacity: 2,
			Known:    true,
		},
	}}
	c, hosts := NewCollector(1), hostsOf(6)
	c.estimator = e
	hosts[2].Draining = true
	hosts[3].DepartedAt = start
	hosts[4].WarmAt = at(60000)
	hosts[5].Service = "agenda"
	c.AddReport(start, reportOf(1, 1, hosts, 1, 1.5))
	_, ok := c.Digest(at(250), 0, 1, hosts, 1)
	require.True(t, ok)
	require.Equal(t, []ZoneTotal{
		{
			Zone:     "a",
			Service:  "agenda",
			Group:    3,
			Working:  1.5,
			Capacity: 8,
			Free:     SpareFactor*8 - 1.5,
			At:       at(250),
		},
		{
			Zone:     "a",
			Service:  "board",
			Group:    3,
			Working:  4.5,
			Capacity: 8 + 2 + 1.5,
			Free:     SpareFactor*(8+2) - 2*1.5,
			Slow: []SlowHost{{
				Ticket:   2,
				Capacity: 2,
			}},
			At: at(250),
		},
	}, c.Own(at(250), "a", 3, hosts))
}

// TestZonesOfDigest guards against totals of other zones that are passed on although they are
// old, and against late ones that replace newer ones.
func TestZonesOfDigest(t *testing.T) {
	c, hosts := NewCollector(1), hostsOf(1)
	total := func(zone string, ms int, working float64) ZoneTotal {
		return ZoneTotal{
			Zone:     zone,
			Service:  "board",
			Working:  working,
			Capacity: 8,
			At:       at(ms),
		}
	}
	c.AddReport(at(-1000), reportOf(1, 1, hosts, 1, 1))
	c.AddReport(start, reportOf(1, 2, hosts, 1, 1))
	for _, z := range []ZoneTotal{
		total("d", -1001, 1),
		total("c", -1000, 1),
		total("b", -100, 2),
		total("b", -200, 1),
	} {
		c.AddZone(start, z)
	}
	d, ok := c.Digest(start, 0, 1, hosts, 1)
	require.True(t, ok)
	require.Equal(t, []ZoneTotal{total("b", -100, 2), total("c", -1000, 1)}, d.Zones)
	d, ok = c.Digest(at(1), 0, 1, hosts, 1)
	require.True(t, ok)
	require.Equal(t, []ZoneTotal{total("b", -100, 2)}, d.Zones)
}
