package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// Times of evidence that balancers share.
const (
	// reportLife is how long a balancer's report counts: longer than the second
	// repeat of a packet takes.
	reportLife = time.Second
	// verdictPause is the time between two verdicts on one upstream.
	verdictPause = 2 * time.Second
	// ObjectionWait is how long a verdict waits for balancers that have heard of
	// the upstream since: a few round trips within a zone.
	ObjectionWait = 60 * time.Millisecond
)

// A Report tells what one balancer has seen of an upstream's silence.
type Report struct {
	Ticket directory.Ticket
	// Flows is the number of flows that repeat packets, and Repeats that of
	// their repeats, since the upstream's last progress there.
	Flows   int
	Repeats int
	// Openings is the number of first packets that are overdue since then.
	Openings int
	// Silence is the time since the first unanswered packet.
	Silence time.Duration
}

// A Jury joins the reports of a zone's balancers on the upstreams that one
// balancer watches. Each sees too few of an upstream's flows to judge it soon.
// It is not safe for concurrent use.
type Jury struct {
	cases map[directory.Ticket]*docket
}

// docket holds the reports on one upstream by the incarnation of who sent them.
type docket struct {
	reports map[uint64]reported
	judged  time.Time
}

type reported struct {
	report Report
	at     time.Time
}

// NewJury returns a jury without reports.
func NewJury() *Jury {
	return &Jury{cases: make(map[directory.Ticket]*docket)}
}

// Hear takes a report of the balancer with an incarnation. It returns the
// reports joined, and whether they show that the upstream is dead: then Silence
// is the time in which progress contradicts that.
func (j *Jury) Hear(now time.Time, incarnation uint64, r Report) (joined Report, dead bool) {
	c := j.cases[r.Ticket]
	if c == nil {
		c = &docket{reports: make(map[uint64]reported)}
		j.cases[r.Ticket] = c
	}
	c.reports[incarnation] = reported{
		report: r,
		at:     now,
	}
	joined = c.join(now, r.Ticket)
	if !joined.conclusive() || !c.judged.IsZero() && now.Sub(c.judged) < verdictPause {
		return joined, false
	}
	c.judged = now
	// Balancers that were answered before all of that object to nothing.
	joined.Silence = min(joined.Silence, deadAfter)
	return joined, true
}

// Prune forgets upstreams without recent reports.
func (j *Jury) Prune(now time.Time) {
	for t, c := range j.cases {
		if c.join(now, t); len(c.reports) == 0 && now.Sub(c.judged) >= verdictPause {
			delete(j.cases, t)
		}
	}
}

// join adds up the reports that still count.
func (c *docket) join(now time.Time, t directory.Ticket) Report {
	joined := Report{Ticket: t}
	for incarnation, r := range c.reports {
		age := now.Sub(r.at)
		if age >= reportLife {
			delete(c.reports, incarnation)
			continue
		}
		joined.Flows += r.report.Flows
		joined.Repeats += r.report.Repeats
		joined.Openings += r.report.Openings
		joined.Silence = max(joined.Silence, r.report.Silence+age)
	}
	return joined
}

// conclusive reports whether r shows that an upstream is dead.
func (r *Report) conclusive() bool {
	return r.Flows >= suspectFlows && r.Repeats >= deadRepeats && r.Silence >= deadAfter || r.Openings >= deadOpenings
}
