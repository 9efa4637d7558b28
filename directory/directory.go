// Package directory holds a balancer's replica of the routes, upstreams and zones. They
// are items under one revision counter, which the balancer receives from the platform
// or from peers as deltas. Time is passed in; the package has no sockets, goroutines or
// clock of its own.
package directory

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Retention and grace periods.
const (
	// DepartedRetention is how long a host is kept after its entry was deleted, so that
	// its open flows can go on. It exceeds the longest lifetime of a flow.
	DepartedRetention = 90 * time.Second
	// LapseGracePeriod is how long hosts stay eligible whose entries lapsed after the
	// platform had been silent, once it answers again: the live hosts among them have
	// registered again by then.
	LapseGracePeriod = 2 * time.Second
	// ReturnGracePeriod is how long the hosts of a zone count as cold after the zone has
	// been put back into service: updates of their state may arrive after the zone's.
	ReturnGracePeriod = 3 * time.Second
)

// Errors of reading and applying changes.
var (
	// ErrRevisionGap means that a delta's base is later than the directory's
	// revision.
	ErrRevisionGap = eris.New("delta starts after this directory's revision")
	// ErrCompacted means that the changes since a revision are no longer available.
	ErrCompacted = eris.New("changes since this revision are no longer available")
)

// A Directory is a replica of the items as of one position. It is not safe for
// concurrent use.
type Directory struct {
	// items are the items as the store has them in this era, and hosts that were listed
	// in an earlier one, as deleted items.
	items map[Key]*Item
	// retained holds the items of earlier eras that precede those of items: they are
	// later than the copy that the store was restored from.
	retained map[Key]*Retained
	era      uint64
	revision uint64
	// listed is the revision of the complete listing that the era began with. Later
	// revisions are of changes made in this era.
	listed uint64
	// prunedRevision is the highest revision of a pruned item: a delta from an earlier
	// revision would not be complete.
	prunedRevision uint64
	// returnedZones holds when zones were put back into service.
	returnedZones map[string]time.Time
	// removedRoutes holds the addresses of routes that a plan has removed, and when.
	removedRoutes map[netip.AddrPort]time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		items:         make(map[Key]*Item),
		retained:      make(map[Key]*Retained),
		returnedZones: make(map[string]time.Time),
		removedRoutes: make(map[netip.AddrPort]time.Time),
	}
}

// Apply applies a delta and returns the items that it changed. A delta to the
// directory's position or an earlier one changes nothing. The error is ErrRevisionGap if
// the delta's base is later than the directory's position, or in a later era.
func (d *Directory) Apply(now time.Time, delta *Delta) ([]Item, error) {
	to := d.Normalize(delta.Position())
	if d.revision > 0 && to.Era > d.era {
		if delta.Base > 0 {
			return nil, ErrRevisionGap
		}
		return d.enterEra(now, to, delta), nil
	}
	if to.Era < d.era {
		return nil, nil
	}
	if delta.Base > d.revision {
		return nil, ErrRevisionGap
	}
	if delta.Revision <= d.revision {
		return nil, nil
	}
	if d.revision == 0 {
		d.listed = delta.Revision
	}
	var changed []Item
	for i := range delta.Items {
		if d.set(now, &delta.Items[i]) {
			changed = append(changed, *d.items[delta.Items[i].Key])
		}
	}
	if delta.Base == 0 {
		// Deletions from before the listing are not known here.
		d.prunedRevision = max(d.prunedRevision, delta.Revision)
		changed = append(changed, d.deleteUnlisted(now, delta)...)
	}
	d.era, d.revision = to.Era, to.Revision
	return changed, nil
}

// Normalize returns a position that a peer or the store has named. An unknown era counts
// as the directory's own, unless the store has been restored before: the position may be
// from before that.
func (d *Directory) Normalize(p Position) Position {
	if p.Era == 0 && d.era <= FirstEra {
		p.Era = d.era
	}
	return p
}

// Position returns the position of the directory; its revision is zero if it is empty.
func (d *Directory) Position() Position {
	return Position{
		Era:      d.era,
		Revision: d.revision,
	}
}

// Prune removes deleted hosts, zones and routes after DepartedRetention.
func (d *Directory) Prune(now time.Time) {
	for k, i := range d.items {
		if !i.Deleted {
			continue
		}
		if i.Upstream != nil && now.Sub(i.Upstream.DepartedAt) < DepartedRetention {
			continue
		}
		if i.Upstream == nil && now.Sub(d.returnedZones[k.Name]) < DepartedRetention {
			continue
		}
		d.prunedRevision = max(d.prunedRevision, i.Revision)
		delete(d.items, k)
	}
	maps.DeleteFunc(d.removedRoutes, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= DepartedRetention })
	maps.DeleteFunc(d.returnedZones, func(_ string, at time.Time) bool { return now.Sub(at) >= DepartedRetention })
}

