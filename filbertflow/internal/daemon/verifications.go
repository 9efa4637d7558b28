package daemon

import (
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// openVerificationLifetime is how long the answers to a verification are waited for.
const openVerificationLifetime = time.Second

// An openVerification is a verification that waits for answers.
type openVerification struct {
	sentAt time.Time
	// missing holds the balancers that have not answered, by their address for datagrams.
	missing map[netip.AddrPort]struct{}
	// later is the union of the answers.
	later flow.Later
}

// sendVerifications sends the forwarder's verifications.
func (t *packetHandler) sendVerifications() {
	verifications := t.forwarder.Verifications()
	if len(verifications) == 0 {
		return
	}
	t.daemon.post(func(now time.Time) {
		for i := range verifications {
			t.daemon.syncer.sendVerification(now, &verifications[i])
		}
	})
}

// sendVerification sends a verification to the balancers that may get packets of its flows.
func (s *syncer) sendVerification(now time.Time, v *flow.Verification) {
	// A balancer that is suspected is out of rotation, and may not answer.
	peers := slices.DeleteFunc(s.openingPeers(), func(m member.Member) bool { return m.Suspected })
	open := &openVerification{
		sentAt:  now,
		missing: make(map[netip.AddrPort]struct{}, len(peers)),
	}
	s.verifications[v.ID] = open
	s.daemon.counters.verifications[verificationStarted].Add(1)
	data := wire.AppendVerification(nil, v)
	for _, a := range relays(peers) {
		open.missing[a] = struct{}{}
		s.daemon.sendPeer(a, data)
	}
	s.finishVerification(v.ID, open)
}

// finishVerification ends a verification once all balancers have answered.
func (s *syncer) finishVerification(id uint32, open *openVerification) {
	if len(open.missing) > 0 {
		return
	}
	delete(s.verifications, id)
	s.daemon.counters.verifications[verificationAnswered].Add(1)
	later := open.later
	s.daemon.queueNotice(func(t *packetHandler) { t.forwarder.Verified(time.Now(), id, later) })
}

// handleVerification answers a peer's verification.
func (s *syncer) handleVerification(from netip.AddrPort, data []byte) {
	v, err := wire.ParseVerification(data)
	if err != nil {
		s.daemon.counters.malformed.Add(1)
		return
	}
	d := s.daemon
	d.queueNotice(func(t *packetHandler) {
		answer := wire.AppendVerificationAnswer(nil, v.ID, t.forwarder.Later(&v))
		d.post(func(time.Time) { d.sendPeer(from, answer) })
	})
}

// handleVerificationAnswer handles a peer's answer to a verification.
func (s *syncer) handleVerificationAnswer(from netip.AddrPort, data []byte) {
	id, later, err := wire.ParseVerificationAnswer(data)
	if err != nil {
		s.daemon.counters.malformed.Add(1)
		return
	}
	open := s.verifications[id]
	if open == nil {
		return
	}
	open.later |= later
	delete(open.missing, from)
	s.finishVerification(id, open)
}

// expireVerifications forgets the verifications that some balancer has not answered: their flows are
// left to the balancers that get their packets.
func (s *syncer) expireVerifications(now time.Time) {
	for id, open := range s.verifications {
		if now.Sub(open.sentAt) >= openVerificationLifetime {
			delete(s.verifications, id)
			s.daemon.counters.verifications[verificationUnanswered].Add(1)
			s.daemon.log.Info(now, "flow: verification not answered by all", logs.F("missing", len(open.missing)))
		}
	}
}

// noteRotation tells the packet handler if the routers may have changed their rotation, by the
// membership before and now.
func (s *syncer) noteRotation(before, now *member.Table) {
	if before == nil {
		return
	}
	changed, lost := rotationChange(before, now, s.daemon.options.Zone)
	if changed {
		s.daemon.queueRotation(lost)
	}
}

// rotationChange reports whether the state of any balancer of a zone differs between two memberships,
// and whether one is lost that was in the first.
func rotationChange(before, now *member.Table, zone string) (changed, lost bool) {
	type state struct {
		member.State
		suspected, joining bool
	}
	old := make(map[uint64]state)
	for _, m := range before.Members() {
		if m.Zone == zone {
			old[m.Incarnation] = state{m.State, m.Suspected, m.Joining}
		}
	}
	for _, m := range now.Members() {
		if m.Zone != zone {
			continue
		}
		next := state{m.State, m.Suspected, m.Joining}
		previous, known := old[m.Incarnation]
		delete(old, m.Incarnation)
		changed = changed || !known || previous != next
		lost = lost || known && previous.State != member.Dead && m.State == member.Dead
	}
	for _, gone := range old {
		changed = true
		lost = lost || gone.State != member.Dead
	}
	return changed, lost
}

// queueRotation queues the notice that the routers may have changed their rotation.
func (d *Daemon) queueRotation(lost bool) {
	d.queueNotice(func(t *packetHandler) { t.forwarder.HandleRotation(time.Now(), lost) })
}
