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
	// Refused counts the attempts that hosts refused, and Rejected the new flows that
	// balancers rejected for want of room.
	Refused  int
	Rejected int
}

// add adds the counts of another window.
func (w *Window) add(o Window) {
	w.Sent += o.Sent
	w.OnTime += o.OnTime
	w.Late += o.Late
	w.Failed += o.Failed
	w.Refused += o.Refused
	w.Rejected += o.Rejected
}

// OnTimeShare returns the share of finished requests that were answered within
// the latency target, or 1 if there are none.
func (w Window) OnTimeShare() float64 {
	if n := w.OnTime + w.Late + w.Failed; n > 0 {
		return float64(w.OnTime) / float64(n)
	}
	return 1
}

// A Part is the result for the requests of one zone or kind.
type Part struct {
	Name    string
	Windows []Window
	// BusiestOverMean is the number of requests that reached the host with the most, over the
	// mean of the hosts of the zone, or of all hosts for a kind. It is 0 without requests.
	BusiestOverMean float64
}

// Total returns the counts of the whole run.
func (p *Part) Total() Window {
	var t Window
	for _, w := range p.Windows {
		t.add(w)
	}
	return t
}

// WorstOnTimeShare returns the smallest OnTimeShare of two seconds in a row.
func (p *Part) WorstOnTimeShare() float64 {
	worst := 1.0
	for i := 1; i < len(p.Windows); i++ {
		w := p.Windows[i-1]
		w.add(p.Windows[i])
		worst = min(worst, w.OnTimeShare())
	}
	return worst
}

// A Result is the result of a run.
type Result struct {
	Load    string
	Options Options
	Windows []Window
	// Zones and Kinds hold the results by the user's zone and by kind of request.
	Zones []Part
	Kinds []Part
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
	windows := int(l.Length.Duration/windowLength) + 1
	r := &Result{
		Load:    l.Name,
		Options: o,
		Windows: make([]Window, windows),
	}
	for zone := range l.Zones {
		r.Zones = append(r.Zones, Part{
			Name:    zoneName(zone),
			Windows: make([]Window, windows),
		})
	}
	for _, k := range l.kinds() {
		r.Kinds = append(r.Kinds, Part{
			Name:    k.Name,
			Windows: make([]Window, windows),
		})
	}
	return r
}

// setBusiest sets Part.BusiestOverMean of all parts.
func (r *Result) setBusiest(e *emulation) {
	var all []*host
	for zone, hosts := range e.hostsByZone {
		all = append(all, hosts...)
		r.Zones[zone].BusiestOverMean = busiestOverMean(hosts, func(h *host) int {
			sum := 0
			for _, n := range h.received {
				sum += n
			}
			return sum
		})
	}
	for kind := range r.Kinds {
		r.Kinds[kind].BusiestOverMean = busiestOverMean(all, func(h *host) int { return h.received[kind] })
	}
}

// busiestOverMean returns the largest count of hosts over their mean, or 0 if all are 0.
func busiestOverMean(hosts []*host, count func(*host) int) float64 {
	most, sum := 0, 0
	for _, h := range hosts {
		most = max(most, count(h))
		sum += count(h)
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(hosts)) / float64(sum)
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

// count adds to the windows in which a request began: those of the run, its zone and its kind.
func (r *Result) count(q *request, add func(w *Window)) {
	i := int(q.sent.Sub(epoch) / windowLength)
	add(&r.Windows[i])
	add(&r.Zones[q.user.zone].Windows[i])
	add(&r.Kinds[q.user.kind].Windows[i])
}

// requestFinished counts the outcome of a request in the window in which it
// began.
func (r *Result) requestFinished(e *emulation, q *request, answered bool) {
	onTime := e.now.Sub(q.sent) <= e.kinds[q.user.kind].LatencyGoal.Duration
	r.count(q, func(w *Window) {
		switch {
		case !answered:
			w.Failed++
		case onTime:
			w.OnTime++
		default:
			w.Late++
		}
	})
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
