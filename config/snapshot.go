package config

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/rotisserie/eris"
)

// A Snapshot is one version of the configuration with indexes for lookups. It is
// immutable.
type Snapshot struct {
	Version  Version
	Document *Document

	// byID, byName and byAddress hold indices into Document.Services.
	byID      map[uint32]int
	byName    map[string]int
	byAddress map[netip.AddrPort]int
	// upstreams holds the positions of upstreams by id.
	upstreams *cowMap[uint32, position]
	// usedHashes counts the names and addresses of services and upstreams.
	usedHashes hashCounts
	// zones holds indices into Document.Zones by name.
	zones map[string]int
}

// A position locates an upstream in a document by the index of its service and
// its index among the service's upstreams.
type position struct {
	service  int
	upstream int
}

// A ServiceUpstream is an upstream and the service that it belongs to.
type ServiceUpstream struct {
	Service  *Service
	Upstream *Upstream
}

// NewSnapshot returns the snapshot of d as version v, or the error of d's check.
// d must not be changed afterwards.
func NewSnapshot(v Version, d *Document) (*Snapshot, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	s := &Snapshot{
		Version:    v,
		Document:   d,
		byID:       make(map[uint32]int, len(d.Services)),
		byName:     make(map[string]int, len(d.Services)),
		byAddress:  make(map[netip.AddrPort]int, len(d.Services)),
		upstreams:  newCOWMap[uint32, position](),
		usedHashes: hashCounts{cowMap: newCOWMap[uint64, uint32]()},
		zones:      make(map[string]int, len(d.Zones)),
	}
	for i := range d.Zones {
		s.zones[d.Zones[i].Name] = i
	}
	for i := range d.Services {
		s.indexService(i)
	}
	return s, nil
}

// Apply returns the snapshot that results from applying p to s. The errors are
// those of Patch.Apply.
func (s *Snapshot) Apply(p *Patch) (*Snapshot, error) {
	if next, ok := s.applyIncremental(p); ok {
		return next, nil
	}
	d, err := p.Apply(s.Version, s.Document)
	if err != nil {
		return nil, err
	}
	return NewSnapshot(s.Version+1, d)
}

// Service returns the service with an id, or nil.
func (s *Snapshot) Service(id uint32) *Service {
	i, ok := s.byID[id]
	return s.serviceByIndex(i, ok)
}

// ServiceAt returns the service at an address, or nil.
func (s *Snapshot) ServiceAt(a netip.AddrPort) *Service {
	i, ok := s.byAddress[a]
	return s.serviceByIndex(i, ok)
}

// Upstream returns the upstream with an id and its service; both are nil if there
// is none.
func (s *Snapshot) Upstream(id uint32) ServiceUpstream {
	at, ok := s.upstreams.get(id)
	if !ok {
		return ServiceUpstream{}
	}
	v := &s.Document.Services[at.service]
	return ServiceUpstream{
		Service:  v,
		Upstream: &v.Upstreams[at.upstream],
	}
}

// ZoneIn reports whether the named zone exists and receives traffic.
func (s *Snapshot) ZoneIn(name string) bool {
	z := s.Zone(name)
	return z != nil && z.State == ZoneIn
}

// Zone returns the named zone, or nil.
func (s *Snapshot) Zone(name string) *Zone {
	i, ok := s.zones[name]
	if !ok {
		return nil
	}
	return &s.Document.Zones[i]
}

// indexService adds the service at index i and its upstreams to the indexes.
func (s *Snapshot) indexService(i int) {
	v := &s.Document.Services[i]
	s.byID[v.ID] = i
	s.byName[v.Name] = i
	s.byAddress[v.Address] = i
	s.usedHashes.increment(nameHash(v.Name))
	s.usedHashes.increment(addressHash(v.Address))
	for j := range v.Upstreams {
		u := &v.Upstreams[j]
		s.usedHashes.increment(nameHash(u.Name))
		s.usedHashes.increment(addressHash(u.Address))
		s.upstreams.set(u.ID, position{
			service:  i,
			upstream: j,
		})
	}
}

// serviceByIndex returns the service at index i, or nil if ok is false.
func (s *Snapshot) serviceByIndex(i int, ok bool) *Service {
	if !ok {
		return nil
	}
	return &s.Document.Services[i]
}

// Decode decodes the JSON value in data into v. Unknown fields and data after the
// value are errors.
func Decode(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return eris.Wrap(err, "decode")
	}
	if _, err := dec.Token(); err != io.EOF {
		return eris.New("decode: data after the value")
	}
	return nil
}
