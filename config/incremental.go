package config

import (
	"maps"
	"net/netip"
	"slices"
)

// applyIncremental returns the snapshot that results from applying p to s. It
// checks and indexes only what p changes, so that the cost of a small change
// doesn't grow with the document. ok is false if p needs a check of the whole
// document or can't be applied at all.
func (s *Snapshot) applyIncremental(p *Patch) (next *Snapshot, ok bool) {
	if p.Base != s.Version {
		return nil, false
	}
	b := newSnapshotBuilder(s)
	for i := range p.Operations {
		if !b.apply(&p.Operations[i]) {
			return nil, false
		}
	}
	return b.next, true
}

// A snapshotBuilder builds the next snapshot from the previous one and shares
// with it all that doesn't change.
type snapshotBuilder struct {
	before *Snapshot
	next   *Snapshot
	// copied marks the services, by index, whose upstreams are no longer shared
	// with the previous snapshot.
	copied map[int]bool
}

func newSnapshotBuilder(s *Snapshot) *snapshotBuilder {
	b := &snapshotBuilder{
		before: s,
		next: &Snapshot{
			Version: s.Version + 1,
			Document: &Document{
				Keys:     s.Document.Keys,
				Zones:    slices.Clone(s.Document.Zones),
				Services: slices.Clone(s.Document.Services),
			},
			byID:       s.byID,
			byName:     s.byName,
			byAddress:  s.byAddress,
			upstreams:  s.upstreams.copy(),
			usedHashes: s.usedHashes.copy(),
			zones:      maps.Clone(s.zones),
		},
		copied: make(map[int]bool),
	}
	return b
}

// apply applies one operation. It returns false if the operation is invalid or
// needs a check of the whole document.
func (b *snapshotBuilder) apply(o *Operation) bool {
	step, err := o.step()
	if err != nil {
		return false
	}
	switch v := step.(type) {
	case *Zone:
		return b.putZone(v)
	case *PutUpstream:
		return b.putUpstream(v)
	case *RemoveUpstream:
		return b.removeUpstream(v)
	default:
		return false
	}
}

// putZone replaces an existing zone.
func (b *snapshotBuilder) putZone(z *Zone) bool {
	i, ok := b.next.zones[z.Name]
	if !ok {
		return false
	}
	c := newChecker()
	c.zones([]Zone{*z})
	if len(c.faults) > 0 {
		return false
	}
	b.next.Document.Zones[i] = *z
	return true
}

// putUpstream adds an upstream, or replaces the one of the same id in the same
// service.
func (b *snapshotBuilder) putUpstream(p *PutUpstream) bool {
	i, ok := b.next.byName[p.Service]
	if !ok || !b.valid(&p.Upstream) || b.reusedElsewhere(i, &p.Upstream) {
		return false
	}
	u := p.Upstream
	at, known := b.next.upstreams.get(u.ID)
	if known && at.service != i {
		return false
	}
	s := b.writableService(i)
	if known {
		b.release(&s.Upstreams[at.upstream])
	}
	if !b.reserve(&u) {
		return false
	}
	if known {
		s.Upstreams[at.upstream] = u
		return true
	}
	s.Upstreams = append(s.Upstreams, u)
	b.next.upstreams.set(u.ID, position{
		service:  i,
		upstream: len(s.Upstreams) - 1,
	})
	return true
}

func (b *snapshotBuilder) removeUpstream(r *RemoveUpstream) bool {
	i, ok := b.next.byName[r.Service]
	if !ok {
		return false
	}
	s := b.writableService(i)
	j := slices.IndexFunc(s.Upstreams, func(u Upstream) bool { return u.Name == r.Name })
	if j < 0 {
		return false
	}
	b.release(&s.Upstreams[j])
	b.next.upstreams.remove(s.Upstreams[j].ID)
	s.Upstreams = slices.Delete(s.Upstreams, j, j+1)
	for k := j; k < len(s.Upstreams); k++ {
		b.next.upstreams.set(s.Upstreams[k].ID, position{
			service:  i,
			upstream: k,
		})
	}
	return true
}

// reusedElsewhere reports whether, in the previous snapshot, the id or address of
// u may have belonged to another service than the one at index i; see CheckReuse.
func (b *snapshotBuilder) reusedElsewhere(i int, u *Upstream) bool {
	if at, known := b.before.upstreams.get(u.ID); known && at.service != i {
		return true
	}
	if _, taken := b.before.usedHashes.get(addressHash(u.Address)); !taken {
		return false
	}
	own := func(o Upstream) bool { return o.Address == u.Address }
	return !slices.ContainsFunc(b.before.Document.Services[i].Upstreams, own)
}

// writableService returns the service at index i, with a copy of its upstreams
// that may be changed.
func (b *snapshotBuilder) writableService(i int) *Service {
	s := &b.next.Document.Services[i]
	if !b.copied[i] {
		b.copied[i] = true
		s.Upstreams = slices.Clone(s.Upstreams)
	}
	return s
}

// valid reports whether the values of u are allowed. It does not check whether
// its name, address and id are unique.
func (b *snapshotBuilder) valid(u *Upstream) bool {
	c := newChecker()
	if _, ok := b.next.zones[u.Zone]; ok {
		c.zoneNames[u.Zone] = true
	}
	c.upstream("", u)
	return len(c.faults) == 0
}

// reserve counts the name and address of u as used and reports whether both were
// free.
func (b *snapshotBuilder) reserve(u *Upstream) bool {
	return b.next.usedHashes.increment(nameHash(u.Name)) && b.next.usedHashes.increment(addressHash(u.Address))
}

// release undoes reserve.
func (b *snapshotBuilder) release(u *Upstream) {
	b.next.usedHashes.decrement(nameHash(u.Name))
	b.next.usedHashes.decrement(addressHash(u.Address))
}

// hashCounts counts the names and addresses in use by their hashes. A value whose
// hash is not in the map is unused; one whose hash is there may be unused too, as
// hashes collide.
type hashCounts struct {
	*cowMap[uint64, uint32]
}

func (c hashCounts) copy() hashCounts {
	return hashCounts{cowMap: c.cowMap.copy()}
}

// decrement removes one use of a hash.
func (c hashCounts) decrement(k uint64) {
	n, _ := c.get(k)
	if n <= 1 {
		c.remove(k)
		return
	}
	c.set(k, n-1)
}

// increment adds one use of a hash and reports whether it was unused.
func (c hashCounts) increment(k uint64) bool {
	n, taken := c.get(k)
	c.set(k, n+1)
	return !taken
}

// Kinds of hashed values. The kind is hashed before the value, so that a name
// and an address of the same bytes have different hashes.
const (
	hashKindName    = 1
	hashKindAddress = 2
)

func nameHash(name string) uint64 {
	h := hasher(fnvOffset)
	h.number(hashKindName)
	h.text(name)
	return uint64(h)
}

func addressHash(a netip.AddrPort) uint64 {
	h := hasher(fnvOffset)
	h.number(hashKindAddress)
	h.address(a)
	return uint64(h)
}
