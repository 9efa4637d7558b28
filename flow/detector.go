package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// Times of evidence that balancers share.
const (
	// reportLifetime is how long a balancer's report counts: longer than the second
	// repeat of a packet takes.
	reportLifetime = time.Second
	// deathInterval is the time between two announcements of a death of one upstream.
	deathInterval = 2 * time.Second
	// minRefusals is the number of balancers that must find connections refused, in
	// zones that have as many.
	minRefusals = 2
	// minLateRequests is the number of late requests within reportLife that show that an
	// upstream is behind with its work.
	minLateRequests = 2
	// busyDuration is how long new flows avoid an upstream that is.
	busyDuration = time.Second
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
	upstreams map[directory.Ticket]*evidence
}

// evidence holds the reports on one upstream by the incarnation of who sent them.
type evidence struct {
	reports map[uint64]receivedReport
	// refusedAt has when each balancer told that connections are refusedAt.
	refusedAt map[uint64]time.Time
	// probedAt is when this balancer last probedAt it for another one's report.
	probedAt time.Time
	// lateAt has when requests were reported lateAt, and busied is when the upstream
	// was last found busy.
	lateAt []time.Time
	busyAt time.Time
	// announcedAt is when its death was announced, zero where that was refuted.
	announcedAt time.Time
	// lastProgress is the last progress that a refutation told of.
	lastProgress time.Time
}

type receivedReport struct {
	report Report
	at     time.Time
}

// NewDetector returns a detector without reports.
func NewDetector() *Detector {
	return &Detector{upstreams: make(map[directory.Ticket]*evidence)}
}

// AddReport takes a report of the balancer with an incarnation, one of a zone's living
// balancers. It returns the reports joined, and what they show. A death is refuted
// by progress that another balancer has seen within Silence.
func (d *Detector) AddReport(now time.Time, incarnation uint64, r Report, balancers int) (merged Report, found Finding) {
	e := d.upstreams[r.Ticket]
	if e == nil {
		e = &evidence{
			reports:   make(map[uint64]receivedReport),
			refusedAt: make(map[uint64]time.Time),
		}
		d.upstreams[r.Ticket] = e
	}
	if r.LateRequests > 0 {
		return e.addLate(now, r)
	}
	e.add(now, incarnation, r)
	merged = e.merge(now, r.Ticket)
	if !merged.conclusive(balancers) || !e.announcedAt.IsZero() && now.Sub(e.announcedAt) < deathInterval {
		return merged, FoundNothing
	}
	e.announcedAt = now
	if merged.refused(balancers) {
		// What the upstream showed before it refused contradicts nothing.
		merged.Silence = 0
	}
	return merged, FoundDead
}

// ShouldProbe reports whether the balancer with an incarnation is to find out by
// itself that an upstream refuses connections, as another one has told.
func (d *Detector) ShouldProbe(now time.Time, incarnation uint64, t directory.Ticket) bool {
	e := d.upstreams[t]
	if e == nil || now.Sub(e.probedAt) < probeInterval {
		return false
	}
	if at, own := e.refusedAt[incarnation]; len(e.refusedAt) == 0 || own && now.Sub(at) < reportLifetime {
		return false
	}
	e.probedAt = now
	return true
}

// Refute takes that an upstream has shown progress: its silence counts from then.
// It reports whether a death was announced here that this is the first to refute.
func (d *Detector) Refute(now time.Time, r Refutation) bool {
	e := d.upstreams[r.Ticket]
	if e == nil {
		return false
	}
	if at := now.Add(-r.Age); at.After(e.lastProgress) {
		e.lastProgress = at
	}
	first := !e.announcedAt.IsZero()
	e.announcedAt = time.Time{}
	return first
}

// Prune forgets upstreams without recent reports.
func (d *Detector) Prune(now time.Time) {
	for t, e := range d.upstreams {
		if e.merge(now, t); len(e.reports)+len(e.refusedAt) == 0 && now.Sub(e.busyAt) >= busyDuration && now.Sub(e.announcedAt) >= deathInterval {
			delete(d.upstreams, t)
		}
	}
}

// addLate counts requests that are late, and finds an upstream with several of
// them busy.
func (e *evidence) addLate(now time.Time, r Report) (Report, Finding) {
	for range min(r.LateRequests, minLateRequests) {
		e.lateAt = append(e.lateAt, now)
	}
	for len(e.lateAt) > 0 && now.Sub(e.lateAt[0]) >= reportLifetime {
		e.lateAt = e.lateAt[1:]
	}
	r.LateRequests = len(e.lateAt)
	if len(e.lateAt) < minLateRequests || now.Sub(e.busyAt) < busyDuration/2 {
		return r, FoundNothing
	}
	e.busyAt = now
	return r, FoundBusy
}

// add keeps a balancer's last report on silence, and its last on refusals.
func (e *evidence) add(now time.Time, incarnation uint64, r Report) {
	if r.Refusals > 0 {
		e.refusedAt[incarnation] = now
		return
	}
	e.reports[incarnation] = receivedReport{
		report: r,
		at:     now,
	}
}

// merge adds up the reports that still count.
func (e *evidence) merge(now time.Time, t directory.Ticket) Report {
	merged := Report{Ticket: t}
	for incarnation, r := range e.reports {
		age := now.Sub(r.at)
		if age >= reportLifetime || !r.at.After(e.lastProgress) {
			delete(e.reports, incarnation)
			continue
		}
		merged.SilentFlows += r.report.SilentFlows
		merged.Retransmissions += r.report.Retransmissions
		merged.Silence = max(merged.Silence, r.report.Silence+age)
	}
	for incarnation, at := range e.refusedAt {
		if now.Sub(at) >= reportLifetime || !at.After(e.lastProgress) {
			delete(e.refusedAt, incarnation)
			continue
		}
		merged.Refusals++
	}
	if !e.lastProgress.IsZero() {
		merged.Silence = min(merged.Silence, now.Sub(e.lastProgress))
	}
	return merged
}

// conclusive reports whether r shows that an upstream is dead. Only clients that
// wait repeat packets; a first packet may be unanswered since its client left. A
// refusal may come from a path that one balancer alone has.
func (r *Report) conclusive(balancers int) bool {
	if r.refused(balancers) {
		return true
	}
	return r.SilentFlows >= suspectFlows && r.Retransmissions >= deadRetransmissions && r.Silence >= deadAfter
}

// refused reports whether enough of a zone's balancers found connections refused.
func (r *Report) refused(balancers int) bool {
	return r.Refusals > 0 && r.Refusals >= min(minRefusals, balancers)
}
