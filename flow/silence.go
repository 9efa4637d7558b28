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
