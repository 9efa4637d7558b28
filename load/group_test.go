package load

import (
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

func TestGroups(t *testing.T) {
	for _, test := range []struct {
		hosts  int
		groups int
	}{
		{
			hosts:  -1,
			groups: 1,
		},
		{
			hosts:  0,
			groups: 1,
		},
		{
			hosts:  127,
			groups: 1,
		},
		{
			hosts:  128,
			groups: 2,
		},
		{
			hosts:  160,
			groups: 2,
		},
		{
			hosts:  3235,
			groups: 26,
		},
	} {
		require.Equal(t, test.groups, Groups(test.hosts), "%d hosts", test.hosts)
	}
}

// TestGroupsOfConsecutiveTickets guards against groups of unequal size: the digest of a group
// with more than about 150 hosts takes more datagrams.
func TestGroupsOfConsecutiveTickets(t *testing.T) {
	for _, hosts := range []int{160, 1000, 3235} {
		groups := Groups(hosts)
		sizes := make([]int, groups)
		for i := range hosts {
			g := GroupOf(directory.Ticket(i+1), groups)
			require.GreaterOrEqual(t, g, 0)
			require.Less(t, g, groups)
			sizes[g]++
		}
		for _, n := range sizes {
			require.LessOrEqual(t, n, 160, "%d hosts", hosts)
			require.GreaterOrEqual(t, n, 60, "%d hosts", hosts)
		}
	}
	for _, groups := range []int{-1, 0, 1} {
		require.Zero(t, GroupOf(7, groups))
	}
}
