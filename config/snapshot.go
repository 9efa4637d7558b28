package config

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/rotisserie/eris"
)

// A Snapshot is one version of the configuration, indexed for look-up and
// never changed once made.
type Snapshot struct {
	Version  Version
	Document *Document

	// byID, byName and byAddress hold indices into Document.Services.
	byID      map[uint32]int
	byName    map[string]int
	byAddress map[netip.AddrPort]int
	upstreams *shards[uint32, position]
	// claims has the names and addresses of services and upstreams.
	claims claims
	// zones holds indices into Document.Zones.
	zones map[string]int
}

// A position is the place of an upstream in a document, as indices.
type position struct {
	service  int
	upstream int
}

// A ServiceUpstream is an upstream together with its service.
type ServiceUpstream struct {
	Service  *Service
	Upstream *Upstream
}

// NewSnapshot returns the snapshot of a document that passes its check; d is
// not changed afterwards by anyone.
func NewSnapshot(v Version, d *Document) (*Snapshot, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	s := &Snapshot{
		Version:   v,
		Document:  d,
		byID:      make(map[uint32]int, len(d.Services)),
		byName:    make(map[string]int, len(d.Services)),
		byAddress: make(map[netip.AddrPort]int, len(d.Services)),
		upstreams: newShards[uint32, position](),
		claims:    claims{shards: newShards[uint64, uint32]()},
		zones:     make(map[string]int, len(d.Zones)),
	}
	for i := range d.Zones {
		s.zones[d.Zones[i].Name] = i
	}
	for i := range d.Services {
		s.index(i)
	}
	return s, nil
}

// Apply returns the snapshot that follows s by p; the error is that of
// Patch.Apply.
func (s *Snapshot) Apply(p *Patch) (*Snapshot, error) {
	if next, ok := s.advance(p); ok {
		return next, nil
	}
	d, err := p.Apply(s.Version, s.Document)
	if err != nil {
		return nil, err
	}
	return NewSnapshot(s.Version+1, d)
}

// Service returns the service of an id, or nil.
func (s *Snapshot) Service(id uint32) *Service {
	i, ok := s.byID[id]
	return s.serviceAt(i, ok)
}

// ServiceAt returns the service of an address, or nil.
func (s *Snapshot) ServiceAt(a netip.AddrPort) *Service {
	i, ok := s.byAddress[a]
	return s.serviceAt(i, ok)
}

// Upstream returns the upstream of an id and its service; both are nil where
// there is none.
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

// ZoneIn reports whether a zone is known and receives traffic.
func (s *Snapshot) ZoneIn(name string) bool {
	z := s.Zone(name)
	return z != nil && z.State == ZoneIn
}

// Zone returns the zone of a name, or nil.
func (s *Snapshot) Zone(name string) *Zone {
	i, ok := s.zones[name]
	if !ok {
		return nil
	}
	return &s.Document.Zones[i]
}

func (s *Snapshot) index(i int) {
	v := &s.Document.Services[i]
	s.byID[v.ID] = i
	s.byName[v.Name] = i
	s.byAddress[v.Address] = i
	s.claims.take(nameClaim(v.Name))
	s.claims.take(addressClaim(v.Address))
	for j := range v.Upstreams {
		u := &v.Upstreams[j]
		s.claims.take(nameClaim(u.Name))
		s.claims.take(addressClaim(u.Address))
		s.upstreams.set(u.ID, position{
			service:  i,
			upstream: j,
		})
	}
}

func (s *Snapshot) serviceAt(i int, ok bool) *Service {
	if !ok {
		return nil
	}
	return &s.Document.Services[i]
}

// Decode sets v from one JSON value in data; unknown fields and trailing data
// are errors.
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
