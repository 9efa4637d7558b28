package load

import (
	"cmp"
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

// lateReports is how many sequence numbers a report may be behind the sender's newest one and
// be late: 2 s at 4 reports a second. One that is further behind shows that the sender has
// restarted.
const lateReports = 8

// Limits of the values of a sample, whatever the upstream.
const (
	maxFlows   = 1 << 20
	maxWorking = 1 << 16
)

// A sender is what a collector keeps of one balancer.
type sender struct {
	id       uint64
	sequence uint32
	// at is when the first datagram of the newest report came; zero before the first one.
	at      time.Time
	period  time.Duration
	expires time.Time
	// older is the sequence of the last report if that is older than sequence; zero if not.
	older uint32
	// samples are ordered by ticket.
	samples []held
}

// A held is a sample that a collector keeps.
type held struct {
	ticket   directory.Ticket
	sequence uint32
	flows    int32
	working  float32
}

// add adds a sample of the sender's current sequence. It returns false if the sample is
// invalid, or known already.
func (s *sender) add(p *Sample) bool {
	if p.Ticket == 0 {
		return false
	}
	h := held{
		ticket:   p.Ticket,
		sequence: s.sequence,
		flows:    int32(min(max(p.Flows, 0), maxFlows)),
	}
	if p.Working > 0 {
		h.working = float32(min(p.Working, maxWorking))
	}
	i, found := slices.BinarySearchFunc(s.samples, p.Ticket, func(h held, t directory.Ticket) int {
		return cmp.Compare(h.ticket, t)
	})
	switch {
	case found && s.samples[i].sequence == s.sequence:
		return false
	case found:
		s.samples[i] = h
	case len(s.samples) >= maxSamples:
		return false
	default:
		s.samples = slices.Insert(s.samples, i, h)
	}
	return true
}

// advance prepares the sender for the samples of a report. It returns false if the report is
// late.
func (s *sender) advance(now time.Time, r *Report) bool {
	switch {
	case s.at.IsZero():
	case r.Sequence == s.sequence:
		// Another part, or a copy, which does not make the report count for longer.
		s.older = 0
		return true
	case r.Sequence > s.sequence && r.Partial:
		former := s.sequence
		s.samples = slices.DeleteFunc(s.samples, func(h held) bool { return h.sequence != former })
	case r.Sequence > s.sequence:
		s.samples = s.samples[:0]
	case s.sequence-r.Sequence > lateReports || s.older != 0 && r.Sequence > s.older:
		// The sender has restarted: late reports do not come in order without a newer one
		// in between.
		s.samples = s.samples[:0]
	default:
		s.older = r.Sequence
		return false
	}
	s.sequence, s.older = r.Sequence, 0
	s.at, s.expires = now, now.Add(r.lifetime())
	s.period = min(max(r.Period, minPeriod), maxPeriod)
	return true
}
