package upstream

import "time"

// resetsForRestart is the number of watches ended by the upstream since its
// last answer to a request after which it counts as restarted.
const resetsForRestart = 3

// restartSigns track signs that an upstream has restarted.
type restartSigns struct {
	generation uint32
	// generationKnown is set once a generation has been received.
	generationKnown bool
	// resets counts the watches that the upstream has ended since the last
	// answer to a request.
	resets uint32
}

// Down reports whether the upstream counts as down: it has left consecutive
// requests or probes unanswered.
func (l *Limiter) Down() bool {
	return l.liveness.down()
}

// ProbeAnswered processes the answer to a health probe and reports whether the
// upstream has restarted since the previous one.
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

// ProbeLost records that a probe was not answered in time.
func (l *Limiter) ProbeLost(_ time.Time) {
	l.liveness.probeLost()
	if l.liveness.down() {
		l.Restarted()
	}
}

// Reported records an upstream's report of its requests in flight and open
// watches.
func (l *Limiter) Reported(_ time.Time, requests, connections uint32) {
	l.loadReport.update(requests, connections, l.requests, l.watches)
}

// Restarted handles a sign that the upstream has restarted: the limit starts
// again at one.
func (l *Limiter) Restarted() {
	l.limit = 1
	l.increaseAfter = AnswersPerIncrease
	l.resetIncrease()
}

// ReportConfidence returns the confidence in the upstream's reports, in
// hundredths.
func (l *Limiter) ReportConfidence() uint32 {
	return l.loadReport.confidence
}

// WatchReset records that the upstream ended a watch by itself.
func (l *Limiter) WatchReset(_ time.Time) {
	l.restartSigns.resets++
	if l.restartSigns.resets >= resetsForRestart {
		l.restartSigns.resets = 0
		l.Restarted()
	}
}
