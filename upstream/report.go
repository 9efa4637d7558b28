package upstream

// Weights of an upstream's reports, in hundredths.
const (
	trustInitial = 50
	trustFull    = 100
	// trustGain is added by a report that agrees with outcomes; one that
	// disagrees halves the trust.
	trustGain = 5
	// trustMinimum is the least trust with which a report counts.
	trustMinimum = 25
)

// reportLifetime is the number of answers that a report outlives.
const reportLifetime = 64

// A report is what an upstream last said of itself, and how far to believe it.
// It can lower what the upstream is given, to one request at the least, and
// never raise it.
type report struct {
	// requests and connections are those of the last report.
	requests    uint32
	connections uint32
	// own is the greatest number of the gate's own requests in flight in the
	// time that the report may speak of.
	own uint32
	// peak is the same since the last report.
	peak uint32
	// left is the number of answers until the report is void.
	left uint32
	// trust is 0 to trustFull.
	trust uint32
	// contradicted tells that work was answered at the usual speed while the
	// report spoke of others' load.
	contradicted bool
}

func newReport() report {
	return report{trust: trustInitial}
}

// believed reports whether the last report counts.
func (r *report) believed() bool {
	return r.left > 0 && r.trust >= trustMinimum
}

// foreign returns the number of slots that others use, if the report is
// believed.
func (r *report) foreign() uint32 {
	if !r.believed() || r.requests <= r.own {
		return 0
	}
	return (r.requests - r.own) * r.trust / trustFull
}

// outcome compares the report with an answer; usual tells that it came at the
// usual speed.
func (r *report) outcome(usual bool) {
	if r.left == 0 {
		return
	}
	r.left--
	if usual && r.requests > r.own {
		r.contradicted = true
	}
}

// rate changes the trust by how the last report fared.
func (r *report) rate(agrees bool) {
	if agrees {
		r.trust = min(trustFull, r.trust+trustGain)
		return
	}
	r.trust /= 2
}

// sent takes the number of the gate's own requests in flight.
func (r *report) sent(requests uint32) {
	r.peak = max(r.peak, requests)
}

// set takes a new report; own are the gate's own requests in flight and watches
// open.
func (r *report) set(requests, connections, ownRequests, ownWatches uint32) {
	// An upstream holds at least the watches of this keeper, within the lag.
	r.rate(!r.contradicted && connections >= ownWatches/2)
	r.contradicted = false
	r.requests = requests
	r.connections = connections
	r.own = max(r.peak, r.own/2)
	r.peak = ownRequests
	r.left = reportLifetime
}

// watches returns the number of open watches by the report, zero if it is not
// believed.
func (r *report) watches() uint32 {
	if !r.believed() {
		return 0
	}
	return r.connections
}
