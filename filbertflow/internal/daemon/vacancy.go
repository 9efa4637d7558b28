package daemon

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/member"
)

// handOverPeriod is how long after a zone was vacant flows that are opening may still move between
// zones: two readiness probes, the time in which the news of a change reaches all balancers, and the
// 1.4 s that a client takes to open a flow.
const handOverPeriod = 5 * time.Second

// vacancies knows the zones that lately had no balancer in rotation. Routers give the flows of such
// a zone to balancers of other zones, and back once it has balancers again. Only the syncer's
// goroutine uses it.
type vacancies struct {
	// own is the zone of this balancer.
	own string
	// table is the membership that was looked at last, and vacant the zones that are vacant
	// by it.
	table  *member.Table
	vacant []string
	// lastVacant is when a zone was last seen vacant, by zone.
	lastVacant map[string]time.Time
}

func newVacancies(own string) vacancies {
	return vacancies{
		own:        own,
		lastVacant: make(map[string]time.Time),
	}
}

// update records the zones that have no balancer in rotation now.
func (v *vacancies) update(now time.Time, t *member.Table) {
	if t != v.table {
		v.table, v.vacant = t, vacantZones(t, v.own)
	}
	for _, zone := range v.vacant {
		v.note(now, zone)
	}
}

// vacantZones returns the zones without a balancer in rotation, as seen from a zone. Other zones are
// heard by their gateways only: if a large one is lost at once, its other members seem to live.
func vacantZones(t *member.Table, own string) []string {
	var vacant []string
	known := make(map[string]bool)
	for _, m := range t.Members() {
		if known[m.Zone] {
			continue
		}
		known[m.Zone] = true
		n := gatewaysPerZone
		if m.Zone == own {
			n = len(t.Members())
		}
		if !slices.ContainsFunc(t.Gateways(m.Zone, n), isInRotation) {
			vacant = append(vacant, m.Zone)
		}
	}
	return vacant
}

// isInRotation reports whether routers send flows to a balancer, as far as it is known. One that
// leaves, is suspected or has just started may be out of rotation.
func isInRotation(m member.Member) bool {
	return m.State == member.Alive && !m.Suspected && !m.Joining
}

// note records that a zone was vacant until now.
func (v *vacancies) note(now time.Time, zone string) {
	v.lastVacant[zone] = now
}

// vacantWithin reports whether a zone was vacant within a period until now.
func (v *vacancies) vacantWithin(now time.Time, zone string, period time.Duration) bool {
	at, ok := v.lastVacant[zone]
	return ok && now.Sub(at) <= period
}

// anyWithin reports whether any zone was vacant within a period until now.
func (v *vacancies) anyWithin(now time.Time, period time.Duration) bool {
	for zone := range v.lastVacant {
		if v.vacantWithin(now, zone, period) {
			return true
		}
	}
	return false
}

// updateVacancies notes which zones are vacant, and so whether flows may move between this zone and
// others that have balancers. When the own one has just become vacant, the balancers of other zones,
// which get its flows, are told of the ambiguous ones.
func (s *syncer) updateVacancies(now time.Time) {
	own := s.daemon.options.Zone
	before := s.vacancies.vacantWithin(now, own, handOverPeriod)
	s.vacancies.update(now, s.tracker.Table())
	if s.joins() && !s.hearsZone() {
		s.vacancies.note(now, own)
	}
	moving := s.vacancies.anyWithin(now, handOverPeriod) && len(s.remotePeers()) > 0
	if moving != s.daemon.flowsMove.Swap(moving) {
		s.daemon.queueRotation(flow.RotationChange{Arrived: true})
		s.daemon.log.Info(now, "zones: flows may move between zones", logs.F("moving", moving))
	}
	if !before && s.vacancies.vacantWithin(now, own, 0) {
		s.sendAmbiguous(relays(s.remotePeers()), s.ambiguous.known())
	}
}

// joins reports whether this balancer has just started.
func (s *syncer) joins() bool {
	self, ok := s.tracker.Table().ByIncarnation(s.daemon.incarnation)
	return ok && self.Joining
}

// hearsZone reports whether another balancer of the own zone that is in rotation has been heard itself.
// The records that others have of it may be from before the zone was vacant.
func (s *syncer) hearsZone() bool {
	return slices.ContainsFunc(s.zonePeers(), func(m member.Member) bool { return isInRotation(m) && !m.LastHeard.IsZero() })
}

// handleReturn handles that routers use this balancer again after they did not for a while, since it
// stood still or was cut off. All of its zone may have been: its flows were in other zones then.
func (s *syncer) handleReturn(now time.Time) {
	s.daemon.log.Info(now, "daemon: returned to rotation")
	s.daemon.queueRotation(flow.RotationChange{Arrived: true})
	s.vacancies.note(now, s.daemon.options.Zone)
	s.updateVacancies(now)
}

// openingPeers returns the balancers that may know of flows which are opened here: those of the own
// zone, and those of all zones while flows may have moved.
func (s *syncer) openingPeers() []member.Member {
	if s.daemon.flowsMove.Load() {
		return append(s.zonePeers(), s.remotePeers()...)
	}
	return s.zonePeers()
}

// remotePeers returns the balancers of other zones that are not dead.
func (s *syncer) remotePeers() []member.Member {
	var peers []member.Member
	for _, m := range s.tracker.Members() {
		if m.State != member.Dead && m.Zone != s.daemon.options.Zone {
			peers = append(peers, m)
		}
	}
	return peers
}

// FlowsMove reports whether flows may move between zones while they are opened.
func (d *Daemon) FlowsMove() bool {
	return d.flowsMove.Load()
}
