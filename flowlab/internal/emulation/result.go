package emulation

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/flow"
)

// windowLength is the time that one window of a result counts.
const windowLength = time.Second

// A Window counts the requests that began in a second.
type Window struct {
	Sent   int
	OnTime int
	Late   int
	Failed int
}

// add adds another window's counts.
func (w *Window) add(o Window) {
	w.Sent += o.Sent
	w.OnTime += o.OnTime
	w.Late += o.Late
	w.Failed += o.Failed
}

// OnTimeShare returns the share of the requests that was answered in aim; one where
// there was none.
func (w Window) OnTimeShare() float64 {
	if n := w.OnTime + w.Late + w.Failed; n > 0 {
		return float64(w.OnTime) / float64(n)
	}
	return 1
}

// A Result is what came of a run.
type Result struct {
	Load    string
	Options Options
	Windows []Window
	// FailedHosts is the number of hosts that failed, DetectionTimes the times until the first
	// balancer took each for dead; those that none found are left out.
	FailedHosts    int
	DetectionTimes []time.Duration
	// LiveFlowResets is the number of flows of living hosts that balancers reset.
	LiveFlowResets int
	// Probes is the number of connections that probed hosts.
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

// WorstOnTimeShare returns the smallest share in aim of a second with requests.
func (r *Result) WorstOnTimeShare() float64 {
	worst := 1.0
	for _, w := range r.Windows {
		worst = min(worst, w.OnTimeShare())
	}
	return worst
}

// MedianDetectionTime returns the median time until a failed host was taken for dead;
// zero where none was.
func (r *Result) MedianDetectionTime() time.Duration {
	if len(r.DetectionTimes) == 0 {
		return 0
	}
	return r.DetectionTimes[len(r.DetectionTimes)/2]
}

func (r *Result) window(at time.Time) *Window {
	return &r.Windows[int(at.Sub(epoch)/windowLength)]
}

func (r *Result) requestSent(e *emulation) {
	r.window(e.now).Sent++
}

// requestFinished counts a request where it began.
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

// stateChanged takes what a balancer believes of a host.
func (r *Result) stateChanged(e *emulation, h *host, s flow.State) {
	if s != flow.Dead || h.failedAt.IsZero() || !h.detectedAt.IsZero() {
		return
	}
	h.detectedAt = e.now
	r.DetectionTimes = append(r.DetectionTimes, e.now.Sub(h.failedAt))
}

// flowReset takes a flow that a balancer resets since its host is dead.
func (r *Result) flowReset(c *conn) {
	if c.open && !c.closed && c.host.state == hostServing && c.host.incarnation == c.incarnation {
		r.LiveFlowResets++
	}
}

func (r *Result) sortDetectionTimes() {
	slices.Sort(r.DetectionTimes)
}
