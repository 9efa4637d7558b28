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

	// byID, byAddress and upstreams point into Document.
	byID      map[uint32]*Service
	byAddress map[netip.AddrPort]*Service
	upstreams map[uint32]Placement
	zones     map[string]*Zone
}

// A Placement is an upstream together with its service.
type Placement struct {
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
		byID:      make(map[uint32]*Service, len(d.Services)),
		byAddress: make(map[netip.AddrPort]*Service, len(d.Services)),
		upstreams: make(map[uint32]Placement),
		zones:     make(map[string]*Zone, len(d.Zones)),
	}
	for i := range d.Zones {
		s.zones[d.Zones[i].Name] = &d.Zones[i]
	}
	for i := range d.Services {
		s.index(&d.Services[i])
	}
	return s, nil
}

// Apply returns the snapshot that follows s by p; the error is that of
// Patch.Apply.
func (s *Snapshot) Apply(p *Patch) (*Snapshot, error) {
	d, err := p.Apply(s.Version, s.Document)
	if err != nil {
		return nil, err
	}
	return NewSnapshot(s.Version+1, d)
}

// Service returns the service of an id, or nil.
func (s *Snapshot) Service(id uint32) *Service {
	return s.byID[id]
}

// ServiceAt returns the service of an address, or nil.
func (s *Snapshot) ServiceAt(a netip.AddrPort) *Service {
	return s.byAddress[a]
}

// Upstream returns the upstream of an id and its service; both are nil where
// there is none.
func (s *Snapshot) Upstream(id uint32) Placement {
	return s.upstreams[id]
}

// ZoneIn reports whether a zone is known and receives traffic.
func (s *Snapshot) ZoneIn(name string) bool {
	z := s.zones[name]
	return z != nil && z.State == ZoneIn
}

// Zone returns the zone of a name, or nil.
func (s *Snapshot) Zone(name string) *Zone {
	return s.zones[name]
}

func (s *Snapshot) index(v *Service) {
	s.byID[v.ID] = v
	s.byAddress[v.Address] = v
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		s.upstreams[u.ID] = Placement{
			Service:  v,
			Upstream: u,
		}
	}
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
