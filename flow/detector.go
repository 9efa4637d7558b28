package flow

import (
	"maps"
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

// Times and thresholds for the evidence that balancers share.
const (
	// reportLifetime is how long a balancer's report counts: longer than the time
	// until a packet's second retransmission.
	reportLifetime = time.Second
	// deathInterval is the minimum time between two inquiries on an upstream.
	deathInterval = 2 * time.Second
	// minRefusals is the number of balancers that must find connections refused before
	// the upstream is dead. In a zone with fewer balancers, all of them must.
	minRefusals = 2
	// minWitnesses is the number of balancers that must have found an upstream silent
	// before all of its flows are reset. In a zone with one balancer, that one must.
	minWitnesses = 2
	// probeRetransmissions is the number of retransmissions on one open flow after which
	// its upstream is probed, before the zone is asked.
	probeRetransmissions = flowRetransmissions - 1
	// minLateRequests is the number of late requests within reportLifetime that show
	// that an upstream is overloaded.
	minLateRequests = 2
	// busyDuration is how long new flows avoid an overloaded upstream.
	busyDuration = time.Second
)

// A Report is what one balancer has seen of an upstream's silence, or a sum of such
// reports.
type Report struct {
	Ticket directory.Ticket
	// SilentFlows is the number of open flows with retransmissions since the upstream's last
	// progress at the balancer, and Retransmissions is the number of their
	// retransmissions.
	SilentFlows     int
	Retransmissions int
	// Silence is the time since the first unanswered packet of an open flow was sent.
	Silence time.Duration
	// SilentOpenings, OpeningRetransmissions and OpeningSilence are the same for first
	// packets of flows. A host that holds as many flows as it can leaves them
	// unanswered and serves the others.
	SilentOpenings         int
	OpeningRetransmissions int
	OpeningSilence         time.Duration
	// FlowRetransmissions is the number of retransmissions on the open flow with the most. Since
	// that flow's oldest unanswered packet was first sent, the upstream has shown no
	// progress at the balancer, but another one has.
	FlowRetransmissions int
	// Refusals is the number of balancers whose connections to the upstream's
	// address are refused.
	Refusals int
	// LateRequests is the number of requests that became late since the last report:
	// they have been unanswered for lateRequestAfter.
	LateRequests int
	// Proven reports whether another upstream has answered a packet that the balancer sent
	// after the first retransmission. It is not sent to other balancers.
	Proven bool
}

// A Finding is what the reports show about an upstream.
type Finding uint8

// Findings.
const (
	// FoundNothing means that there is not enough evidence.
	FoundNothing Finding = iota
	// FoundBusy means that the upstream is overloaded.
	FoundBusy
	// FoundDead means that the upstream may be dead: an inquiry must show whether a
	// balancer has seen since that it lives, and which flows are affected.
	FoundDead
)

// A Refutation contradicts the death of an upstream: a balancer has seen progress.
type Refutation struct {
	Ticket directory.Ticket
	// Age is the time since the last progress.
	Age time.Duration
}

// A Detector is a failure detector. It merges the reports of a zone's balancers on the
// upstreams that one balancer watches, since a single balancer sees too few flows of
// an upstream to detect its failure quickly. It is not safe for concurrent use.
type Detector struct {
	upstreams map[directory.Ticket]*evidence
	// inquiries holds this balancer's inquiries that wait for answers, and lastID is
	// the ID of the last one. IDs start at the incarnation, so that those of two
	// watchers differ.
	inquiries map[directory.Ticket]*openInquiry
	lastID    uint32
	// candidates holds the upstreams whose inquiry is left to the other watcher.
	candidates map[directory.Ticket]candidate
	// ignoreUntil is until when reports are ignored.
	ignoreUntil time.Time
}

// evidence holds the reports on one upstream, by the sending balancer's incarnation.
type evidence struct {
	reports map[uint64]receivedReport
	// refusedAt holds when each balancer last reported refused connections.
	refusedAt map[uint64]time.Time
	// probedAt is when this balancer last probed the upstream because of another
	// balancer's report.
	probedAt time.Time
	// lateAt holds when late requests were reported, and busyAt is when the upstream
	// was last found busy.
	lateAt []time.Time
	busyAt time.Time
	// inquiredAt is when the last inquiry was made here, or confirmed elsewhere; zero
	// if none was, or if it was refuted.
	inquiredAt time.Time
	// lastProgress is the latest progress that a refutation reported.
	lastProgress time.Time
}

// receivedReport is a report with the time when it was received.
type receivedReport struct {
	report Report
	at     time.Time
}

// NewDetector returns the detector of the balancer with the given incarnation. It has no
// reports.
func NewDetector(incarnation uint64) *Detector {
	return &Detector{
		lastID:     uint32(incarnation),
		upstreams:  make(map[directory.Ticket]*evidence),
		inquiries:  make(map[directory.Ticket]*openInquiry),
		candidates: make(map[directory.Ticket]candidate),
	}
}

// AddReport adds a report from the balancer with the given incarnation; balancers is the
// number of live balancers in the zone. It returns the merged reports on the upstream
// and what they show.
func (d *Detector) AddReport(now time.Time, incarnation uint64, r Report, balancers int) (merged Report, found Finding) {
	if now.Before(d.ignoreUntil) {
		return r, FoundNothing
	}
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
	if !merged.conclusive(balancers) || now.Sub(e.inquiredAt) < deathInterval {
		return merged, FoundNothing
	}
	if balancers == 1 && !merged.refused(balancers) && !merged.Proven {
		// Nobody else can tell a silent upstream from this balancer's own silent link.
		return merged, FoundNothing
	}
	if merged.refused(balancers) {
		merged.Silence = e.refusedFor(now, balancers)
	}
	return merged, FoundDead
}

// ShouldProbe reports whether this balancer, which has the given incarnation, should probe an
// upstream because another balancer reported that it refuses connections, or because it seems to
// be silent. It counts as that probe: it returns true once per probeInterval at most.
func (d *Detector) ShouldProbe(now time.Time, incarnation uint64, t directory.Ticket) bool {
	e := d.upstreams[t]
	if e == nil || now.Sub(e.probedAt) < probeInterval {
		return false
	}
	if at, own := e.refusedAt[incarnation]; own && now.Sub(at) < reportLifetime {
		return false
	}
	if merged := e.merge(now, t); len(e.refusedAt) == 0 && !merged.suspicious() {
		return false
	}
	e.probedAt = now
	return true
}

// Refute records that an upstream has shown progress, so that its silence counts from
// then.
func (d *Detector) Refute(now time.Time, r Refutation) {
	delete(d.candidates, r.Ticket)
	e := d.upstreams[r.Ticket]
	if e == nil {
		return
	}
	if at := now.Add(-r.Age); at.After(e.lastProgress) {
		e.lastProgress = at
	}
	e.inquiredAt = time.Time{}
}

// Prune forgets upstreams without recent reports.
func (d *Detector) Prune(now time.Time) {
	for t, e := range d.upstreams {
		if e.merge(now, t); len(e.reports)+len(e.refusedAt) == 0 && now.Sub(e.busyAt) >= busyDuration && now.Sub(e.inquiredAt) >= deathInterval {
			delete(d.upstreams, t)
		}
	}
}

// addLate adds late requests, and returns FoundBusy if there are several within
// reportLifetime.
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

// add stores a balancer's latest report on silence, or its latest on refusals.
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

// merge returns the sum of the reports that still count, and deletes the others.
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
		merged.Proven = merged.Proven || r.report.Proven
		merged.FlowRetransmissions = max(merged.FlowRetransmissions, r.report.FlowRetransmissions)
		if r.report.SilentFlows > 0 {
			merged.Silence = max(merged.Silence, r.report.Silence+age)
		}
		merged.SilentOpenings += r.report.SilentOpenings
		merged.OpeningRetransmissions += r.report.OpeningRetransmissions
		if r.report.SilentOpenings > 0 {
			merged.OpeningSilence = max(merged.OpeningSilence, r.report.OpeningSilence+age)
		}
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
		merged.OpeningSilence = min(merged.OpeningSilence, now.Sub(e.lastProgress))
	}
	return merged
}

