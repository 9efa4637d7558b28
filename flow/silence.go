package flow

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

// pathWorkedAfter reports whether an upstream has answered a packet that this balancer
// forwarded after t. Packets are handled in order: if the answer to a later packet has
// come back, a silence that began at t is not due to this balancer's own backlog or
// network link.
func (f *Forwarder) pathWorkedAfter(t time.Time) bool {
	return f.lastAnswered.After(t)
}

// judgeSilence resets the flows of an upstream that is dead by this balancer's evidence
// alone, unless that is left to the zone. It takes a proof that the balancer's own path works;
// without one the upstream is judged again when the proof comes. Reports need none, since the
// zone is asked first.
func (f *Forwarder) judgeSilence(now time.Time, u *directory.Upstream, h *health) {
	if f.asksZone || h.state == Dead || !h.silentToDeath(now) {
		return
	}
	if !f.pathWorkedAfter(h.open.retransmittedSince) {
		if !slices.Contains(f.unproven, u) {
			f.unproven = append(f.unproven, u)
		}
		return
	}
	h.markDead(now)
	f.recordStateChange(u, h, h.open.duration(now))
	f.abandon(now, u.Ticket(), 0)
}

// judgeUnproven judges the upstreams that have waited for a proof of this balancer's own
// path.
func (f *Forwarder) judgeUnproven(now time.Time) {
	waiting := f.unproven
	f.unproven = nil
	for _, u := range waiting {
		f.judgeSilence(now, u, f.healthOf(u))
	}
}

// silence is what shows that an upstream is silent.
type silence struct {
	// epoch is incremented when the silence is cleared; a flow counts once per epoch.
	epoch uint32
	// flows is the number of flows with retransmissions, and retransmissions is the number
	// of these.
	flows           int
	retransmissions int
	// since is when the first unanswered packet was sent, and retransmittedSince and
	// retransmittedAt when the first and the last retransmission came; zero unless flows
	// is positive.
	since              time.Time
	retransmittedSince time.Time
	retransmittedAt    time.Time
}

// add adds a retransmission of a flow's packet that has been unanswered since a time. The
// argument counted is the flow's epoch, plus one.
func (s *silence) add(now, since time.Time, counted *uint32) {
	s.retransmissions++
	s.retransmittedAt = now
	if *counted == s.epoch+1 {
		return
	}
	*counted = s.epoch + 1
	s.flows++
	if s.retransmittedSince.IsZero() {
		s.retransmittedSince = now
	}
	if s.since.IsZero() || since.Before(s.since) {
		s.since = since
	}
}

// clear ends the silence.
func (s *silence) clear() {
	*s = silence{epoch: s.epoch + 1}
}

// startAfter has the silence start at t at the earliest.
func (s *silence) startAfter(t time.Time) {
	if s.flows > 0 && s.since.Before(t) {
		s.since = t
	}
}

// duration returns how long the silence has lasted.
func (s *silence) duration(now time.Time) time.Duration {
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}
