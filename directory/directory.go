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

// A Directory is a replica of the items as of one revision. It is not safe for
// concurrent use.
type Directory struct {
	items    map[Key]*Item
	revision uint64
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
		returnedZones: make(map[string]time.Time),
		removedRoutes: make(map[netip.AddrPort]time.Time),
	}
}

// Apply applies a delta and returns the items that it changed. A delta to the
// directory's revision or an older one changes nothing. The error is ErrRevisionGap if
// the delta's base is later than the directory's revision.
func (d *Directory) Apply(now time.Time, delta *Delta) ([]Item, error) {
	if delta.Base > d.revision {
		return nil, ErrRevisionGap
	}
	if delta.Revision <= d.revision {
		return nil, nil
	}
	var changed []Item
	for i := range delta.Items {
		if d.set(now, &delta.Items[i]) {
			changed = append(changed, *d.items[delta.Items[i].Key])
		}
	}
	if delta.Base == 0 {
		changed = append(changed, d.deleteUnlisted(now, delta)...)
	}
	d.revision = delta.Revision
	return changed, nil
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

// MergeDeparted adds the departed hosts in a peer's delta that the directory doesn't
// know, even if the delta is no newer than the directory. It returns the added items.
func (d *Directory) MergeDeparted(now time.Time, delta *Delta) []Item {
	var changed []Item
	for i := range delta.Items {
		item := &delta.Items[i]
		if !item.Deleted || item.Upstream == nil || d.items[item.Key] != nil {
			continue
		}
		if d.set(now, item) {
			changed = append(changed, *item)
		}
	}
	return changed
}

// Revision returns the revision of the directory; zero if it is empty.
func (d *Directory) Revision() uint64 {
	return d.revision
}

// Since returns the delta from a revision to the directory's, with its items ordered by
// revision. It is a complete listing if items changed since then have been pruned.
func (d *Directory) Since(revision uint64) *Delta {
	delta := &Delta{
		Base:     revision,
		Revision: max(d.revision, revision),
	}
	if revision < d.prunedRevision {
		delta.Base = 0
	}
	for _, i := range d.items {
		if i.Revision > delta.Base {
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
// stored one, and a plan must pass acceptPlan.
func (d *Directory) set(now time.Time, next *Item) bool {
	old := d.items[next.Key]
	if old != nil && old.Revision >= next.Revision {
		return false
	}
	item := *next
	switch item.Key.Kind {
	case KindPlan:
		if !d.acceptPlan(now, old, &item) {
			return false
		}
	case KindUpstream:
		if item.Deleted && item.Upstream == nil && old != nil && old.Upstream != nil {
			item.Upstream = departedCopy(now, old.Upstream)
		}
		if item.Upstream != nil {
			item.Upstream = item.Upstream.withTicket()
		}
	case KindZoneOut:
		if item.Deleted && old != nil && !old.Deleted {
			d.returnedZones[item.Key.Name] = now
		}
	}
	d.items[item.Key] = &item
	return true
}

// acceptPlan reports whether a plan may replace the stored one: versions never go back,
// and a plan is never deleted. It records the removed routes if so.
func (d *Directory) acceptPlan(now time.Time, old, next *Item) bool {
	if next.Plan == nil {
		return false
	}
	if old == nil {
		return true
	}
	if old.Plan.Version >= next.Plan.Version {
		return false
	}
	d.recordRemovedRoutes(now, old.Plan, next.Plan)
	return true
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
