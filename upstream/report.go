package upstream

// Weights of an upstream's reports, in hundredths.
const (
	initialConfidence = 50
	fullConfidence    = 100
	// confidenceGain is added by a report that agrees with outcomes; one that
	// disagrees halves the trust.
	confidenceGain = 5
	// minConfidence is the least trust with which a report counts.
	minConfidence = 25
)

// reportLifetime is the number of answers that a report outlives.
const reportLifetime = 64

// A loadReport is what an upstream last said of itself, and how far to believe it.
// It can lower what the upstream is given, to one request at the least, and
// never raise it.
type loadReport struct {
	// requests and connections are those of the last report.
	requests    uint32
	connections uint32
	// ownRequests is the greatest number of the gate's ownRequests requests in flight in the
	// time that the report may speak of.
	ownRequests uint32
	// ownPeak is the same since the last report.
	ownPeak uint32
	// answersLeft is the number of answers until the report is void.
	answersLeft uint32
	// confidence is 0 to trustFull.
	confidence uint32
	// contradicted tells that work was answered at the usual speed while the
	// report spoke of others' load.
	contradicted bool
}

func newLoadReport() loadReport {
	return loadReport{confidence: initialConfidence}
}

// usable reports whether the last report counts.
func (r *loadReport) usable() bool {
	return r.answersLeft > 0 && r.confidence >= minConfidence
}

// othersRequests returns the number of slots that others use, if the report is
// believed.
func (r *loadReport) othersRequests() uint32 {
	if !r.usable() || r.requests <= r.ownRequests {
		return 0
	}
	return (r.requests - r.ownRequests) * r.confidence / fullConfidence
}

// compareAnswer compares the report with an answer; usual tells that it came at the
// usual speed.
func (r *loadReport) compareAnswer(usual bool) {
	if r.answersLeft == 0 {
		return
	}
	r.answersLeft--
	if usual && r.requests > r.ownRequests {
		r.contradicted = true
	}
}

// updateConfidence changes the trust by how the last report fared.
func (r *loadReport) updateConfidence(agrees bool) {
	if agrees {
		r.confidence = min(fullConfidence, r.confidence+confidenceGain)
		return
	}
	r.confidence /= 2
}

// recordInFlight takes the number of the gate's own requests in flight.
func (r *loadReport) recordInFlight(requests uint32) {
	r.ownPeak = max(r.ownPeak, requests)
}

// update takes a new report; own are the gate's own requests in flight and watches
// open.
func (r *loadReport) update(requests, connections, requestsInFlight, ownWatches uint32) {
	// An upstream holds at least the watches of this keeper, within the lag.
	r.updateConfidence(!r.contradicted && connections >= ownWatches/2)
	r.contradicted = false
	r.requests = requests
	r.connections = connections
	r.ownRequests = max(r.ownPeak, r.ownRequests/2)
	r.ownPeak = requestsInFlight
	r.answersLeft = reportLifetime
}

// openWatches returns the number of open openWatches by the report, zero if it is not
// believed.
func (r *loadReport) openWatches() uint32 {
	if !r.usable() {
		return 0
	}
	return r.connections
}
