package config

import (
	"reflect"
	"slices"
)

// Diff returns the operations that change document from into document to. Both
// must pass their checks. The order of zones, services and upstreams is ignored
// and not reproduced; that of keys is significant.
func Diff(from, to *Document) []Operation {
	var d differ
	d.keys(from.Keys, to.Keys)
	d.removeServices(from.Services, to.Services)
	d.removeZones(from.Zones, to.Zones)
	d.putZones(from.Zones, to.Zones)
	for i := range to.Services {
		d.service(from.Services, &to.Services[i])
	}
	return d.operations
}

// A differ collects the operations that Diff returns.
type differ struct {
	operations []Operation
}

func (d *differ) add(o Operation) {
	d.operations = append(d.operations, o)
}

func (d *differ) keys(from, to []Key) {
	if equalKeys(from, to) {
		return
	}
	d.add(Operation{PutKeys: &PutKeys{Keys: to}})
}

func (d *differ) putUpstreams(service string, from, to []Upstream) {
	for i := range to {
		u := to[i]
		j := slices.IndexFunc(from, func(o Upstream) bool { return o.ID == u.ID })
		if j >= 0 && from[j] == u {
			continue
		}
		d.add(Operation{
			PutUpstream: &PutUpstream{
				Service:  service,
				Upstream: u,
			},
		})
	}
}

func (d *differ) putZones(from, to []Zone) {
	for i := range to {
		z := to[i]
		if !slices.Contains(from, z) {
			d.add(Operation{PutZone: &z})
		}
	}
}

func (d *differ) removeServices(from, to []Service) {
	for i := range from {
		s := &from[i]
		if !slices.ContainsFunc(to, func(o Service) bool { return o.ID == s.ID }) {
			d.add(Operation{RemoveService: &RemoveService{Name: s.Name}})
		}
	}
}

func (d *differ) removeUpstreams(service string, from, to []Upstream) {
	for i := range from {
		u := &from[i]
		if slices.ContainsFunc(to, func(o Upstream) bool { return o.ID == u.ID }) {
			continue
		}
		d.add(Operation{
			RemoveUpstream: &RemoveUpstream{
				Service: service,
				Name:    u.Name,
			},
		})
	}
}

func (d *differ) removeZones(from, to []Zone) {
	for i := range from {
		z := &from[i]
		if !slices.ContainsFunc(to, func(o Zone) bool { return o.Name == z.Name }) {
			d.add(Operation{RemoveZone: &RemoveZone{Name: z.Name}})
		}
	}
}

// service adds the operations that create s, or that change the service of the
// same id into s.
func (d *differ) service(from []Service, s *Service) {
	i := slices.IndexFunc(from, func(o Service) bool { return o.ID == s.ID })
	if i < 0 || !sameService(&from[i], s) {
		d.add(Operation{PutService: s})
		return
	}
	d.removeUpstreams(s.Name, from[i].Upstreams, s.Upstreams)
	d.putUpstreams(s.Name, from[i].Upstreams, s.Upstreams)
}

// equalKeys reports whether two lists of keys are equal; nil equals empty.
func equalKeys(a, b []Key) bool {
	return slices.EqualFunc(a, b, func(x, y Key) bool {
		return x.ID == y.ID && slices.Equal(x.Secret, y.Secret)
	})
}

// sameService reports whether two services are equal apart from their upstreams.
func sameService(a, b *Service) bool {
	x, y := *a, *b
	x.Upstreams, y.Upstreams = nil, nil
	return reflect.DeepEqual(x, y)
}
