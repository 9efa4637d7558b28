package admission

import (
	"cmp"
	"slices"
)

// With returns shares that differ from s in the share of one priority, from 0 to 1. It lets a
// caller that has several places for a request join their shares.
func (s Shares) With(priority int, share float64) Shares {
	reduced := slices.DeleteFunc(slices.Clone(s.reduced), func(r priorityShare) bool { return r.priority == priority })
	if share < 1 {
		reduced = append(reduced, priorityShare{
			priority: priority,
			share:    max(share, 0),
		})
	}
	slices.SortFunc(reduced, func(a, b priorityShare) int { return cmp.Compare(a.priority, b.priority) })
	return Shares{reduced: reduced}
}
