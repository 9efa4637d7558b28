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
	// Single reports whether the evidence is of a single flow: the confirmation resets
	// only flows with as many retransmissions.
	Single bool
}

// An Answer is a balancer's answer to an Inquiry.
type Answer struct {
	Ticket directory.Ticket
	ID     uint32
	// Alive reports whether the balancer has seen progress within the inquiry's
	// Silence, and Age is the time since that progress.
	Alive bool
	Age   time.Duration
}

// An Outcome is what the answers to an inquiry show so far.
type Outcome uint8

// Outcomes of an inquiry.
const (
	// Undecided means that answers are missing, or that the inquiry is over.
	Undecided Outcome = iota
	// Confirmed means that the upstream is dead.
	Confirmed
	// Refuted means that a balancer has seen progress.
	Refuted
)

// openInquiry is an inquiry that waits for answers.
type openInquiry struct {
	Inquiry
	sentAt time.Time
	// balancers is the number of balancers asked, and missing holds the incarnations
	// of those that have not answered.
	balancers int
	missing   map[uint64]struct{}
}

// confirmed reports whether the answers received by now suffice. All balancers must
// answer within answerTimeout, since any of them may be the only one that has seen
// progress; one that does not answer in time must not protect a dead upstream for
// longer. Nobody can have seen progress within a silence of zero.
func (q *openInquiry) confirmed(now time.Time) bool {
	if len(q.missing) == 0 {
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
// this one. It returns false if an inquiry on the upstream was made recently.
func (d *Detector) Inquire(now time.Time, merged *Report, balancers []uint64) (Inquiry, bool) {
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
			Silence: merged.Silence,
			Single:  !merged.refused(len(balancers)) && !merged.silent(),
		},
		sentAt:    now,
		balancers: len(balancers),
		missing:   make(map[uint64]struct{}, len(balancers)),
	}
	for _, b := range balancers {
		q.missing[b] = struct{}{}
	}
	d.inquiries[merged.Ticket] = q
	return q.Inquiry, true
}

// AddAnswer adds the answer of the balancer with the given incarnation, and returns what
// the inquiry shows then. The inquiry ends unless that is Undecided.
func (d *Detector) AddAnswer(now time.Time, incarnation uint64, a Answer) Outcome {
	q := d.inquiries[a.Ticket]
	if q == nil || q.ID != a.ID {
		return Undecided
	}
	if a.Alive {
		delete(d.inquiries, a.Ticket)
		return Refuted
	}
	delete(q.missing, incarnation)
	if !q.confirmed(now) {
		return Undecided
	}
	delete(d.inquiries, a.Ticket)
	return Confirmed
}

// Overdue ends the inquiries whose answers are overdue, and returns those that the
// answers received suffice to confirm.
func (d *Detector) Overdue(now time.Time) []Inquiry {
	var confirmed []Inquiry
	for t, q := range d.inquiries {
		if now.Sub(q.sentAt) < answerTimeout {
			continue
		}
		delete(d.inquiries, t)
		if q.confirmed(now) {
			confirmed = append(confirmed, q.Inquiry)
		}
	}
	return confirmed
}

// Defer puts off the inquiry on an upstream that the merged reports show to be dead by refused
// connections; Due returns the reports when the inquiry is due. It reports whether it does so,
// and whether this is the first such call on the upstream.
func (d *Detector) Defer(now time.Time, merged *Report) (deferred, first bool) {
	if merged.Refusals == 0 {
		return false, false
	}
	return true, d.addCandidate(now, merged, refusalDelay)
}

// StandBy leaves the inquiry on an upstream that the merged reports show to be dead to
// the other watcher. If that makes none in time, or does not finish it, Due returns the
// reports.
func (d *Detector) StandBy(now time.Time, merged *Report) {
	delay := standbyDelay
	if merged.Refusals > 0 {
		delay += refusalDelay
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
