package load

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// TestGroupsOfBook guards against hosts that count as idle since their group's digest is
// missing, and against collectors that disagree on the number of groups for a while.
func TestGroupsOfBook(t *testing.T) {
	// The tickets are of groups 0 and 1 of 2.
	var tickets [2]directory.Ticket
	for i := directory.Ticket(100); tickets[0] == 0 || tickets[1] == 0; i-- {
		tickets[GroupOf(i, 2)] = i
	}
	digest := func(sequence uint32, group, groups, flows int) *Digest {
		d := digestOf(1, sequence)
		d.Group, d.Groups = group, groups
		for _, t := range tickets {
			if GroupOf(t, groups) == group {
				d.Totals = append(d.Totals, flowsOf(t, flows))
			}
		}
		return d
	}
	type arrival struct {
		ms     int
		digest *Digest
	}
	for _, test := range []struct {
		name     string
		arrivals []arrival
		ms       int
		flows    [2]float64
		known    [2]bool
		fresh    bool
	}{
		{
			name:     "one group of two",
			arrivals: []arrival{{digest: digest(1, 1, 2, 3)}},
			flows:    [2]float64{0, 3},
			known:    [2]bool{false, true},
		},
		{
			name:     "both groups",
			arrivals: []arrival{{digest: digest(1, 1, 2, 3)}, {digest: digest(2, 0, 2, 4)}},
			flows:    [2]float64{4, 3},
			known:    [2]bool{true, true},
			fresh:    true,
		},
		{
			name:     "one group silent",
			arrivals: []arrival{{digest: digest(1, 1, 2, 3)}, {ms: 1500, digest: digest(2, 0, 2, 4)}},
			ms:       2500,
			flows:    [2]float64{4, 0},
			known:    [2]bool{true, false},
		},
		{
			name: "one more group",
			arrivals: []arrival{
				{ms: 0, digest: digest(1, 0, 1, 3)},
				{ms: 250, digest: digest(2, 0, 2, 4)},
			},
			ms:    500,
			flows: [2]float64{4, 3},
			known: [2]bool{true, true},
			fresh: true,
		},
		{
			name: "collectors disagree",
			arrivals: []arrival{
				{ms: 0, digest: digest(1, 0, 1, 3)},
				{ms: 100, digest: digest(1, 0, 2, 4)},
				{ms: 250, digest: digest(2, 0, 1, 5)},
				{ms: 350, digest: digest(1, 1, 2, 6)},
			},
			ms:    500,
			flows: [2]float64{5, 6},
			known: [2]bool{true, true},
			fresh: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBook()
			for _, a := range test.arrivals {
				require.True(t, b.Apply(at(a.ms), a.digest))
			}
			for i := range tickets {
				e := b.Upstream(at(test.ms), tickets[i])
				require.Equal(t, test.known[i], e.Known, "group %d", i)
				require.Zero(t, e.Flows-test.flows[i], "group %d", i)
			}
			require.Equal(t, test.fresh, b.Fresh(at(test.ms)))
		})
	}
}

// TestGroupsOfHostileDigest guards against a digest that claims a number of groups which takes
// much memory.
func TestGroupsOfHostileDigest(t *testing.T) {
	for _, groups := range []int{math.MinInt, 0, maxGroups + 1, math.MaxInt} {
		d := digestOf(1, 1)
		d.Groups = groups
		require.False(t, NewBook().Apply(start, d))
	}
	for _, group := range []int{math.MinInt, -1, 1, math.MaxInt} {
		d := digestOf(1, 1)
		d.Group = group
		require.False(t, NewBook().Apply(start, d))
	}
}

// TestZonesOfBook guards against excess that goes to a zone of which nothing is known any
// longer, and against a zone of several groups that counts as one of them.
func TestZonesOfBook(t *testing.T) {
	total := func(zone, service string, group, ms int, working, capacity float64) ZoneTotal {
		return ZoneTotal{
			Zone:     zone,
			Service:  service,
			Group:    group,
			Working:  working,
			Capacity: capacity,
			At:       at(ms),
		}
	}
	for _, test := range []struct {
		name     string
		zones    []ZoneTotal
		ms       int
		working  float64
		capacity float64
		ok       bool
	}{
		{
			name: "unknown",
			zones: []ZoneTotal{
				total("a", "board", 0, 0, 1, 8),
				total("b", "agenda", 0, 0, 1, 8),
				total("bb", "board", 0, 0, 1, 8),
			},
		},
		{
			name:     "one group",
			zones:    []ZoneTotal{total("b", "board", 0, 0, 3, 8)},
			working:  3,
			capacity: 8,
			ok:       true,
		},
		{
			name: "several groups",
			zones: []ZoneTotal{
				total("b", "board", 2, 0, 3, 8),
				total("b", "board", 0, 0, 4, 10),
				total("b", "board", 1, 0, 5, 12),
				total("b", "boards", 1, 0, 5, 12),
				total("c", "board", 1, 0, 5, 12),
			},
			working:  12,
			capacity: 30,
			ok:       true,
		},
		{
			name: "newer and older totals of one group",
			zones: []ZoneTotal{
				total("b", "board", 0, 0, 3, 8),
				total("b", "board", 0, 100, 4, 9),
				total("b", "board", 0, 50, 5, 10),
			},
			ms:       100,
			working:  4,
			capacity: 9,
			ok:       true,
		},
		{
			name:     "a second old",
			zones:    []ZoneTotal{total("b", "board", 0, 0, 3, 8)},
			ms:       1000,
			working:  3,
			capacity: 8,
			ok:       true,
		},
		{
			name:  "older than a second",
			zones: []ZoneTotal{total("b", "board", 0, 0, 3, 8)},
			ms:    1001,
		},
		{
			name: "one group older than a second",
			zones: []ZoneTotal{
				total("b", "board", 0, 0, 3, 8),
				total("b", "board", 1, 500, 4, 9),
			},
			ms:       1200,
			working:  4,
			capacity: 9,
			ok:       true,
		},
		{
			name: "invalid",
			zones: []ZoneTotal{
				total("b", "board", 0, 0, math.NaN(), 8),
				total("b", "board", 1, 0, 1, math.NaN()),
				total("b", "board", 2, 0, -1, 8),
				total("b", "board", 3, 0, 1, -8),
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBook()
			for i, z := range test.zones {
				d := digestOf(1, uint32(i+1))
				d.Zones = []ZoneTotal{z}
				b.Apply(later(start, z.At), d)
			}
			z, ok := b.Zone(at(test.ms), "b", "board")
			require.Equal(t, test.ok, ok)
			require.Zero(t, z.Working-test.working)
			require.Zero(t, z.Capacity-test.capacity)
		})
	}
}
