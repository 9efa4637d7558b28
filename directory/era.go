package directory

import (
	"slices"
	"strings"
	"time"
)

// RetentionPeriod is how long a directory prefers what it knew before the store was
// restored to what the copy says of the same host or zone. By then live hosts and the
// operators have written again, and the entries of dead hosts in the copy have lapsed after
// three heartbeats of 1.2 s at most, even if the store was silent for 3 s once more.
const RetentionPeriod = 8 * time.Second

// A Retained item of an earlier era precedes the one that the store has for its key since
// it was restored from a copy, because the copy is older.
type Retained struct {
	Item Item
	// Until is when the store's item is trusted although nobody has written it again;
	// zero for a plan, which only a plan of its version or a later one replaces.
	Until time.Time
}

// Merge adds what a peer's delta tells beyond the store's history, even if the delta is
// no newer than the directory: departed hosts that the directory doesn't know, and later
// items that the peer retains, or knows from an earlier era. It returns the added items.
func (d *Directory) Merge(now time.Time, delta *Delta) []Item {
	var changed []Item
	era := d.Normalize(delta.Position()).Era
	for i := range delta.Items {
		item := delta.Items[i]
		switch {
		case item.Deleted && item.Upstream != nil && d.items[item.Key] == nil:
			if era != d.era {
				// The revision must not block changes of this era.
				item.Revision = 1
			}
			if d.set(now, &item) {
				changed = append(changed, item)
			}
		case era < d.era:
			changed = append(changed, d.mergeRetained(now, &Retained{
				Item:  item,
				Until: retainedUntil(now, &item),
			})...)
		}
	}
	if era == d.era {
		for i := range delta.Retained {
			changed = append(changed, d.mergeRetained(now, &delta.Retained[i])...)
		}
	}
	return changed
}

// Retained returns the retained items, ordered by key.
func (d *Directory) Retained() []Retained {
	all := make([]Retained, 0, len(d.retained))
	for _, r := range d.retained {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b Retained) int {
		if a.Item.Key.Kind != b.Item.Key.Kind {
			return int(a.Item.Key.Kind) - int(b.Item.Key.Kind)
		}
		return strings.Compare(a.Item.Key.Name, b.Item.Key.Name)
	})
	return all
}

// ExtendRetention starts RetentionPeriod anew, since the store has been away: nobody could
// write again.
func (d *Directory) ExtendRetention(now time.Time) {
	for _, r := range d.retained {
		r.Until = retainedUntil(now, &r.Item)
	}
}

// Settle ends the retention of items that nobody had written again in time when the store
// last answered, and returns the items that replace them.
func (d *Directory) Settle(now, answered time.Time) []Item {
	var changed []Item
	for k, r := range d.retained {
		if r.Until.IsZero() || answered.Before(r.Until) {
			continue
		}
		delete(d.retained, k)
		i := d.items[k]
		if i == nil {
			i = &Item{
				Key:      k,
				Revision: d.revision,
				Deleted:  true,
			}
		}
		if k.Kind == KindZoneOut && i.Deleted {
			d.returnedZones[k.Name] = now
		}
		changed = append(changed, *i)
	}
	return changed
}

// current returns the item that is in force for a key, or nil.
func (d *Directory) current(k Key) *Item {
	if r := d.retained[k]; r != nil {
		return &r.Item
	}
	return d.items[k]
}

// currentItems returns the items that are in force, by key.
func (d *Directory) currentItems() map[Key]*Item {
	items := make(map[Key]*Item, len(d.items)+len(d.retained))
	for k, i := range d.items {
		items[k] = i
	}
	for k, r := range d.retained {
		items[k] = &r.Item
	}
	return items
}

// enterEra replaces the items by the complete delta of a later era, and returns the items
// that changed by that. Items that are later than the copy that the store was restored
// from are retained.
func (d *Directory) enterEra(now time.Time, to Position, delta *Delta) []Item {
	before := d.currentItems()
	d.era, d.revision = to.Era, to.Revision
	d.listed, d.prunedRevision = to.Revision, to.Revision
	d.items, d.retained = make(map[Key]*Item, len(delta.Items)), make(map[Key]*Retained)
	for i := range delta.Items {
		d.set(now, &delta.Items[i])
	}
	for _, i := range before {
		d.reconcile(now, i)
	}
	for i := range delta.Retained {
		d.mergeRetained(now, &delta.Retained[i])
	}
	var changed []Item
	for k, i := range d.currentItems() {
		if !i.equivalent(before[k]) {
			changed = append(changed, *i)
		}
	}
	return changed
}

