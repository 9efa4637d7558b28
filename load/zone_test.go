package load

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTimesOfZoneTotals guards against a total from the future, which would count for longer
// and hide newer ones.
func TestTimesOfZoneTotals(t *testing.T) {
	var z zoneTotals
	total := ZoneTotal{
		Zone:    "b",
		Service: "board",
		Working: 1,
		At:      at(60000),
	}
	z.add(start, total)
	total.Working, total.At = 2, at(1)
	z.add(at(1), total)
	require.Len(t, z, 1)
	require.Zero(t, z[0].Working-2)
}

// TestBoundedZoneTotals guards against memory that totals of ever new zones fill.
func TestBoundedZoneTotals(t *testing.T) {
	var z zoneTotals
	for i := range 2 * maxZoneTotals {
		z.add(start, ZoneTotal{
			Zone:  "b",
			Group: i,
			At:    start,
		})
	}
	require.Len(t, z, maxZoneTotals)
	now := at(1001)
	z.add(now, ZoneTotal{
		Zone: "c",
		At:   now,
	})
	require.Len(t, z, 1)
}
