package upstream

import "time"

// Weights and bounds of latency.
const (
	// latencyWeight and baselineWeight are the parts of one answer in the
	// average of now and in the baseline, as divisors.
	latencyWeight  = 16
	baselineWeight = 256
	// overloadRatio is the ratio of the average to the baseline at which the
	// upstream is taken for overloaded.
	overloadRatio = 2
	// overloadSlack is added, so that very fast upstreams are not judged by the
	// noise of the network.
	overloadSlack = 5 * time.Millisecond
	// lossTimeoutFactor times the average, and at least minPatience, is the wait
	// after which a missing answer is held against the upstream: callers may
	// give up earlier.
	lossTimeoutFactor = 2
	minLossTimeout    = 100 * time.Millisecond
)

// A latency is what answers tell of an upstream's speed.
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

// lossTimeout returns how long the upstream may take before its silence counts.
func (l *latency) lossTimeout() time.Duration {
	return max(minLossTimeout, lossTimeoutFactor*l.average)
}

// elevated reports whether answers take much longer than they used to.
func (l *latency) elevated() bool {
	return l.average > overloadRatio*l.baseline+overloadSlack
}

// typical returns the time that answers take now, zero if unknown.
func (l *latency) typical() time.Duration {
	return l.average
}
