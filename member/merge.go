package member

import (
	"net/netip"
	"time"
)

// A HeartbeatResult tells how a heartbeat was handled.
type HeartbeatResult struct {
	// Known reports that the heartbeat was accepted. Heartbeats of senders that
	// are neither members nor listed are ignored.
	Known bool
	// AnswersProbe reports that the heartbeat answers a probe that this process
	// sent since it started or last resumed.
	AnswersProbe bool
	// Conflict reports that the sender has the same configuration version as
	// this process but another document.
	Conflict bool
}

// HandleHeartbeat merges a heartbeat received from a relay address into the
// view.
func (t *Tracker) HandleHeartbeat(now time.Time, from netip.AddrPort, h *Heartbeat) HeartbeatResult {
	if h.Sender.Incarnation == t.self.Incarnation || h.Sender.Incarnation == 0 || h.Sender.Relay != from || !t.acceptUnlisted && !t.KnownRelay(from) {
		return HeartbeatResult{}
	}
	if h.Sender.State == Dead || h.Sender.Suspected {
		return HeartbeatResult{}
	}
	t.mergeSender(now, &h.Sender)
	for i := range h.Records {
		t.Merge(now, &h.Records[i])
	}
	if age := time.Duration(h.PlatformAge) * time.Millisecond; age < maxPlatformAge {
		t.PlatformAnswered(now.Add(-age))
	}
	if h.Probe != 0 {
		t.replies = append(t.replies, reply{
			to:   from,
			echo: h.Probe,
		})
	}
	return HeartbeatResult{
		Known:        true,
		AnswersProbe: h.Echo == t.probeNumber,
		Conflict:     h.Sender.Version != 0 && h.Sender.Version == t.self.Version && h.Digest != t.digest,
	}
}

// Merge merges a record of any process into the view: it replaces the known
// record if it supersedes that, and a suspicion or death of this process is
// refuted.
func (t *Tracker) Merge(now time.Time, r *Record) {
	if r.Incarnation == 0 {
		return
	}
	if r.Incarnation == t.self.Incarnation {
		t.refute(r)
		return
	}
	p := t.members[r.Incarnation]
	if p == nil {
		t.addMember(now, r)
		return
	}
	if r.Version > p.record.Version {
		p.record.Version = r.Version
	}
	switch {
	case r.supersedes(&p.record):
		t.updateRecord(now, p, r)
	case !p.record.supersedes(r):
		t.handleDuplicate(r.Incarnation)
	}
}

// handleDuplicate counts a record that a peer sent although it is known here as
// one transmission: the more members know it, the less often it needs to be
// gossiped.
func (t *Tracker) handleDuplicate(id uint64) {
	n, ok := t.pending[id]
	switch {
	case !ok:
	case n <= 1:
		delete(t.pending, id)
	default:
		t.pending[id] = n - 1
	}
}

// mergeSender merges the record that a process sent of itself.
func (t *Tracker) mergeSender(now time.Time, r *Record) {
	t.markReplacedDead(now, r)
	t.Merge(now, r)
	p := t.members[r.Incarnation]
	p.lastHeard = now
	p.record.Version = max(p.record.Version, r.Version)
	if !p.waitingSince.IsZero() {
		p.waitingSince = now
	}
	if p.record.severity() > 0 && t.pending[r.Incarnation] == 0 {
		// Tell the process that it is suspected or declared dead, so that it
		// refutes that.
		t.replies = append(t.replies, reply{to: r.Relay})
	}
}

// markReplacedDead declares other incarnations with the name or relay address
// of a new process dead: only one process can use an address.
func (t *Tracker) markReplacedDead(now time.Time, r *Record) {
	if t.members[r.Incarnation] != nil {
		return
	}
	for _, p := range t.members {
		old := p.record
		if old.State == Dead || old.Relay != r.Relay && old.Name != r.Name {
			continue
		}
		old.State = Dead
		old.Suspected = false
		t.updateRecord(now, p, &old)
	}
}

// addMember adds a process that was not known. Dead ones are not added.
func (t *Tracker) addMember(now time.Time, r *Record) {
	if r.State == Dead {
		// Others are about to forget it too; gossiping it would keep it in the
		// views forever.
		return
	}
	p := &peerState{record: *r}
	if r.Suspected {
		p.suspectedAt = now
	}
	t.insert(r.Incarnation, p)
	t.pending[r.Incarnation] = t.retransmissions()
	t.invalidate()
}

func (t *Tracker) updateRecord(now time.Time, p *peerState, r *Record) {
	previous := p.record
	version := max(previous.Version, r.Version)
	p.record = *r
	p.record.Version = version
	if r.Suspected && !previous.Suspected {
		p.suspectedAt = now
	}
	if r.State == Dead && previous.State != Dead {
		p.diedAt = now
		p.waitingSince = time.Time{}
	}
	if !p.waitingSince.IsZero() && r.Sequence > previous.Sequence {
		// The process is alive: it sent a newer record, which other members
		// passed on.
		p.waitingSince = now
	}
	t.ringChanged = t.ringChanged || (r.State == Dead) != (previous.State == Dead)
	t.pending[r.Incarnation] = t.retransmissions()
	t.invalidate()
}

// refute announces this process with a higher sequence number if r calls it
// suspected or dead.
func (t *Tracker) refute(r *Record) {
	if r.severity() == 0 || r.Sequence < t.self.Sequence {
		return
	}
	t.self.Sequence = r.Sequence
	t.announceSelf()
}

// MergeFullState merges the records of all members as a peer returned them on
// request. They are not gossiped, because the other members know them too.
func (t *Tracker) MergeFullState(now time.Time, records []Record) {
	for i := range records {
		id := records[i].Incarnation
		_, wasPending := t.pending[id]
		t.Merge(now, &records[i])
		if !wasPending {
			delete(t.pending, id)
		}
	}
}
