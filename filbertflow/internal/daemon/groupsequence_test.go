package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/load"
)

// TestSequenceOfRegainedGroup guards against digests that all balancers ignore since they seem to be
// older than those that the collector sent before it lost the group for a while.
func TestSequenceOfRegainedGroup(t *testing.T) {
	d := newDaemon(t)
	e := d.syncer.loads
	e.table = d.syncer.tracker.Table()
	now := time.Now()
	id := groupID{zone: "a"}
	digest := func() uint32 {
		t.Helper()
		e.updateGroup(now, id)
		c := e.collecting[0].collector
		var last load.Digest
		for i := range uint32(5) {
			c.AddReport(now, &load.Report{
				Sender:   1,
				Sequence: 1 + i,
				Period:   idleReportInterval,
			})
			now = now.Add(idleReportInterval)
			if digest, ok := c.Digest(now, 0, 1, nil, 1); ok {
				last = digest
			}
		}
		require.NotZero(t, last.Sequence)
		return last.Sequence
	}
	before := digest()
	own := e.targets[id]
	e.targets[id] = nil
	e.updateGroup(now, id)
	require.Nil(t, e.collecting[0])
	e.targets[id] = own
	require.Greater(t, digest(), before)
}
