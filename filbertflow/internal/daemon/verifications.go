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
const openVerificationLifetime = 200 * time.Millisecond

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
	s.checkVerification(v.ID, open)
}

// checkVerification ends a verification if all balancers have answered.
func (s *syncer) checkVerification(id uint32, open *openVerification) {
	if len(open.missing) == 0 {
		s.daemon.counters.verifications[verificationAnswered].Add(1)
		s.endVerification(id, open)
	}
}

// endVerification tells the packet handler the result of a verification.
func (s *syncer) endVerification(id uint32, open *openVerification) {
	delete(s.verifications, id)
	r := flow.Result{
		ID:       id,
		Later:    open.later,
		Complete: len(open.missing) == 0,
	}
	s.daemon.queueNotice(func(t *packetHandler) { t.forwarder.Verified(time.Now(), r) })
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
	s.checkVerification(id, open)
}

// expireVerifications ends the verifications that some balancer has not answered in time.
func (s *syncer) expireVerifications(now time.Time) {
	for id, open := range s.verifications {
		if now.Sub(open.sentAt) >= openVerificationLifetime {
			s.daemon.counters.verifications[verificationUnanswered].Add(1)
			s.daemon.log.Info(now, "flow: verification not answered by all", logs.F("missing", len(open.missing)))
			s.endVerification(id, open)
		}
	}
}

// noteRotation tells the packet handler if the routers may have changed their rotation, by the
// membership before and after a change.
func (s *syncer) noteRotation(now time.Time, before, table *member.Table) {
	if before == nil {
		return
	}
	if change, ok := rotationChange(now, before, table, s.daemon.options.Zone); ok {
		s.daemon.queueRotation(change)
	}
}

// rotationChange returns how the rotation of a zone may have changed by a change of the membership. It
// returns false if no balancer of the zone has changed.
func rotationChange(now time.Time, before, after *member.Table, zone string) (c flow.RotationChange, ok bool) {
	old, next := zoneMembers(before, zone), zoneMembers(after, zone)
	for incarnation, m := range next {
		if previous, known := old[incarnation]; !known || previous != m {
			ok = true
			// One that has just started may still have been getting ready.
			c.Arrived = c.Arrived || m.inRotation() && (!known || !previous.inRotation() || previous.joining)
		}
	}
	for incarnation, m := range old {
		if m.State == member.Dead || next[incarnation].State != member.Dead && next[incarnation].known {
			continue
		}
		ok = true
		lostAt := now
		if m.suspected {
			// It was suspected for that long. If not, it has been started again.
			lostAt = now.Add(-member.SuspicionTimeout)
		}
		c.LostAt = latest(c.LostAt, lostAt)
	}
	return c, ok
}

// A zoneMember is what matters of a balancer to the routers.
type zoneMember struct {
	member.State
	suspected, joining, known bool
}

// zoneMembers returns the balancers of a zone by their incarnations.
func zoneMembers(t *member.Table, zone string) map[uint64]zoneMember {
	members := make(map[uint64]zoneMember)
	for _, m := range t.Members() {
		if m.Zone == zone {
			members[m.Incarnation] = zoneMember{
				State:     m.State,
				suspected: m.Suspected,
				joining:   m.Joining,
				known:     true,
			}
		}
	}
	return members
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// inRotation reports whether the routers may send flows to the balancer.
func (m *zoneMember) inRotation() bool {
	return m.State == member.Alive && !m.suspected
}

// queueRotation queues the notice that the routers may have changed their rotation.
func (d *Daemon) queueRotation(c flow.RotationChange) {
	d.queueNotice(func(t *packetHandler) { t.forwarder.HandleRotation(time.Now(), c) })
}
