package member

import "net/netip"

// An index holds what is looked up often in the view; it is made anew after
// each change of somebody's state.
type index struct {
	// relayAlive has all known relay addresses; false marks those of dead members
	// alone.
	relayAlive map[netip.AddrPort]bool
	// suspectedOrDead are the members that are suspected or dead.
	suspectedOrDead []uint64
	// timed are the members whose state may change with time: those that this
	// process observes, and suspected ones.
	timed []uint64
}

// invalidate tells that somebody's state changed.
func (t *Tracker) invalidate() {
	t.table = nil
	t.index = nil
}

// currentIndex returns the index of the view.
func (t *Tracker) currentIndex() *index {
	if t.index == nil {
		t.index = t.newIndex()
	}
	return t.index
}

func (t *Tracker) newIndex() *index {
	x := &index{relayAlive: make(map[netip.AddrPort]bool, len(t.incarnations))}
	for _, id := range t.incarnations {
		p := t.members[id]
		alive := p.record.State != Dead
		x.relayAlive[p.record.Relay] = x.relayAlive[p.record.Relay] || alive
		if p.record.severity() > 0 {
			x.suspectedOrDead = append(x.suspectedOrDead, id)
		}
		if alive && (p.record.Suspected || !p.waitingSince.IsZero()) {
			x.timed = append(x.timed, id)
		}
	}
	return x
}
