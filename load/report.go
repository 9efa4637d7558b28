// Package load sums what each balancer sees of the upstreams to the load that all of them
// see. Balancers send reports to the collectors of a group of upstreams, which send digests
// to all balancers of the zone. The package has no sockets, goroutines or clock.
package load

import (
	"time"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
)

// Bounds of what is kept.
const (
	// maxSenders is the number of senders whose reports a collector keeps: the 500
	// balancers of a zone and as many of other zones.
	maxSenders = 1024
	// maxSamples is the number of upstreams of one sender: several groups of 128.
	maxSamples = 512
	// maxZoneTotals is the number of zone totals that a collector or a book keeps.
	maxZoneTotals = 4096
	// maxGroups bounds the number of groups that a digest may claim; a zone of 3,235
	// hosts has 26.
	maxGroups = 256
)

// Limits of a report's period; a sender that goes unscheduled may claim more.
const (
	minPeriod = 100 * time.Millisecond
	maxPeriod = time.Second
)

// reportPeriods is how many periods a report counts unless a newer one comes: until the next
// one is due, and 1.5 periods beyond, since datagrams get lost.
const reportPeriods = 2.5

// A Sample is what one balancer has seen of one upstream since its last report.
type Sample struct {
	Ticket  directory.Ticket
	Flows   int     // open flows now
	Working float64 // requests in progress, mean over the period
	Answers capacity.Observation
}

// A Report holds the samples of one balancer. Upstreams without flows, work and answers are
// left out.
type Report struct {
	// Sender is the balancer's incarnation.
	Sender uint64
	// Sequence counts the times at which the sender reports, from 1. The reports to the
	// collectors of several groups at one time have the same sequence.
	Sequence uint32
	// Period is the time since the last report, or the time until the next one if that is
	// longer. The report counts for 2.5 periods, of at most 1 s each.
	Period time.Duration
	// Group is the group of the upstreams in their zone.
	Group int
	// Partial reports are parts of a larger one with the same sequence. The samples of the
	// former sequence still count for upstreams that no part lists, since a part may be
	// lost.
	Partial bool
	Samples []Sample
}

// lifetime returns how long the report counts.
func (r *Report) lifetime() time.Duration {
	return time.Duration(reportPeriods * float64(min(max(r.Period, minPeriod), maxPeriod)))
}
