package config

import (
	"maps"
	"net/netip"
	"slices"
)

// advance returns the snapshot that follows s by p at a cost that doesn't grow
// with the document; ok is false where p needs the whole document to be
// checked, or may not be applied at all.
func (s *Snapshot) advance(p *Patch) (next *Snapshot, ok bool) {
	if p.Base != s.Version {
		return nil, false
	}
	a := newAdvance(s)
	for i := range p.Operations {
		if !a.operation(&p.Operations[i]) {
			return nil, false
		}
	}
	return a.next, true
}

// An advance is a snapshot in the making, which shares what it doesn't change
// with the one before.
type advance struct {
	before *Snapshot
	next   *Snapshot
	// copied marks the services whose upstreams are not shared.
	copied map[int]bool
}

func newAdvance(s *Snapshot) *advance {
	a := &advance{
		before: s,
		next: &Snapshot{
			Version: s.Version + 1,
			Document: &Document{
				Keys:     s.Document.Keys,
				Zones:    slices.Clone(s.Document.Zones),
				Services: slices.Clone(s.Document.Services),
			},
			byID:      s.byID,
			byName:    s.byName,
			byAddress: s.byAddress,
			upstreams: s.upstreams.copy(),
			claims:    s.claims.copy(),
			zones:     maps.Clone(s.zones),
		},
		copied: make(map[int]bool),
	}
	return a
}

func (a *advance) operation(o *Operation) bool {
	step, err := o.step()
	if err != nil {
		return false
	}
	switch v := step.(type) {
	case *Zone:
		return a.putZone(v)
	case *PutUpstream:
		return a.putUpstream(v)
	case *RemoveUpstream:
		return a.removeUpstream(v)
	default:
		return false
	}
}

// putZone replaces a zone.
func (a *advance) putZone(z *Zone) bool {
	i, ok := a.next.zones[z.Name]
	if !ok {
		return false
	}
	c := newChecker()
	c.zones([]Zone{*z})
	if len(c.faults) > 0 {
		return false
	}
	a.next.Document.Zones[i] = *z
	return true
}

func (a *advance) putUpstream(p *PutUpstream) bool {
	i, ok := a.next.byName[p.Service]
	if !ok || !a.valid(&p.Upstream) || a.reused(i, &p.Upstream) {
		return false
	}
	u := p.Upstream
	at, known := a.next.upstreams.get(u.ID)
	if known && at.service != i {
		return false
	}
	s := a.service(i)
	if known {
		a.release(&s.Upstreams[at.upstream])
	}
	if !a.claim(&u) {
		return false
	}
	if known {
		s.Upstreams[at.upstream] = u
		return true
	}
	s.Upstreams = append(s.Upstreams, u)
	a.next.upstreams.set(u.ID, position{
		service:  i,
		upstream: len(s.Upstreams) - 1,
	})
	return true
}

func (a *advance) removeUpstream(r *RemoveUpstream) bool {
	i, ok := a.next.byName[r.Service]
	if !ok {
		return false
	}
	s := a.service(i)
	j := slices.IndexFunc(s.Upstreams, func(u Upstream) bool { return u.Name == r.Name })
	if j < 0 {
		return false
	}
	a.release(&s.Upstreams[j])
	a.next.upstreams.remove(s.Upstreams[j].ID)
	s.Upstreams = slices.Delete(s.Upstreams, j, j+1)
	for k := j; k < len(s.Upstreams); k++ {
		a.next.upstreams.set(s.Upstreams[k].ID, position{
			service:  i,
			upstream: k,
		})
	}
	return true
}

// reused reports whether the id or address of u may have belonged to another
// service than the one at index i before; see CheckReuse.
func (a *advance) reused(i int, u *Upstream) bool {
	if at, known := a.before.upstreams.get(u.ID); known && at.service != i {
		return true
	}
	if _, taken := a.before.claims.get(addressClaim(u.Address)); !taken {
		return false
	}
	own := func(o Upstream) bool { return o.Address == u.Address }
	return !slices.ContainsFunc(a.before.Document.Services[i].Upstreams, own)
}

// service returns a service whose upstreams may be changed.
func (a *advance) service(i int) *Service {
	s := &a.next.Document.Services[i]
	if !a.copied[i] {
		a.copied[i] = true
		s.Upstreams = slices.Clone(s.Upstreams)
	}
	return s
}

// valid reports whether u is allowed, its name, address and id apart.
func (a *advance) valid(u *Upstream) bool {
	c := newChecker()
	if _, ok := a.next.zones[u.Zone]; ok {
		c.zoneNames[u.Zone] = true
	}
	c.upstream("", u)
	return len(c.faults) == 0
}

// claim takes the name and address of u and reports whether they were free.
func (a *advance) claim(u *Upstream) bool {
	return a.next.claims.take(nameClaim(u.Name)) && a.next.claims.take(addressClaim(u.Address))
}

func (a *advance) release(u *Upstream) {
	a.next.claims.release(nameClaim(u.Name))
	a.next.claims.release(addressClaim(u.Address))
}

// claims counts the hashes of names and addresses in use. A hash that is not
// there is certainly free.
type claims struct {
	*shards[uint64, uint32]
}

func (c claims) copy() claims {
	return claims{shards: c.shards.copy()}
}

func (c claims) release(k uint64) {
	n, _ := c.get(k)
	if n <= 1 {
		c.remove(k)
		return
	}
	c.set(k, n-1)
}

// take counts a hash and reports whether it was free.
func (c claims) take(k uint64) bool {
	n, taken := c.get(k)
	c.set(k, n+1)
	return !taken
}

// Kinds of claims, which keep the hashes of names and addresses apart.
const (
	claimName    = 1
	claimAddress = 2
)

func nameClaim(name string) uint64 {
	h := hasher(fnvOffset)
	h.number(claimName)
	h.text(name)
	return uint64(h)
}

func addressClaim(a netip.AddrPort) uint64 {
	h := hasher(fnvOffset)
	h.number(claimAddress)
	h.address(a)
	return uint64(h)
}
