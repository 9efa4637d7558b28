package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

const (
	// answerTimeout is how long a watcher waits for the answers to an inquiry. After
	// that, those of more than half of the balancers suffice.
	answerTimeout = 150 * time.Millisecond
	// maxInquiryAge is how long after an inquiry a balancer accepts its confirmation.
	// A watcher that confirms later did not run meanwhile, and the upstream may have
	// recovered.
	maxInquiryAge = 600 * time.Millisecond
	// standbyDelay is how long the second watcher of an upstream leaves the inquiry to
	// the first one, and takeoverDelay how long it waits for the result of the first
	// one's inquiry.
	standbyDelay  = 100 * time.Millisecond
	takeoverDelay = 400 * time.Millisecond
	// refusalDelay is how long after refused connections the zone is asked. A host that
	// shuts down stops listening before it has answered its last requests: what it
	// answers meanwhile refutes its death.
	refusalDelay = 200 * time.Millisecond
)

// An Inquiry asks the balancers of a zone whether they have seen progress of an
// upstream that a watcher takes for dead.
type Inquiry struct {
	Ticket directory.Ticket
	// ID identifies the inquiry among those of its watcher.
	ID uint32
	// Silence is how long the upstream has been silent. If the upstream's address
	// refuses connections it is the time since it was refused: progress from before that
	// does not count.
	Silence time.Duration
	// Remote tells that the receiver is of another zone than the sender: it can refute
	// the death of an upstream of its own zone.
	Remote bool
}

// An Answer is a balancer's answer to an Inquiry.
type Answer struct {
	Ticket directory.Ticket
	ID     uint32
	// Alive reports whether the balancer has seen within the inquiry's Silence that the
	// upstream lives, by progress or by a probe, and Age is the time since then.
	Alive bool
	Age   time.Duration
	// Silent reports whether the upstream leaves packets of open flows unanswered here, and
	// Unreached whether it has left a probe unanswered. A balancer that has neither is no
	// witness: it may have sent the upstream nothing.
	Silent    bool
	Unreached bool
}

// A Scope tells which flows of an upstream the evidence of an inquiry affects.
type Scope uint8

// Scopes, in ascending order of the evidence that they need: the reset of an open flow can't be
// undone.
const (
	// ScopeNew means that only new flows avoid the upstream.
	ScopeNew Scope = iota
	// ScopeWaiting means that open flows with flowRetransmissions are reset, too.
	ScopeWaiting
	// ScopeAll means that the upstream is dead: all of its open flows are reset.
	ScopeAll
)

// String returns s's name.
func (s Scope) String() string {
	return [...]string{"new", "waiting", "all"}[min(s, ScopeAll)]
}

// A Confirmation ends an inquiry that no balancer has refuted. In ScopeNew nothing is reset.
type Confirmation struct {
	Ticket directory.Ticket
	// ID is that of the inquiry.
	ID    uint32
	Scope Scope
}

// An Outcome is what the answers to an inquiry show so far.
type Outcome uint8

// Outcomes of an inquiry.
const (
	// Undecided means that answers are missing, or that the inquiry is over.
	Undecided Outcome = iota
	// Confirmed means that the upstream is dead, or, in ScopeWaiting, that it does not
	// answer some flows.
	Confirmed
	// Unproven means that nobody has seen the upstream live, and that too few balancers
	// have tried it.
	Unproven
	// Refuted means that a balancer has seen that the upstream lives.
	Refuted
)

// openInquiry is an inquiry that waits for answers.
type openInquiry struct {
	Inquiry
	sentAt time.Time
	// balancers is the number of balancers of the zone, and missing holds the incarnations
	// of those that have not answered. The map remote holds the incarnations of the
	// balancers of the upstream's zone, if that is another one, that have not.
	balancers int
	missing   map[uint64]struct{}
	remote    map[uint64]struct{}
	// refused reports whether the upstream's address refuses connections, and single
	// whether a single flow has flowRetransmissions.
	refused bool
	single  bool
	// witnesses is the number of balancers that have found the upstream silent or
	// unreachable, and unreached that of those that have found it unreachable.
	witnesses int
	unreached int
}

