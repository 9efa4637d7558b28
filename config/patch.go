package config

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrBaseMismatch reports a patch made against another version than the one in force.
var ErrBaseMismatch = eris.New("patch is not based on this version")

// A Patch is a change from version Base to version Base+1; it is applied whole
// or not at all.
type Patch struct {
	Base       Version     `json:"base"`
	Operations []Operation `json:"operations"`
}

// An Operation is one step of a patch; exactly one of its fields is set.
type Operation struct {
	PutKeys        *PutKeys        `json:"put_keys,omitempty"`
	PutZone        *Zone           `json:"put_zone,omitempty"`
	RemoveZone     *RemoveZone     `json:"remove_zone,omitempty"`
	PutService     *Service        `json:"put_service,omitempty"`
	RemoveService  *RemoveService  `json:"remove_service,omitempty"`
	PutUpstream    *PutUpstream    `json:"put_upstream,omitempty"`
	RemoveUpstream *RemoveUpstream `json:"remove_upstream,omitempty"`
}

// A PutKeys replaces all keys.
type PutKeys struct {
	Keys []Key `json:"keys"`
}

// A RemoveZone removes a zone without upstreams.
type RemoveZone struct {
	Name string `json:"name"`
}

// A RemoveService removes a service and its upstreams.
type RemoveService struct {
	Name string `json:"name"`
}

// A PutUpstream adds an upstream to a service or replaces the one of the same
// id.
type PutUpstream struct {
	Service  string   `json:"service"`
	Upstream Upstream `json:"upstream"`
}

// A RemoveUpstream removes an upstream from a service.
type RemoveUpstream struct {
	Service string `json:"service"`
	Name    string `json:"name"`
}

// Apply returns the document that p makes of d, which has version base; d and
// p are left as they are and share no memory with it. The error is ErrBase, a *PatchError, or a *CheckError.
func (p *Patch) Apply(base Version, d *Document) (*Document, error) {
	if p.Base != base {
		return nil, eris.Wrapf(ErrBaseMismatch, "patch base %d, version %d", p.Base, base)
	}
	next := d.Clone()
	for i := range p.Operations {
		if err := p.Operations[i].apply(next); err != nil {
			return nil, &PatchError{
				Operation: i,
				Cause:     err,
			}
		}
	}
	if err := next.Check(); err != nil {
		return nil, err
	}
	if err := CheckReuse(d, next); err != nil {
		return nil, err
	}
	return next, nil
}

// A PatchError tells which operation of a patch can't be applied.
type PatchError struct {
	// Operation is an index into the patch's operations, from zero.
	Operation int
	Cause     error
}

// Error names the operation and the cause.
func (e *PatchError) Error() string {
	return fmt.Sprintf("operations[%d]: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *PatchError) Unwrap() error {
	return e.Cause
}

// step returns the single step that o holds.
func (o *Operation) step() (step, error) {
	var steps []step
	if o.PutKeys != nil {
		steps = append(steps, o.PutKeys)
	}
	if o.PutZone != nil {
		steps = append(steps, o.PutZone)
	}
	if o.RemoveZone != nil {
		steps = append(steps, o.RemoveZone)
	}
	if o.PutService != nil {
		steps = append(steps, o.PutService)
	}
	if o.RemoveService != nil {
		steps = append(steps, o.RemoveService)
	}
	if o.PutUpstream != nil {
		steps = append(steps, o.PutUpstream)
	}
	if o.RemoveUpstream != nil {
		steps = append(steps, o.RemoveUpstream)
	}
	if len(steps) != 1 {
		return nil, eris.Errorf("an operation has exactly one step, this one has %d", len(steps))
	}
	return steps[0], nil
}

func (o *Operation) apply(d *Document) error {
	s, err := o.step()
	if err != nil {
		return err
	}
	return s.apply(d)
}

// A step changes a document in place.
type step interface {
	apply(d *Document) error
}

func (k *PutKeys) apply(d *Document) error {
	d.Keys = cloneKeys(k.Keys)
	return nil
}

func (z *Zone) apply(d *Document) error {
	i := slices.IndexFunc(d.Zones, func(o Zone) bool { return o.Name == z.Name })
	if i < 0 {
		d.Zones = append(d.Zones, *z)
		return nil
	}
	d.Zones[i] = *z
	return nil
}

func (r *RemoveZone) apply(d *Document) error {
	i := slices.IndexFunc(d.Zones, func(o Zone) bool { return o.Name == r.Name })
	if i < 0 {
		return eris.Errorf("no zone %q", r.Name)
	}
	d.Zones = slices.Delete(d.Zones, i, i+1)
	return nil
}

func (s *Service) apply(d *Document) error {
	i := slices.IndexFunc(d.Services, func(o Service) bool { return o.ID == s.ID })
	if i < 0 {
		d.Services = append(d.Services, s.clone())
		return nil
	}
	d.Services[i] = s.clone()
	return nil
}

func (r *RemoveService) apply(d *Document) error {
	i := d.serviceIndex(r.Name)
	if i < 0 {
		return eris.Errorf("no service %q", r.Name)
	}
	d.Services = slices.Delete(d.Services, i, i+1)
	return nil
}

func (u *PutUpstream) apply(d *Document) error {
	i := d.serviceIndex(u.Service)
	if i < 0 {
		return eris.Errorf("no service %q", u.Service)
	}
	s := &d.Services[i]
	j := slices.IndexFunc(s.Upstreams, func(o Upstream) bool { return o.ID == u.Upstream.ID })
	if j < 0 {
		s.Upstreams = append(s.Upstreams, u.Upstream)
		return nil
	}
	s.Upstreams[j] = u.Upstream
	return nil
}

func (r *RemoveUpstream) apply(d *Document) error {
	i := d.serviceIndex(r.Service)
	if i < 0 {
		return eris.Errorf("no service %q", r.Service)
	}
	s := &d.Services[i]
	j := slices.IndexFunc(s.Upstreams, func(o Upstream) bool { return o.Name == r.Name })
	if j < 0 {
		return eris.Errorf("no upstream %q in service %q", r.Name, r.Service)
	}
	s.Upstreams = slices.Delete(s.Upstreams, j, j+1)
	return nil
}

func (d *Document) serviceIndex(name string) int {
	return slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
}

// Check returns a *PatchError for the first operation that does not have
// exactly one step, or nil. Apply checks all the rest.
func (p *Patch) Check() error {
	for i := range p.Operations {
		if _, err := p.Operations[i].step(); err != nil {
			return &PatchError{
				Operation: i,
				Cause:     err,
			}
		}
	}
	return nil
}
