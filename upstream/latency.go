package upstream

import "time"

// Weights and bounds of latency estimates.
const (
	// latencyWeight and baselineWeight are the weights of one answer in the
	// moving average and in the baseline, as divisors.
	latencyWeight  = 16
	baselineWeight = 256
	// overloadRatio is the ratio of the average to the baseline above which the
	// upstream counts as overloaded.
	overloadRatio = 2
	// overloadSlack is added to the threshold, so that network jitter does not
	// make very fast upstreams count as overloaded.
	overloadSlack = 5 * time.Millisecond
	// A missing answer counts as lost after lossTimeoutFactor times the
	// average, and at least minLossTimeout. Callers may give up earlier.
	lossTimeoutFactor = 2
	minLossTimeout    = 100 * time.Millisecond
)

// A latency estimates an upstream's answer times.
type latency struct {
	// average and baseline are zero before the first answer.
	average  time.Duration
	baseline time.Duration
}

func (l *latency) add(sample time.Duration) {
	if l.average == 0 {
		l.average = sample
		l.baseline = sample
		return
	}
	l.average += (sample - l.average) / latencyWeight
	l.baseline += (sample - l.baseline) / baselineWeight
	l.baseline = min(l.baseline, l.average)
}

// lossTimeout returns the time without an answer after which a request counts
// as lost.
func (l *latency) lossTimeout() time.Duration {
	return max(minLossTimeout, lossTimeoutFactor*l.average)
}

// elevated reports whether answers take much longer than the baseline.
func (l *latency) elevated() bool {
	return l.average > overloadRatio*l.baseline+overloadSlack
}

// typical returns the current average answer time, zero if unknown.
func (l *latency) typical() time.Duration {
	return l.average
}
