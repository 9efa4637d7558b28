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

// judgeSilence judges an upstream by its silence: it reports the silence to other
// balancers and resets the flows of an upstream that is dead. If this balancer's own
// path has not proved to work since the silence began, it does so later.
func (f *Forwarder) judgeSilence(now time.Time, u *directory.Upstream, h *health) {
	if !f.pathWorkedAfter(h.silentSince) {
		if !slices.Contains(f.unproven, u) {
			f.unproven = append(f.unproven, u)
		}
		return
	}
	f.report(now, u.Ticket(), h)
	if h.state != Dead && h.silentToDeath(now) && f.pathWorkedAfter(h.retransmittedSince) {
		h.state = Dead
		f.recordStateChange(u, h, now.Sub(h.silentSince))
		f.abandon(u.Ticket())
	}
}

// judgeUnproven judges the upstreams that have waited for a proof of this balancer's own
// path.
func (f *Forwarder) judgeUnproven(now time.Time) {
	waiting := f.unproven
	f.unproven = nil
	for _, u := range waiting {
		if h := f.healthOf(u); h.silentFlows > 0 {
			f.judgeSilence(now, u, h)
		}
	}
}
