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
	// deathPause is the time between two announcements of a death of one upstream.
	deathPause = 2 * time.Second
	// refusals is the number of balancers that must find connections refused, in
	// zones that have as many.
	refusals = 2
	// busyLate is the number of late requests within reportLife that show that an
	// upstream is behind with its work.
	busyLate = 2
	// busyTime is how long new flows avoid an upstream that is.
	busyTime = time.Second
	// RefutationTimeout is how long a death waits for balancers that have heard of
	// the upstream since: a few round trips within a zone.
	RefutationTimeout = 60 * time.Millisecond
)

// A Report tells what one balancer has seen of an upstream's silence.
type Report struct {
	Ticket directory.Ticket
	// SilentFlows is the number of flows that repeat packets, and Retransmissions that of
	// their repeats, since the upstream's last progress there.
	SilentFlows     int
	Retransmissions int
	// Silence is the time since the first unanswered packet.
	Silence time.Duration
	// Refusals is the number of balancers at which the upstream's address refuses
	// connections.
	Refusals int
	// LateRequests is the number of requests that have been unanswered for requestDoubt
	// since the last report.
	LateRequests int
}

// A Finding is what reports show of an upstream.
type Finding uint8

// Findings.
const (
	// FoundNothing tells that the reports don't suffice.
	FoundNothing Finding = iota
	// FoundBusy tells that the upstream is behind with its work.
	FoundBusy
	// FoundDead tells that it is dead, unless it has shown progress to another
	// balancer meanwhile.
	FoundDead
)

// A Refutation tells that an upstream has shown progress at a balancer.
type Refutation struct {
	Ticket directory.Ticket
	// Age is the time since the last progress.
	Age time.Duration
}

// A Detector joins the reports of a zone's balancers on the upstreams that one
// balancer watches. Each sees too few of an upstream's flows to judge it soon.
// It is not safe for concurrent use.
type Detector struct {
	subjects map[directory.Ticket]*subject
}

// subject holds the reports on one upstream by the incarnation of who sent them.
type subject struct {
	reports map[uint64]reported
	// refused has when each balancer told that connections are refused.
	refused map[uint64]time.Time
	// probed is when this balancer last probed it for another one's report.
	probed time.Time
	// late has when requests were reported late, and busied is when the upstream
	// was last found busy.
	late   []time.Time
	busied time.Time
	// judged is when its death was announced, zero where that was refuted.
	judged time.Time
	// progressed is the last progress that a refutation told of.
	progressed time.Time
}

type reported struct {
	report Report
	at     time.Time
}

// NewDetector returns a detector without reports.
func NewDetector() *Detector {
	return &Detector{subjects: make(map[directory.Ticket]*subject)}
}

// AddReport takes a report of the balancer with an incarnation, one of a zone's living
// balancers. It returns the reports joined, and what they show. A death is refuted
// by progress that another balancer has seen within Silence.
func (d *Detector) AddReport(now time.Time, incarnation uint64, r Report, balancers int) (joined Report, found Finding) {
	c := d.subjects[r.Ticket]
	if c == nil {
		c = &subject{
			reports: make(map[uint64]reported),
			refused: make(map[uint64]time.Time),
		}
		d.subjects[r.Ticket] = c
	}
	if r.LateRequests > 0 {
		return c.takeLate(now, r)
	}
	c.take(now, incarnation, r)
	joined = c.join(now, r.Ticket)
	if !joined.conclusive(balancers) || !c.judged.IsZero() && now.Sub(c.judged) < deathPause {
		return joined, FoundNothing
	}
	c.judged = now
	if joined.refused(balancers) {
		// What the upstream showed before it refused contradicts nothing.
		joined.Silence = 0
	}
	return joined, FoundDead
}

// ShouldProbe reports whether the balancer with an incarnation is to find out by
// itself that an upstream refuses connections, as another one has told.
func (d *Detector) ShouldProbe(now time.Time, incarnation uint64, t directory.Ticket) bool {
	c := d.subjects[t]
	if c == nil || now.Sub(c.probed) < probeInterval {
		return false
	}
	if at, own := c.refused[incarnation]; len(c.refused) == 0 || own && now.Sub(at) < reportLife {
		return false
	}
	c.probed = now
	return true
}

// Refute takes that an upstream has shown progress: its silence counts from then.
// It reports whether a death was announced here that this is the first to refute.
func (d *Detector) Refute(now time.Time, r Refutation) bool {
	c := d.subjects[r.Ticket]
	if c == nil {
		return false
	}
	if at := now.Add(-r.Age); at.After(c.progressed) {
		c.progressed = at
	}
	first := !c.judged.IsZero()
	c.judged = time.Time{}
	return first
}

// Prune forgets upstreams without recent reports.
func (d *Detector) Prune(now time.Time) {
	for t, c := range d.subjects {
		if c.join(now, t); len(c.reports)+len(c.refused) == 0 && now.Sub(c.busied) >= busyTime && now.Sub(c.judged) >= deathPause {
			delete(d.subjects, t)
		}
	}
}

// takeLate counts requests that are late, and finds an upstream with several of
// them busy.
func (c *subject) takeLate(now time.Time, r Report) (Report, Finding) {
	for range min(r.LateRequests, busyLate) {
		c.late = append(c.late, now)
	}
	for len(c.late) > 0 && now.Sub(c.late[0]) >= reportLife {
		c.late = c.late[1:]
	}
	r.LateRequests = len(c.late)
	if len(c.late) < busyLate || now.Sub(c.busied) < busyTime/2 {
		return r, FoundNothing
	}
	c.busied = now
	return r, FoundBusy
}

// take keeps a balancer's last report on silence, and its last on refusals.
func (c *subject) take(now time.Time, incarnation uint64, r Report) {
	if r.Refusals > 0 {
		c.refused[incarnation] = now
		return
	}
	c.reports[incarnation] = reported{
		report: r,
		at:     now,
	}
}

// join adds up the reports that still count.
func (c *subject) join(now time.Time, t directory.Ticket) Report {
	joined := Report{Ticket: t}
	for incarnation, r := range c.reports {
		age := now.Sub(r.at)
		if age >= reportLife || !r.at.After(c.progressed) {
			delete(c.reports, incarnation)
			continue
		}
		joined.SilentFlows += r.report.SilentFlows
		joined.Retransmissions += r.report.Retransmissions
		joined.Silence = max(joined.Silence, r.report.Silence+age)
	}
	for incarnation, at := range c.refused {
		if now.Sub(at) >= reportLife || !at.After(c.progressed) {
			delete(c.refused, incarnation)
			continue
		}
		joined.Refusals++
	}
	if !c.progressed.IsZero() {
		joined.Silence = min(joined.Silence, now.Sub(c.progressed))
	}
	return joined
}

// conclusive reports whether r shows that an upstream is dead. Only clients that
// wait repeat packets; a first packet may be unanswered since its client left. A
// refusal may come from a path that one balancer alone has.
func (r *Report) conclusive(balancers int) bool {
	if r.refused(balancers) {
		return true
	}
	return r.SilentFlows >= suspectFlows && r.Retransmissions >= deadRepeats && r.Silence >= deadAfter
}

// refused reports whether enough of a zone's balancers found connections refused.
func (r *Report) refused(balancers int) bool {
	return r.Refusals > 0 && r.Refusals >= min(refusals, balancers)
}
