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
	if h.Sender.Incarnation == t.self.Incarnation || h.Sender.Incarnation == 0 || h.Sender.Relay != from || !t.strangers && !t.Known(from) {
		return HeartbeatResult{}
	}
	if h.Sender.State == Dead || h.Sender.Suspected {
		return HeartbeatResult{}
	}
	t.hearSender(now, &h.Sender)
	for i := range h.Records {
		t.Merge(now, &h.Records[i])
	}
	if age := time.Duration(h.PlatformAge) * time.Millisecond; age < maxAge {
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
		AnswersProbe: h.Echo == t.probe,
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
		t.add(now, r)
		return
	}
	if r.Version > p.record.Version {
		p.record.Version = r.Version
	}
	switch {
	case r.supersedes(&p.record):
		t.believe(now, p, r)
	case !p.record.supersedes(r):
		t.heardAgain(r.Incarnation)
	}
}

// heardAgain takes that a peer has passed on news that is known here: the more
// know it, the less it needs to be told.
func (t *Tracker) heardAgain(id uint64) {
	n, told := t.news[id]
	switch {
	case !told:
	case n <= 1:
		delete(t.news, id)
	default:
		t.news[id] = n - 1
	}
}

// hearSender takes what a process says of itself.
func (t *Tracker) hearSender(now time.Time, r *Record) {
	t.replace(now, r)
	t.Merge(now, r)
	p := t.members[r.Incarnation]
	p.heard = now
	p.record.Version = max(p.record.Version, r.Version)
	if !p.expected.IsZero() {
		p.expected = now
	}
	if p.record.rank() > 0 && t.news[r.Incarnation] == 0 {
		// The process learns of the belief and refutes it.
		t.replies = append(t.replies, reply{to: r.Relay})
	}
}

// replace takes other incarnations under the name or address of r for dead:
// one address has one process.
func (t *Tracker) replace(now time.Time, r *Record) {
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
		t.believe(now, p, &old)
	}
}

// add takes a belief on a process that was not known.
func (t *Tracker) add(now time.Time, r *Record) {
	if r.State == Dead {
		// Others forget it too; to pass it on would keep it for ever.
		return
	}
	p := &tracked{record: *r}
	if r.Suspected {
		p.suspected = now
	}
	t.insert(r.Incarnation, p)
	t.news[r.Incarnation] = t.repeats()
	t.touch()
}

func (t *Tracker) believe(now time.Time, p *tracked, r *Record) {
	was := p.record
	version := max(was.Version, r.Version)
	p.record = *r
	p.record.Version = version
	if r.Suspected && !was.Suspected {
		p.suspected = now
	}
	if r.State == Dead && was.State != Dead {
		p.died = now
		p.expected = time.Time{}
	}
	if !p.expected.IsZero() && r.Sequence > was.Sequence {
		// The process answered, if by a way round.
		p.expected = now
	}
	t.ringChanged = t.ringChanged || (r.State == Dead) != (was.State == Dead)
	t.news[r.Incarnation] = t.repeats()
	t.touch()
}

// refute answers a wrong belief of this process.
func (t *Tracker) refute(r *Record) {
	if r.rank() == 0 || r.Sequence < t.self.Sequence {
		return
	}
	t.self.Sequence = r.Sequence
	t.say()
}

// MergeFullState takes what a peer that was asked knows of all members. It is not passed on:
// others know it too.
func (t *Tracker) MergeFullState(now time.Time, records []Record) {
	for i := range records {
		id := records[i].Incarnation
		_, told := t.news[id]
		t.Merge(now, &records[i])
		if !told {
			delete(t.news, id)
		}
	}
}
