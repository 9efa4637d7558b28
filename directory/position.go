package directory

import "cmp"

// A Position is a point in the history of the platform's store. A store that is restored
// from a copy begins a new era: it has lost its latest changes, and assigns their revisions
// again to other changes.
type Position struct {
	// Era is FirstEra until the store is restored for the first time, and increases with
	// each restore; zero if it is unknown.
	Era uint64
	// Revision is the store's revision within the era; zero before the first one.
	Revision uint64
}

// FirstEra is the era of a store that was never restored.
const FirstEra = 1

// After reports whether p is later than q. Every position of an era is later than all
// positions of earlier eras.
func (p Position) After(q Position) bool {
	return p.Compare(q) > 0
}

// Compare returns -1, 0 or +1 if p is earlier than, equal to or later than q.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Era, q.Era); c != 0 {
		return c
	}
	return cmp.Compare(p.Revision, q.Revision)
}