// conclusive reports whether the zone is to be asked about an upstream. Silence is judged by
// retransmissions, which only waiting clients send. One balancer's refusals don't suffice: the
// cause may be on a network path that only this balancer uses.
func (r *Report) conclusive(balancers int) bool {
	return r.refused(balancers) || r.silent() || r.unresponsive() || r.FlowRetransmissions >= flowRetransmissions
}

// silent reports whether several open flows show that an upstream is silent.
func (r *Report) silent() bool {
	return r.SilentFlows >= suspectFlows && r.Retransmissions >= deadRetransmissions && r.Silence >= deadAfter
}

// unresponsive reports whether several flows, open or not, show that an upstream does not
// respond.
func (r *Report) unresponsive() bool {
	return r.SilentFlows+r.SilentOpenings >= suspectFlows && r.Retransmissions+r.OpeningRetransmissions >= deadRetransmissions &&
		max(r.Silence, r.OpeningSilence) >= deadAfter
}

// suspicious reports whether the upstream should be probed, as the zone may soon be asked about
// it.
func (r *Report) suspicious() bool {
	return r.SilentFlows+r.SilentOpenings >= suspectFlows || r.FlowRetransmissions >= probeRetransmissions
}

// silence returns for how long nobody must have seen the upstream live. Reports on open flows
// say more than those on first packets.
func (r *Report) silence(balancers int) time.Duration {
	if r.refused(balancers) || r.silent() || r.FlowRetransmissions >= flowRetransmissions {
		return r.Silence
	}
	return max(r.Silence, r.OpeningSilence)
}

// refused reports whether enough balancers of the zone found connections refused.
func (r *Report) refused(balancers int) bool {
	return r.Refusals > 0 && r.Refusals >= refusalsNeeded(balancers)
}

// refusalsNeeded returns the number of balancers that must find connections refused, in a zone
// with the given number of balancers.
func refusalsNeeded(balancers int) int {
	return min(minRefusals, balancers)
}

// refusedFor returns the time since the first of the last refusals that suffice for a death.
// Progress from before that does not refute the death; an upstream that shows progress since
// has started again.
func (e *evidence) refusedFor(now time.Time, balancers int) time.Duration {
	times := slices.SortedFunc(maps.Values(e.refusedAt), func(a, b time.Time) int { return b.Compare(a) })
	return now.Sub(times[refusalsNeeded(balancers)-1])
}
