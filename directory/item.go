package directory

// A Kind is the kind of an item.
type Kind uint8

// Kinds of items.
const (
	// KindUpstream items describe a host.
	KindUpstream Kind = iota + 1
	// KindPlan is the kind of the one item that holds the operators' configuration.
	KindPlan
	// KindZoneOut items mark a zone as taken out of service.
	KindZoneOut
)

// String returns k's name.
func (k Kind) String() string {
	switch k {
	case KindUpstream:
		return "upstream"
	case KindPlan:
		return "plan"
	case KindZoneOut:
		return "zone out"
	default:
		return "unknown"
	}
}

// A Key identifies an item.
type Key struct {
	Kind Kind
	// Name is the ID of a host or the name of a zone; empty for the plan.
	Name string
}

// An Item is the value of a key as of its last change.
type Item struct {
	Key Key
	// Revision is the revision of the key's last change.
	Revision uint64
	// Deleted reports whether the key was deleted.
	Deleted bool
	// Upstream is nil for other kinds, for invalid entries, and for a deleted host that
	// was never known.
	Upstream *Upstream
	// Plan is nil for other kinds.
	Plan *Plan
}

// equivalent reports whether i and other, which may be nil, lead to the same decisions.
func (i *Item) equivalent(other *Item) bool {
	if other == nil || i.Deleted != other.Deleted {
		return other == nil && i.Deleted
	}
	if i.Plan != nil && other.Plan != nil {
		return i.Plan.Version == other.Plan.Version
	}
	if i.Upstream == nil || other.Upstream == nil {
		return i.Upstream == other.Upstream
	}
	a, b := i.Upstream, other.Upstream
	return a.Address == b.Address && a.Service == b.Service && a.Zone == b.Zone && a.Draining == b.Draining
}

// laterThan reports whether i is later than other, an item of the same host, in whichever
// era of the store. An entry counts as deleted after all writes since the host's start, as
// writes that only raise Sequence are no changes and the last one may not be known; but a
// host that drains has not lapsed.
func (i *Item) laterThan(other *Item) bool {
	if i.Deleted && !other.Deleted {
		return !other.Upstream.Draining && !other.Upstream.StartedAt.After(i.Upstream.StartedAt)
	}
	return i.Upstream.writtenAfter(other.Upstream)
}

// A Delta holds the changes from one revision to another in one era.
type Delta struct {
	// Era is the era of the revisions; zero if the sender does not know it.
	Era uint64
	// Base is the revision that the delta starts from; zero means that Items is a
	// complete listing.
	Base uint64
	// Revision is the revision that the delta leads to, at least Base.
	Revision uint64
	// Items are the changed items in their latest state, each with a revision above
	// Base.
	Items []Item
	// Retained are the items of earlier eras that the sender prefers to the store's. Only
	// peers send them.
	Retained []Retained
}

// Position returns the position that the delta leads to.
func (d *Delta) Position() Position {
	return Position{
		Era:      d.Era,
		Revision: d.Revision,
	}
}
