package load

import (
	"filbertworks.example/filbertworks/directory"
)

// A Total is the load of one upstream, summed over the balancers that send to it.
type Total struct {
	Ticket   directory.Ticket
	Flows    int     // open flows
	Working  float64 // requests in progress
	Capacity float64 // slots' worth of work; 0 if unknown or usual
	Answers  int     // answers that Capacity rests on; 0 if it is unknown or usual
}

// A Digest is the load of one group, with the summaries of other zones. Upstreams without
// load and with usual capacity are left out.
type Digest struct {
	// Origin is the incarnation of the collector.
	Origin uint64
	// Sequence counts the digests of the origin, from 1.
	Sequence uint32
	Group    int
	// Groups is the number of groups of the zone. It is 0 for a message to the collectors of
	// another zone, which holds zone totals only.
	Groups int
	// Balancers is the number of balancers whose reports are summed.
	Balancers int
	// Partial digests are parts of a larger one with the same sequence. What the digest
	// before said still holds for upstreams that no part lists, since a part may be lost.
	Partial bool
	Totals  []Total
	Zones   []ZoneTotal
}
