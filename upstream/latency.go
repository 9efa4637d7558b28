package upstream

import "time"

// Weights and bounds of latency.
const (
	// latencyWeight and baselineWeight are the parts of one answer in the
	// average of now and in the baseline, as divisors.
	latencyWeight  = 16
	baselineWeight = 256
	// latencyRise is the ratio of the average to the baseline at which the
	// upstream is taken for overloaded.
	latencyRise = 2
	// latencySlack is added, so that very fast upstreams are not judged by the
	// noise of the network.
	latencySlack = 5 * time.Millisecond
	// patienceFactor times the average, and at least minPatience, is the wait
	// after which a missing answer is held against the upstream: callers may
	// give up earlier.
	patienceFactor = 2
	minPatience    = 100 * time.Millisecond
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

// patience returns how long the upstream may take before its silence counts.
func (l *latency) patience() time.Duration {
	return max(minPatience, patienceFactor*l.average)
}

// risen reports whether answers take much longer than they used to.
func (l *latency) risen() bool {
	return l.average > latencyRise*l.baseline+latencySlack
}

// usual returns the time that answers take now, zero if unknown.
func (l *latency) usual() time.Duration {
	return l.average
}
