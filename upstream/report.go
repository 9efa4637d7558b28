package upstream

// Confidence in an upstream's reports, in hundredths.
const (
	initialConfidence = 50
	fullConfidence    = 100
	// confidenceGain is added by a report that agrees with outcomes; one that
	// disagrees halves the confidence.
	confidenceGain = 5
	// minConfidence is the lowest confidence at which a report is used.
	minConfidence = 25
)

// reportLifetime is the number of answers after which a report is discarded.
const reportLifetime = 64

// A loadReport holds an upstream's last report of its load and the confidence
// in it. It can lower the number of requests that the upstream is given, to one
// at the least, but never raise it.
type loadReport struct {
	// requests and connections are the values of the last report.
	requests    uint32
	connections uint32
	// ownRequests is the maximum number of the limiter's own requests in flight
	// during the time that the report may cover.
	ownRequests uint32
	// ownPeak is the same maximum since the last report.
	ownPeak uint32
	// answersLeft is the number of answers until the report is discarded.
	answersLeft uint32
	// confidence is 0 to fullConfidence.
	confidence uint32
	// contradicted is set if requests were answered at the usual speed although
	// the report showed load from others.
	contradicted bool
}

func newLoadReport() loadReport {
	return loadReport{confidence: initialConfidence}
}

// usable reports whether the last report is used.
func (r *loadReport) usable() bool {
	return r.answersLeft > 0 && r.confidence >= minConfidence
}

// othersRequests returns the number of slots that others use, or zero if the
// report is not usable.
func (r *loadReport) othersRequests() uint32 {
	if !r.usable() || r.requests <= r.ownRequests {
		return 0
	}
	return (r.requests - r.ownRequests) * r.confidence / fullConfidence
}

// compareAnswer compares the report with an answer; usual is set if the answer
// came at the usual speed.
func (r *loadReport) compareAnswer(usual bool) {
	if r.answersLeft == 0 {
		return
	}
	r.answersLeft--
	if usual && r.requests > r.ownRequests {
		r.contradicted = true
	}
}

// updateConfidence changes the confidence by whether the last report agreed
// with outcomes.
func (r *loadReport) updateConfidence(agrees bool) {
	if agrees {
		r.confidence = min(fullConfidence, r.confidence+confidenceGain)
		return
	}
	r.confidence /= 2
}

// recordInFlight records the number of the limiter's own requests in flight.
func (r *loadReport) recordInFlight(requests uint32) {
	r.ownPeak = max(r.ownPeak, requests)
}

// update replaces the report; requestsInFlight and ownWatches are the limiter's
// own requests in flight and open watches.
func (r *loadReport) update(requests, connections, requestsInFlight, ownWatches uint32) {
	// The upstream must have at least the watches of this keeper; half of them
	// are required, because the report lags behind.
	r.updateConfidence(!r.contradicted && connections >= ownWatches/2)
	r.contradicted = false
	r.requests = requests
	r.connections = connections
	r.ownRequests = max(r.ownPeak, r.ownRequests/2)
	r.ownPeak = requestsInFlight
	r.answersLeft = reportLifetime
}

// openWatches returns the reported number of open watches, or zero if the
// report is not usable.
func (r *loadReport) openWatches() uint32 {
	if !r.usable() {
		return 0
	}
	return r.connections
}