// scope returns what the answers by now show, if none of them has refuted the inquiry. Flows
// without a packet under way are reset only if several balancers have tried the upstream, and
// if a probe was not answered: the path of a single balancer may be at fault, and a host
// that is full answers probes.
func (q *openInquiry) scope() Scope {
	switch {
	case q.refused, q.unreached > 0 && q.witnesses >= min(minWitnesses, q.balancers):
		return ScopeAll
	case q.single:
		return ScopeWaiting
	default:
		return ScopeNew
	}
}

// addAnswer adds the answer of a balancer.
func (q *openInquiry) addAnswer(incarnation uint64, a *Answer) {
	delete(q.remote, incarnation)
	if _, ok := q.missing[incarnation]; !ok {
		return
	}
	delete(q.missing, incarnation)
	if a.Silent || a.Unreached {
		q.witnesses++
	}
	if a.Unreached {
		q.unreached++
	}
}

// complete reports whether the answers received by now suffice. All balancers must
// answer within answerTimeout, since any of them may be the only one that has seen
// progress; one that does not answer in time must not protect a dead upstream for
// longer. Nobody can have seen progress within a silence of zero.
func (q *openInquiry) complete(now time.Time) bool {
	if len(q.missing)+len(q.remote) == 0 {
		return true
	}
	overdue := q.Silence == 0 || now.Sub(q.sentAt) >= answerTimeout
	return overdue && 2*len(q.missing) < q.balancers
}

// candidate is an upstream on which this balancer inquires when that is due, unless the
// other watcher does.
type candidate struct {
	merged  Report
	foundAt time.Time
	due     time.Time
}

// Inquire starts an inquiry on an upstream that the merged reports show to be dead.
// The argument balancers holds the incarnations of the zone's live balancers, including
// this one, and remote those of the upstream's zone if that is another one. It returns false
// if an inquiry on the upstream was made recently.
func (d *Detector) Inquire(now time.Time, merged *Report, balancers, remote []uint64) (Inquiry, bool) {
	e := d.upstreams[merged.Ticket]
	if e == nil || d.inquiries[merged.Ticket] != nil || now.Sub(e.inquiredAt) < deathInterval {
		return Inquiry{}, false
	}
	e.inquiredAt = now
	d.lastID++
	q := &openInquiry{
		Inquiry: Inquiry{
			Ticket:  merged.Ticket,
			ID:      d.lastID,
			Silence: merged.silence(len(balancers)),
		},
		sentAt:    now,
		balancers: len(balancers),
		missing:   setOf(balancers),
		remote:    setOf(remote),
		refused:   merged.refused(len(balancers)),
		single:    merged.FlowRetransmissions >= flowRetransmissions,
	}
	d.inquiries[merged.Ticket] = q
	return q.Inquiry, true
}

func setOf(incarnations []uint64) map[uint64]struct{} {
	set := make(map[uint64]struct{}, len(incarnations))
	for _, i := range incarnations {
		set[i] = struct{}{}
	}
	return set
}

// AddAnswer adds the answer of the balancer with the given incarnation, and returns what
// the inquiry shows then. The inquiry ends unless that is Undecided. The scope is that of a
// inquiry that is over without a refutation.
func (d *Detector) AddAnswer(now time.Time, incarnation uint64, a Answer) (Outcome, Scope) {
	q := d.inquiries[a.Ticket]
	if q == nil || q.ID != a.ID {
		return Undecided, ScopeNew
	}
	if a.Alive {
		delete(d.inquiries, a.Ticket)
		return Refuted, ScopeNew
	}
	q.addAnswer(incarnation, &a)
	if !q.complete(now) {
		return Undecided, ScopeNew
	}
	delete(d.inquiries, a.Ticket)
	scope := q.scope()
	if scope == ScopeNew {
		return Unproven, scope
	}
	return Confirmed, scope
}

