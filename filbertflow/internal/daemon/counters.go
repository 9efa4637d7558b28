package daemon

import (
	"sync/atomic"
	"time"

	"filbertworks.example/filbertworks/flow"
)

// counters are what a daemon counts; they are read by the metrics.
type counters struct {
	decisions     [flow.Reasons]atomic.Uint64
	forwarded     atomic.Uint64
	rejected      atomic.Uint64
	dropped       atomic.Uint64
	abandoned     atomic.Uint64
	malformed     atomic.Uint64
	socketErrors  atomic.Uint64
	storeErrors   atomic.Uint64
	lists         atomic.Uint64
	watches       atomic.Uint64
	peerBytes     atomic.Uint64
	flows         atomic.Int64
	upstreams     atomic.Int64
	revision      atomic.Uint64
	storeAnswered atomic.Int64
	latency       histogram
}

// called counts a call of the store.
func (c *counters) called(call string) {
	if call == "watch" {
		c.watches.Add(1)
		return
	}
	c.lists.Add(1)
}

// decided counts a decision that took a time, with the flows remembered then.
func (c *counters) decided(d *flow.Decision, took time.Duration, flows int) {
	c.decisions[d.Reason].Add(1)
	switch d.Action {
	case flow.Forward:
		c.forwarded.Add(1)
	case flow.Reject:
		c.rejected.Add(1)
	case flow.Drop:
		c.dropped.Add(1)
	}
	c.flows.Store(int64(flows))
	c.latency.record(took)
}

// histogram counts durations in buckets, each of twice the width of the one
// before.
type histogram struct {
	// buckets hold the durations below firstBucket, twice that, and so on; the
	// last one has no bound.
	buckets [histogramBuckets]atomic.Uint64
	sum     atomic.Int64
}

// Buckets of a histogram.
const (
	histogramBuckets = 16
	firstBucket      = 2 * time.Microsecond
)

func (h *histogram) record(d time.Duration) {
	i := 0
	for bound := firstBucket; i < histogramBuckets-1 && d >= bound; bound *= 2 {
		i++
	}
	h.buckets[i].Add(1)
	h.sum.Add(int64(d))
}
