package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
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

// TestRepeatedDigests guards against digests that go in circles between balancers which disagree on
// the members, and against memory that grows with digests.
func TestRepeatedDigests(t *testing.T) {
	e := newDaemon(t).syncer.loads
	now := time.Now()
	d := load.Digest{
		Origin:   7,
		Sequence: 1,
		Groups:   1,
		Totals:   []load.Total{{Ticket: 3}},
	}
	require.False(t, e.isRepeated(now, &d))
	require.True(t, e.isRepeated(now, &d))
	d.Totals[0].Ticket = 4
	require.False(t, e.isRepeated(now, &d), "another part")
	for range 2 * maxSeenDigests {
		d.Sequence++
		now = now.Add(seenLifetime / maxSeenDigests)
		require.False(t, e.isRepeated(now.Add(seenLifetime), &d))
	}
	require.LessOrEqual(t, len(e.seen), maxSeenDigests)
}

// TestGroupOfReport guards against a collector of two groups that takes an empty report on one group
// for the report on the other.
func TestGroupOfReport(t *testing.T) {
	e := newDaemon(t).syncer.loads
	now := time.Now()
	for group := range 2 {
		e.collecting[group] = &groupCollector{collector: load.NewCollector(1)}
	}
	report := load.Report{
		Sender:   9,
		Sequence: 1,
		Period:   idleReportInterval,
	}
	e.handleReport(now, &report)
	report.Group = 1
	report.Samples = []load.Sample{{
		Ticket:  5,
		Working: 2,
	}}
	e.handleReport(now, &report)
	host := &directory.Upstream{
		ID:    "5",
		Slots: 4,
	}
	d, ok := e.collecting[1].collector.Digest(now.Add(idleReportInterval), 1, 2, []*directory.Upstream{host}, 1)
	require.True(t, ok)
	require.Len(t, d.Totals, 1)
	require.InDelta(t, 2, d.Totals[0].Working, 0.01)
}
