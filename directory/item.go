package directory

// A Kind tells what an item describes.
type Kind uint8

// Kinds of items.
const (
	// KindUpstream items describe a host.
	KindUpstream Kind = iota + 1
	// KindPlan items hold the operators' configuration.
	KindPlan
	// KindZoneOut items tell that a zone is taken out.
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

// A Key names an item.
type Key struct {
	Kind Kind
	// Name is a host's ID, a zone's name, or empty for the plan.
	Name string
}

// An Item is what is known under a key.
type Item struct {
	Key Key
	// Revision is that of the key's last change.
	Revision uint64
	// Deleted tells that there is nothing under the key any more.
	Deleted bool
	// Upstream is nil for other kinds, for unusable entries, and where a
	// deleted host was never known.
	Upstream *Upstream
	// Plan is nil for other kinds.
	Plan *Plan
}

// A Delta is what changed from one revision to another.
type Delta struct {
	// Base is the revision that the delta starts from; zero tells that Items
	// are all that there is.
	Base uint64
	// Revision is the one that the delta leads to, at least Base.
	Revision uint64
	// Items are the last states of what changed, each with a revision above
	// Base.
	Items []Item
}
