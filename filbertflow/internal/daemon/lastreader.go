package daemon

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/member"
)

const (
	// candidateProbeInterval is the time between two probes of the candidates for reading the
	// store, while a member that this balancer observes is silent.
	candidateProbeInterval = member.HeartbeatInterval
	// candidateProbeTimeout is how long all candidates may leave a probe unanswered until this
	// balancer reads the store itself: some ticks and round trips. With candidateSilence, and
	// the heartbeat before that, it stays below the shortest time allowed for a change.
	candidateProbeTimeout = 500 * time.Millisecond
)

// A lastReader finds out whether a balancer must read the store since the zone has lost all
// candidates for that. Candidates send each other heartbeats, but not the rest of the zone. After
// any loss, at least one of the living has observed a member that is lost: it asks the candidates,
// and reads until one of them is heard.
type lastReader struct {
	// askedSince is when the candidates were first probed after they had last been heard; zero
	// while they are not asked. probedAt is when they were last probed.
	askedSince time.Time
	probedAt   time.Time
}

// update probes the candidates if that is due, and reports whether this balancer must read the
// store.
func (r *lastReader) update(now time.Time, s *syncer) bool {
	silence := s.tracker.ObservesSilence(now, candidateSilence)
	if r.askedSince.IsZero() && !silence {
		return false
	}
	candidates, _ := s.otherCandidates()
	heard := func(m member.Member) bool { return s.tracker.HeardSince(r.askedSince, m.Incarnation) }
	if !r.askedSince.IsZero() && (len(candidates) == 0 || slices.ContainsFunc(candidates, heard)) {
		r.askedSince = time.Time{}
	}
	if len(candidates) == 0 || r.askedSince.IsZero() && !silence {
		return false
	}
	if now.Sub(r.probedAt) >= candidateProbeInterval {
		r.probedAt = now
		s.tracker.Probe(relays(candidates))
		if r.askedSince.IsZero() {
			r.askedSince = now
		}
	}
	return !r.askedSince.IsZero() && now.Sub(r.askedSince) >= candidateProbeTimeout
}
