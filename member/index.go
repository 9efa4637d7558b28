package member

import "net/netip"

// An index caches frequent lookups in the view. It is rebuilt after each change
// of a member's state.
type index struct {
	// relayAlive holds all known relay addresses; the value is false if only
	// dead members have the address.
	relayAlive map[netip.AddrPort]bool
	// suspectedOrDead holds the incarnations of the members that are suspected
	// or dead.
	suspectedOrDead []uint64
	// timed holds the incarnations of the members whose state may change with
	// time: those that this process observes, and suspected ones.
	timed []uint64
}

// invalidate discards the cached table and index after a change of the view.
func (t *Tracker) invalidate() {
	t.table = nil
	t.index = nil
}

// currentIndex returns the index of the view and rebuilds it if needed.
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
