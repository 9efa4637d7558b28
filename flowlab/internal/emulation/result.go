package emulation

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/flow"
)

// windowLength is the length of a Window.
const windowLength = time.Second

// A Window counts the requests that began in a second, by outcome.
type Window struct {
	Sent   int
	OnTime int
	Late   int
	Failed int
}

// add adds the counts of another window.
func (w *Window) add(o Window) {
	w.Sent += o.Sent
	w.OnTime += o.OnTime
	w.Late += o.Late
	w.Failed += o.Failed
}

// OnTimeShare returns the share of finished requests that were answered within
// the latency target, or 1 if there are none.
func (w Window) OnTimeShare() float64 {
	if n := w.OnTime + w.Late + w.Failed; n > 0 {
		return float64(w.OnTime) / float64(n)
	}
	return 1
}

// A Result is the result of a run.
type Result struct {
	Load    string
	Options Options
	Windows []Window
	// FailedHosts is the number of hosts that failed. DetectionTimes holds, in
	// increasing order, the times until a balancer first considered each one
	// dead; hosts that no balancer did are left out.
	FailedHosts    int
	DetectionTimes []time.Duration
	// LiveFlowResets is the number of flows of live hosts that balancers reset.
	LiveFlowResets int
	// Probes is the number of probes, which are connections to hosts.
	Probes int
}

func newResult(l *Load, o Options) *Result {
	return &Result{
		Load:    l.Name,
		Options: o,
		Windows: make([]Window, int(l.Length.Duration/windowLength)+1),
	}
}

// Total returns the counts of the whole run.
func (r *Result) Total() Window {
	var t Window
	for _, w := range r.Windows {
		t.add(w)
	}
	return t
}

// WorstOnTimeShare returns the smallest OnTimeShare of a window.
func (r *Result) WorstOnTimeShare() float64 {
	worst := 1.0
	for _, w := range r.Windows {
		worst = min(worst, w.OnTimeShare())
	}
	return worst
}

// MedianDetectionTime returns the median of DetectionTimes, or 0 if there are
// none.
func (r *Result) MedianDetectionTime() time.Duration {
	if len(r.DetectionTimes) == 0 {
		return 0
	}
	return r.DetectionTimes[len(r.DetectionTimes)/2]
}

// window returns the window of a time.
func (r *Result) window(at time.Time) *Window {
	return &r.Windows[int(at.Sub(epoch)/windowLength)]
}

// requestSent counts a request that begins now.
func (r *Result) requestSent(e *emulation) {
	r.window(e.now).Sent++
}

// requestFinished counts the outcome of a request in the window in which it
// began.
func (r *Result) requestFinished(e *emulation, q *request, answered bool) {
	w := r.window(q.sent)
	switch {
	case !answered:
		w.Failed++
	case e.now.Sub(q.sent) <= e.load.Users.LatencyTarget.Duration:
		w.OnTime++
	default:
		w.Late++
	}
}

// stateChanged records the detection of a failed host when a balancer first
// considers it dead.
func (r *Result) stateChanged(e *emulation, h *host, s flow.State) {
	if s != flow.Dead || h.failedAt.IsZero() || !h.detectedAt.IsZero() {
		return
	}
	h.detectedAt = e.now
	r.DetectionTimes = append(r.DetectionTimes, e.now.Sub(h.failedAt))
}

// flowReset counts a flow that a balancer resets, if its host is live.
func (r *Result) flowReset(c *conn) {
	if c.open && !c.closed && c.host.state == hostServing && c.host.incarnation == c.incarnation {
		r.LiveFlowResets++
	}
}

func (r *Result) sortDetectionTimes() {
	slices.Sort(r.DetectionTimes)
}
