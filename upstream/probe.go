package upstream

import "time"

// resetsForRestart is the number of watches that end by themselves since the last
// answer to a request after which an upstream is taken for restarted.
const resetsForRestart = 3

// A restartSigns is what signs of a restartSigns have been seen.
type restartSigns struct {
	generation uint32
	// generationKnown tells that generation has been heard.
	generationKnown bool
	// resets counts watches that the upstream ended since the last answer.
	resets uint32
}

// Down reports whether the upstream answers neither work nor probes.
func (l *Limiter) Down() bool {
	return l.liveness.down()
}

// ProbeAnswered takes the answer to a probe of the upstream's health and
// reports whether the upstream has restarted since the one before.
func (l *Limiter) ProbeAnswered(_ time.Time, generation uint32) bool {
	r := &l.restartSigns
	restarted := r.generationKnown && r.generation != generation
	r.generation = generation
	r.generationKnown = true
	l.liveness.probeAnswered()
	if restarted {
		l.Restarted()
	}
	return restarted
}

// ProbeLost takes that a probe was not answered in time.
func (l *Limiter) ProbeLost(_ time.Time) {
	l.liveness.probeLost()
	if l.liveness.down() {
		l.Restarted()
	}
}

// Reported takes an upstream's report of its requests in flight and open
// watches.
func (l *Limiter) Reported(_ time.Time, requests, connections uint32) {
	l.loadReport.update(requests, connections, l.requests, l.watches)
}

// Restarted takes a sign that the upstream has restarted: it is cold.
func (l *Limiter) Restarted() {
	l.limit = 1
	l.increaseAfter = AnswersPerIncrease
	l.resetIncrease()
}

// ReportConfidence returns how far the upstream's reports are believed, in hundredths.
func (l *Limiter) ReportConfidence() uint32 {
	return l.loadReport.confidence
}

// WatchReset takes that the upstream ended a watch by itself.
func (l *Limiter) WatchReset(_ time.Time) {
	l.restartSigns.resets++
	if l.restartSigns.resets >= resetsForRestart {
		l.restartSigns.resets = 0
		l.Restarted()
	}
}
