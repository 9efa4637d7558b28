package member

import "net/netip"

// An index holds what is looked up often in the view; it is made anew after
// each change of somebody's state.
type index struct {
	// living has all known relay addresses; false marks those of dead members
	// alone.
	living map[netip.AddrPort]bool
	// doubted are the members that are suspected or dead.
	doubted []uint64
	// judged are the members whose state may change with time: those that this
	// process observes, and suspected ones.
	judged []uint64
}

// touch tells that somebody's state changed.
func (t *Tracker) touch() {
	t.table = nil
	t.index = nil
}

// lookup returns the index of the view.
func (t *Tracker) lookup() *index {
	if t.index == nil {
		t.index = t.newIndex()
	}
	return t.index
}

func (t *Tracker) newIndex() *index {
	x := &index{living: make(map[netip.AddrPort]bool, len(t.order))}
	for _, id := range t.order {
		p := t.members[id]
		alive := p.record.State != Dead
		x.living[p.record.Relay] = x.living[p.record.Relay] || alive
		if p.record.rank() > 0 {
			x.doubted = append(x.doubted, id)
		}
		if alive && (p.record.Suspected || !p.expected.IsZero()) {
			x.judged = append(x.judged, id)
		}
	}
	return x
}