// NeedsRefresh reports whether the view changes with time alone, since the hosts of a
// zone that was put back into service still count as cold.
func (d *Directory) NeedsRefresh(now time.Time) bool {
	for _, at := range d.returnedZones {
		if now.Sub(at) <= ReturnGracePeriod+settleMargin {
			return true
		}
	}
	return false
}

// settleMargin covers the time from the end of ReturnGracePeriod until the next view.
const settleMargin = time.Second

// Since returns the delta from a position to the directory's, with its items ordered by
// revision. It is a complete listing if the position is in an earlier era, or if items
// changed since then have been pruned, and empty if the position is in a later era.
func (d *Directory) Since(from Position) *Delta {
	from = d.Normalize(from)
	base := from.Revision
	switch {
	case from.Era > d.era:
		base = d.revision
	case from.Era < d.era || base < d.prunedRevision:
		base = 0
	}
	delta := &Delta{
		Era:      d.era,
		Base:     base,
		Revision: max(d.revision, base),
		Retained: d.Retained(),
	}
	for _, i := range d.items {
		if i.Revision > base {
			delta.Items = append(delta.Items, *i)
		}
	}
	slices.SortFunc(delta.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return delta
}

// deleteUnlisted deletes the items that a complete delta does not list, and returns
// them.
func (d *Directory) deleteUnlisted(now time.Time, delta *Delta) []Item {
	listed := make(map[Key]bool, len(delta.Items))
	for i := range delta.Items {
		listed[delta.Items[i].Key] = true
	}
	var deleted []Item
	for k, i := range d.items {
		if listed[k] || i.Deleted || i.Revision > delta.Revision {
			continue
		}
		d.set(now, &Item{
			Key:      k,
			Revision: delta.Revision,
			Deleted:  true,
		})
		deleted = append(deleted, *d.items[k])
	}
	return deleted
}

// set stores an item and reports whether it was accepted: it must be newer than the
// stored one, and a plan must pass acceptPlan. A change made in this era ends the retention
// of an earlier item.
func (d *Directory) set(now time.Time, next *Item) bool {
	old, current := d.items[next.Key], d.current(next.Key)
	if old != nil && old.Revision >= next.Revision {
		return false
	}
	item := *next
	switch item.Key.Kind {
	case KindPlan:
		if !acceptPlan(old, &item) {
			return false
		}
		if current != nil && current.Plan.Version <= item.Plan.Version {
			d.recordRemovedRoutes(now, current.Plan, item.Plan)
			delete(d.retained, item.Key)
		}
	case KindUpstream:
		item.Upstream = storedUpstream(now, current, &item)
		delete(d.retained, item.Key)
	case KindZoneOut:
		if item.Deleted && current != nil && !current.Deleted {
			d.returnedZones[item.Key.Name] = now
		}
		delete(d.retained, item.Key)
	}
	d.items[item.Key] = &item
	return true
}

// storedUpstream returns the upstream that is stored for next, which replaces current.
func storedUpstream(now time.Time, current, next *Item) *Upstream {
	u := next.Upstream
	if next.Deleted && current != nil && current.Upstream != nil {
		if u == nil {
			u = departedCopy(now, current.Upstream)
		}
		u = u.announcedTo(current.Upstream)
	}
	if u == nil {
		return nil
	}
	return u.withTicket()
}

// acceptPlan reports whether a plan may replace the stored one: versions never go back,
// and a plan is never deleted.
func acceptPlan(old, next *Item) bool {
	return next.Plan != nil && (old == nil || old.Plan.Version < next.Plan.Version)
}

// recordRemovedRoutes records the routes that are in old but not in next.
func (d *Directory) recordRemovedRoutes(now time.Time, old, next *Plan) {
	for i := range old.Routes {
		d.removedRoutes[old.Routes[i].Address] = now
	}
	for i := range next.Routes {
		delete(d.removedRoutes, next.Routes[i].Address)
	}
}

// departedCopy returns the copy of a host that is kept after its entry was deleted.
func departedCopy(now time.Time, u *Upstream) *Upstream {
	if !u.DepartedAt.IsZero() {
		return u
	}
	departed := *u
	departed.DepartedAt = now
	departed.Lapsed = !u.Draining
	return &departed
}
