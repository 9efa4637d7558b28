package daemon

import (
	"sync/atomic"
	"time"

	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/member"
)

// counters holds the daemon's counters for the metrics.
type counters struct {
	decisions    [flow.NumReasons]atomic.Uint64
	forwarded    atomic.Uint64
	rejected     atomic.Uint64
	dropped      atomic.Uint64
	requests     atomic.Uint64
	abandoned    atomic.Uint64
	stateChanges [flow.NumStates]atomic.Uint64
	busy         atomic.Uint64
	// ambiguous counts the flows whose first packet may have reached several upstreams,
	// lookupsAnswered the lookups of peers that this balancer has answered, and openingBytes
	// the bytes that were sent for both.
	ambiguous       atomic.Uint64
	lookupsAnswered atomic.Uint64
	openingBytes    atomic.Uint64
	inquiries       [inquiryEventCount]atomic.Uint64
	probes          [probeResultCount]atomic.Uint64
	peers           [peerStateCount]atomic.Int64
	malformed       atomic.Uint64
	socketErrors    atomic.Uint64
	storeErrors     atomic.Uint64
	storeBytes      atomic.Uint64
	verifications   [verificationEventCount]atomic.Uint64
	lists           atomic.Uint64
	watches         atomic.Uint64
	peerBytes       atomic.Uint64
	flows           atomic.Int64
	upstreams       atomic.Int64
	revision        atomic.Uint64
	era             atomic.Uint64
	retained        atomic.Int64
	restores        atomic.Uint64
	// loadReports and loadDigests count those that were received, and loadBytes the bytes that
	// were sent for the exchange of loads.
	loadReports     atomic.Uint64
	loadDigests     atomic.Uint64
	loadBytes       atomic.Uint64
	capacityChanges atomic.Uint64
	// waiting is the number of first packets that wait for admission, and waited how long
	// those waited whose wait is over.
	waiting atomic.Int64
	waited  histogram
	// storeAnswered is when the store last answered, in nanoseconds since the
	// daemon's start.
	storeAnswered atomic.Int64
	latency       histogram
}

// peerStateCount is the number of states of a member.
const peerStateCount = int(member.Dead) + 1

// An inquiryEvent is something that happens to an inquiry on an upstream's death.
type inquiryEvent uint8

// Events of inquiries. Those but the last one are counted at the balancer that inquires.
const (
	inquiryStarted inquiryEvent = iota
	inquiryConfirmed
	inquiryRefuted
	// inquiryUnproven means that nobody refuted the inquiry, and too few balancers had tried
	// the upstream to reset open flows.
	inquiryUnproven
	// inquiryUnanswered means that this balancer ran behind and did not answer.
	inquiryUnanswered
)

// inquiryEventCount is the number of events of inquiries.
const inquiryEventCount = int(inquiryUnanswered) + 1

// String returns the name of e.
func (e inquiryEvent) String() string {
	return [...]string{"started", "confirmed", "refuted", "unproven", "unanswered"}[e]
}

// byInquiryEvent returns the number of inquiries by event.
func (c *counters) byInquiryEvent() []sample {
	samples := make([]sample, 0, inquiryEventCount)
	for i := range c.inquiries {
		samples = append(samples, sample{
			value: int64(c.inquiries[i].Load()),
			label: inquiryEvent(i).String(),
		})
	}
	return samples
}

// A verificationEvent is something that happens to a verification of flows that may have moved.
type verificationEvent uint8

// Events of verifications, counted at the balancer that verifies.
const (
	verificationStarted verificationEvent = iota
	verificationAnswered
	// verificationUnanswered means that some balancer has not answered in time.
	verificationUnanswered
)

// verificationEventCount is the number of events of verifications.
const verificationEventCount = int(verificationUnanswered) + 1

// String returns the name of e.
func (e verificationEvent) String() string {
	return [...]string{"started", "answered", "unanswered"}[e]
}

// byVerificationEvent returns the number of verifications by event.
func (c *counters) byVerificationEvent() []sample {
	samples := make([]sample, 0, verificationEventCount)
	for i := range c.verifications {
		samples = append(samples, sample{
			value: int64(c.verifications[i].Load()),
			label: verificationEvent(i).String(),
		})
	}
	return samples
}

