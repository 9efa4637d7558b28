package upstream

import "time"

// resetRun is the number of watches that end by themselves since the last
// answer to a request after which an upstream is taken for restarted.
const resetRun = 3

// A restart is what signs of a restart have been seen.
type restart struct {
	generation uint32
	// known tells that generation has been heard.
	known bool
	// resets counts watches that the upstream ended since the last answer.
	resets uint32
}

// Down reports whether the upstream answers neither work nor probes.
func (g *Limiter) Down() bool {
	return g.life.down()
}

// ProbeAnswered takes the answer to a probe of the upstream's health and
// reports whether the upstream has restarted since the one before.
func (g *Limiter) ProbeAnswered(_ time.Time, generation uint32) bool {
	r := &g.restart
	restarted := r.known && r.generation != generation
	r.generation = generation
	r.known = true
	g.life.probeAnswered()
	if restarted {
		g.Restarted()
	}
	return restarted
}

// ProbeLost takes that a probe was not answered in time.
func (g *Limiter) ProbeLost(_ time.Time) {
	g.life.probeLost()
	if g.life.down() {
		g.Restarted()
	}
}

// Reported takes an upstream's report of its requests in flight and open
// watches.
func (g *Limiter) Reported(_ time.Time, requests, connections uint32) {
	g.report.set(requests, connections, g.requests, g.watches)
}

// Restarted takes a sign that the upstream has restarted: it is cold.
func (g *Limiter) Restarted() {
	g.limit = 1
	g.growth = AnswersPerIncrease
	g.changed()
}

// ReportConfidence returns how far the upstream's reports are believed, in hundredths.
func (g *Limiter) ReportConfidence() uint32 {
	return g.report.trust
}

// WatchReset takes that the upstream ended a watch by itself.
func (g *Limiter) WatchReset(_ time.Time) {
	g.restart.resets++
	if g.restart.resets >= resetRun {
		g.restart.resets = 0
		g.Restarted()
	}
}
