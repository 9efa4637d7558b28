package member

import (
	"net/netip"
	"time"
)

// A HeartbeatResult tells what a heartbeat was worth.
type HeartbeatResult struct {
	// Known tells that the sender is a member or listed; what others say is
	// ignored.
	Known bool
	// AnswersProbe tells that the heartbeat answers a probe that this process sent
	// since it last woke.
	AnswersProbe bool
	// Conflict tells that the sender has another document under the version
	// that is in force here.
	Conflict bool
}

// HandleHeartbeat takes a heartbeat that came from a relay address.
func (t *Tracker) HandleHeartbeat(now time.Time, from netip.AddrPort, h *Heartbeat) HeartbeatResult {
	if h.Sender.Incarnation == t.self.Incarnation || h.Sender.Incarnation == 0 || h.Sender.Relay != from || !t.acceptUnlisted && !t.Known(from) {
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

// Merge takes a belief of another member.
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

// handleDuplicate takes that a peer has passed on news that is known here: the more
// know it, the less it needs to be told.
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

// mergeSender takes what a process says of itself.
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
		// The process learns of the belief and refutes it.
		t.replies = append(t.replies, reply{to: r.Relay})
	}
}

// markReplacedDead takes other incarnations under the name or address of r for dead:
// one address has one process.
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

// addMember takes a belief on a process that was not known.
func (t *Tracker) addMember(now time.Time, r *Record) {
	if r.State == Dead {
		// Others forget it too; to pass it on would keep it for ever.
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
		// The process answered, if by a way round.
		p.waitingSince = now
	}
	t.ringChanged = t.ringChanged || (r.State == Dead) != (previous.State == Dead)
	t.pending[r.Incarnation] = t.retransmissions()
	t.invalidate()
}

// refute answers a wrong belief of this process.
func (t *Tracker) refute(r *Record) {
	if r.severity() == 0 || r.Sequence < t.self.Sequence {
		return
	}
	t.self.Sequence = r.Sequence
	t.announceSelf()
}

// MergeFullState takes what a peer that was asked knows of all members. It is not passed on:
// others know it too.
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