// reconcile merges an item that was in force in the previous era into the new one.
func (d *Directory) reconcile(now time.Time, old *Item) {
	next := d.items[old.Key]
	switch old.Key.Kind {
	case KindPlan:
		if next == nil || next.Plan.Version < old.Plan.Version {
			d.retain(old, retainedUntil(now, old))
			return
		}
		d.recordRemovedRoutes(now, old.Plan, next.Plan)
	case KindZoneOut:
		// A zone that is out by either item stays out: nothing may be sent to it.
		if !old.Deleted && (next == nil || next.Deleted) {
			d.retain(old, retainedUntil(now, old))
		}
	case KindUpstream:
		d.reconcileUpstream(now, old, next)
	}
}

// reconcileUpstream merges the item of a host. A host that the listing lacks departs, as if
// its entry had lapsed. If the item is later than the listing's, it is retained.
func (d *Directory) reconcileUpstream(now time.Time, old, next *Item) {
	switch {
	case old.Upstream == nil:
	case next == nil || next.Upstream == nil:
		d.depart(old.Key, departedCopy(now, old.Upstream))
	case next.Deleted:
		d.depart(old.Key, departure(now, old.Upstream, next.Upstream))
	case old.laterThan(next):
		d.retain(old, retainedUntil(now, old))
	}
}

// depart stores the record of a host that departed before the era's listing.
func (d *Directory) depart(k Key, u *Upstream) {
	d.items[k] = &Item{
		Key:      k,
		Revision: d.revision,
		Deleted:  true,
		Upstream: u,
	}
}

// departure returns the record of a departed host, by what this balancer knew of it and by
// a peer's record.
func departure(now time.Time, known, told *Upstream) *Upstream {
	if known.writtenAfter(told) || !known.DepartedAt.IsZero() {
		return departedCopy(now, known).announcedTo(told)
	}
	if u := told.announcedTo(known); !u.Lapsed || now.Sub(told.DepartedAt) >= LapseGracePeriod {
		return u.withTicket()
	}
	// The peer has just entered the era: the entry may only be missing in the copy.
	return departedCopy(now, known)
}

// mergeRetained adds an item that a peer retains, if it is later than the one in force, and
// returns it.
func (d *Directory) mergeRetained(now time.Time, r *Retained) []Item {
	expired := !r.Until.IsZero() && !now.Before(r.Until)
	current := d.current(r.Item.Key)
	if expired || !d.acceptsRetained(&r.Item, current) {
		return nil
	}
	if r.Item.Plan != nil && current != nil {
		d.recordRemovedRoutes(now, current.Plan, r.Item.Plan)
	}
	d.retain(&r.Item, r.Until)
	return []Item{r.Item}
}

// acceptsRetained reports whether an item that a peer retains is later than current, the
// one in force. A change made in this era ends the retention.
func (d *Directory) acceptsRetained(i, current *Item) bool {
	stored := d.items[i.Key]
	changed := stored != nil && stored.Revision > d.listed
	switch i.Key.Kind {
	case KindPlan:
		return i.Plan != nil && (current == nil || current.Plan.Version < i.Plan.Version)
	case KindZoneOut:
		return !changed && !i.Deleted && (current == nil || current.Deleted)
	case KindUpstream:
		listed := stored != nil && !stored.Deleted && stored.Upstream != nil
		return !changed && listed && i.Upstream != nil && i.laterThan(current)
	}
	return false
}

// retainedUntil returns the time for Retained.Until of an item.
func retainedUntil(now time.Time, i *Item) time.Time {
	if i.Key.Kind == KindPlan {
		return time.Time{}
	}
	return now.Add(RetentionPeriod)
}

// retain lets an item precede the store's until a time.
func (d *Directory) retain(i *Item, until time.Time) {
	item := *i
	if item.Upstream != nil {
		item.Upstream = item.Upstream.withTicket()
	}
	d.retained[item.Key] = &Retained{
		Item:  item,
		Until: until,
	}
}