// newCounters returns counters of a daemon that starts at now.
func newCounters(now time.Time) *counters {
	c := &counters{}
	c.latency.name = "filbertflow.packet.duration"
	c.latency.description = "Time from a packet's arrival until it is sent on."
	c.latency.start, c.latency.first = now, firstLatencyBucket
	c.waited.name = "filbertflow.admission.wait"
	c.waited.description = "Time that first packets waited for room, whether they were sent on or rejected."
	c.waited.start, c.waited.first = now, firstWaitBucket
	return c
}

// setStoreAge records the time since the store last answered.
func (c *counters) setStoreAge(now time.Time, age time.Duration) {
	c.storeAnswered.Store(int64(now.Sub(c.latency.start) - age))
}

// byProbeResult returns the number of probes with each result.
func (c *counters) byProbeResult() []sample {
	samples := make([]sample, 0, probeResultCount)
	for i := range c.probes {
		samples = append(samples, sample{
			value: int64(c.probes[i].Load()),
			label: probeResult(i).String(),
		})
	}
	return samples
}

// byPeerState returns the number of balancers in each state.
func (c *counters) byPeerState() []sample {
	samples := make([]sample, 0, peerStateCount)
	for i := range c.peers {
		samples = append(samples, sample{
			value: c.peers[i].Load(),
			label: member.State(i).String(),
		})
	}
	return samples
}

// byReason returns the number of decisions for each reason.
func (c *counters) byReason() []sample {
	samples := make([]sample, 0, flow.NumReasons)
	for i := range c.decisions {
		samples = append(samples, sample{
			value: int64(c.decisions[i].Load()),
			label: flow.Reason(i).String(),
		})
	}
	return samples
}

// byState returns the number of changes to each state of an upstream.
func (c *counters) byState() []sample {
	samples := make([]sample, 0, flow.NumStates)
	for i := range c.stateChanges {
		samples = append(samples, sample{
			value: int64(c.stateChanges[i].Load()),
			label: flow.State(i).String(),
		})
	}
	return samples
}

// countStoreCall counts a call to the store.
func (c *counters) countStoreCall(call string) {
	if call == "watch" {
		c.watches.Add(1)
		return
	}
	c.lists.Add(1)
}

// recordDecision counts a decision, its duration and the number of flows
// remembered after it.
func (c *counters) recordDecision(d *flow.Decision, elapsed time.Duration, flows int) {
	c.decisions[d.Reason].Add(1)
	switch d.Action {
	case flow.Forward:
		c.forwarded.Add(1)
	case flow.Reject:
		c.rejected.Add(1)
	case flow.Hold:
	case flow.Drop:
		c.dropped.Add(1)
	}
	if d.Waited > 0 {
		c.waited.record(d.Waited)
	}
	if d.StartsRequest {
		c.requests.Add(1)
	}
	c.flows.Store(int64(flows))
	c.latency.record(elapsed)
}

// A histogram counts durations in buckets, each twice as wide as the one before.
type histogram struct {
	// name and description are those of the metric.
	name        string
	description string
	// first is the upper bound of the first bucket.
	first time.Duration
	// buckets count the durations below first, below twice that, and so on; the last one
	// has no upper bound.
	buckets [histogramBuckets]atomic.Uint64
	sum     atomic.Int64
	start   time.Time
}

// Buckets of histograms.
const (
	histogramBuckets = 16
	// firstLatencyBucket is the upper bound of the first bucket of the time that a packet
	// takes, and firstWaitBucket that of the wait for admission. The last bounds are 33 ms
	// and 4 s.
	firstLatencyBucket = 2 * time.Microsecond
	firstWaitBucket    = 250 * time.Microsecond
)

func (h *histogram) record(d time.Duration) {
	i := 0
	for bound := h.first; i < histogramBuckets-1 && d >= bound; bound *= 2 {
		i++
	}
	h.buckets[i].Add(1)
	h.sum.Add(int64(d))
}