// Overdue ends the inquiries whose answers are overdue, and returns the confirmations of those
// for which the answers received suffice.
func (d *Detector) Overdue(now time.Time) []Confirmation {
	var confirmed []Confirmation
	for t, q := range d.inquiries {
		if now.Sub(q.sentAt) < answerTimeout {
			continue
		}
		delete(d.inquiries, t)
		if q.complete(now) {
			confirmed = append(confirmed, Confirmation{
				Ticket: t,
				ID:     q.ID,
				Scope:  q.scope(),
			})
		}
	}
	return confirmed
}

// Defer puts off the inquiry on an upstream that the merged reports show to be dead by refused
// connections, or that this balancer is probing; Due returns the reports when the inquiry is due.
// It reports whether it does so, and whether this is the first such call on the upstream.
func (d *Detector) Defer(now time.Time, merged *Report) (deferred, first bool) {
	if merged.Refusals > 0 {
		return true, d.addCandidate(now, merged, refusalDelay)
	}
	if e := d.upstreams[merged.Ticket]; e != nil && now.Sub(e.probedAt) < ProbeTimeout {
		return true, d.addCandidate(now, merged, e.probedAt.Add(ProbeTimeout).Sub(now))
	}
	return false, false
}

// StandBy leaves the inquiry on an upstream that the merged reports show to be dead to
// the other watcher. If that makes none in time, or does not finish it, Due returns the
// reports.
func (d *Detector) StandBy(now time.Time, merged *Report) {
	delay := standbyDelay
	switch e := d.upstreams[merged.Ticket]; {
	case merged.Refusals > 0:
		delay += refusalDelay
	case e != nil && now.Sub(e.probedAt) < ProbeTimeout:
		delay += e.probedAt.Add(ProbeTimeout).Sub(now)
	}
	d.addCandidate(now, merged, delay)
}

// addCandidate adds a candidate that is due after a delay, unless there is one already. It
// reports whether it did.
func (d *Detector) addCandidate(now time.Time, merged *Report, delay time.Duration) bool {
	if _, ok := d.candidates[merged.Ticket]; ok {
		return false
	}
	d.candidates[merged.Ticket] = candidate{
		merged:  *merged,
		foundAt: now,
		due:     now.Add(delay),
	}
	return true
}

// Due returns the merged reports of StandBy on which this balancer is to inquire now.
func (d *Detector) Due(now time.Time) []Report {
	var due []Report
	for t, c := range d.candidates {
		if !now.Before(c.due) {
			delete(d.candidates, t)
			c.merged.Silence += now.Sub(c.foundAt)
			c.merged.OpeningSilence += now.Sub(c.foundAt)
			due = append(due, c.merged)
		}
	}
	return due
}

// Waiting reports whether Overdue or Due have something to wait for.
func (d *Detector) Waiting() bool {
	return len(d.inquiries)+len(d.candidates) > 0
}

// ObserveInquiry records that another watcher has started an inquiry.
func (d *Detector) ObserveInquiry(now time.Time, t directory.Ticket) {
	if c, ok := d.candidates[t]; ok {
		c.due = now.Add(takeoverDelay)
		d.candidates[t] = c
	}
}

// ObserveConfirmation records that another watcher's inquiry was confirmed.
func (d *Detector) ObserveConfirmation(now time.Time, t directory.Ticket) {
	delete(d.candidates, t)
	if e := d.upstreams[t]; e != nil {
		e.inquiredAt = now
	}
}

// HandleBacklog tells the detector that a message which is handled now has waited for the
// given time. The reports and answers of a balancer that runs behind are out of date.
func (d *Detector) HandleBacklog(now time.Time, waited time.Duration) {
	if waited >= maxBacklog {
		d.HandleResume(now)
	}
}

// HandleResume tells the detector that the process did not run for a while until now.
// Reports and answers that queued up meanwhile are out of date.
func (d *Detector) HandleResume(now time.Time) {
	d.ignoreUntil = now.Add(resumeGracePeriod)
	clear(d.inquiries)
	clear(d.candidates)
	clear(d.upstreams)
}
