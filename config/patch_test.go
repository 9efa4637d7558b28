package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestPatchApplyWholeOrNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		p := &Patch{
			Base:       7,
			Operations: rapid.SliceOfN(rapid.Custom(drawOperation), 0, 5).Draw(t, "operations"),
		}
		before := encoded(t, d)
		patch := encoded(t, p)
		next, err := p.Apply(7, d)
		require.Equal(t, before, encoded(t, d), "the document has changed")
		require.Equal(t, patch, encoded(t, p), "the patch has changed")
		if err != nil {
			require.Nil(t, next)
			var check *CheckError
			var step *PatchError
			require.True(t, errors.As(err, &check) || errors.As(err, &step), "%v", err)
			return
		}
		require.NoError(t, next.Check())
		overwrite(next)
		require.Equal(t, before, encoded(t, d), "the result shares memory with the document")
		require.Equal(t, patch, encoded(t, p), "the result shares memory with the patch")
	})
}

// A later operation on a service that the same patch puts must not reach into
// the patch.
func TestPatchApplyLeavesPatch(t *testing.T) {
	s := sample().Services[0]
	changed := s.Upstreams[0]
	changed.Slots = 9
	p := &Patch{
		Operations: []Operation{
			{PutService: &s},
			{PutUpstream: &PutUpstream{Service: s.Name, Upstream: changed}},
		},
	}
	before := encoded(t, p)
	_, err := p.Apply(0, sample())
	require.NoError(t, err)
	require.Equal(t, before, encoded(t, p))
}

func TestPatchApplyBase(t *testing.T) {
	tests := []struct {
		name string
		base Version
	}{
		{name: "older", base: 6},
		{name: "newer", base: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &Patch{Base: tt.base}
			next, err := p.Apply(7, sample())
			require.ErrorIs(t, err, ErrBaseMismatch)
			require.Nil(t, next)
		})
	}
}

func TestPatchApplySteps(t *testing.T) {
	tests := []struct {
		name       string
		operations []Operation
		want       string
	}{
		{name: "no step", operations: []Operation{{}}, want: "operations[0]: an operation has exactly one step, this one has 0"},
		{name: "two steps", operations: []Operation{{
			RemoveZone:    &RemoveZone{Name: "merano"},
			RemoveService: &RemoveService{Name: "bacheca"},
		}}, want: "operations[0]: an operation has exactly one step, this one has 2"},
		{name: "no zone", operations: []Operation{{RemoveZone: &RemoveZone{Name: "x"}}}, want: `operations[0]: no zone "x"`},
		{name: "no service", operations: []Operation{{RemoveService: &RemoveService{Name: "x"}}}, want: `operations[0]: no service "x"`},
		{name: "no service of an upstream", operations: []Operation{{PutUpstream: &PutUpstream{Service: "x"}}}, want: `operations[0]: no service "x"`},
		{name: "no upstream", operations: []Operation{
			{RemoveUpstream: &RemoveUpstream{Service: "bacheca", Name: "upstream-1"}},
			{RemoveUpstream: &RemoveUpstream{Service: "bacheca", Name: "upstream-1"}},
		}, want: `operations[1]: no upstream "upstream-1" in service "bacheca"`},
		{name: "zone with upstreams", operations: []Operation{{RemoveZone: &RemoveZone{Name: "merano"}}}, want: `services[0].upstreams[0].zone: "merano" is not allowed, want the name of a zone of the document`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &Patch{
				Base:       7,
				Operations: tt.operations,
			}
			_, err := p.Apply(7, sample())
			require.EqualError(t, err, tt.want)
		})
	}
}

func TestPatchCheck(t *testing.T) {
	p := &Patch{
		Operations: []Operation{
			{RemoveZone: &RemoveZone{Name: "x"}},
			{},
		},
	}
	require.EqualError(t, p.Check(), "operations[1]: an operation has exactly one step, this one has 0")
	p.Operations = p.Operations[:1]
	require.NoError(t, p.Check())
}

func TestDiffLeadsFromOneDocumentToAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t), drawDocument(t)
		p := &Patch{
			Base:       7,
			Operations: Diff(from, to),
		}
		next, err := p.Apply(7, from)
		if CheckReuse(from, to) != nil {
			// What moves between services leaves in a version of its own.
			var check *CheckError
			require.ErrorAs(t, err, &check)
			between := from.Clone()
			between.Services = nil
			p.Operations = Diff(from, between)
			between, err = p.Apply(7, from)
			require.NoError(t, err)
			p.Operations = Diff(between, to)
			next, err = p.Apply(7, between)
		}
		require.NoError(t, err)
		require.Equal(t, encoded(t, sorted(to)), encoded(t, sorted(next)))
		require.Empty(t, Diff(to, next))
	})
}

func TestDiffOfNamesThatChange(t *testing.T) {
	from, to := sample(), sample()
	other := Service{
		ID:       2,
		Name:     "planimetrie",
		Address:  sampleUpstream(9, "").Address,
		Deadline: Duration(MinDeadline),
		Refresh:  Duration(MinRefresh),
	}
	from.Services = append(from.Services, other)
	to.Services[0].Name = "planimetrie"
	other.Name = "bacheca"
	to.Services = append(to.Services, other)
	to.Services[0].Upstreams[0].Name, to.Services[0].Upstreams[1].Name = "upstream-2", "upstream-1"
	p := &Patch{
		Operations: Diff(from, to),
	}
	next, err := p.Apply(0, from)
	require.NoError(t, err)
	require.Equal(t, encoded(t, sorted(to)), encoded(t, sorted(next)))
}

// encoded returns v in JSON, nil and empty slices of documents being equal.
func encoded(t require.TestingT, v any) string {
	data, err := json.Marshal(v)
	require.NoError(t, err)
	return string(data)
}

// overwrite changes everything that a document refers to.
func overwrite(d *Document) {
	for i := range d.Keys {
		d.Keys[i].ID += 100
		d.Keys[i].Secret[0] ^= 0xff
	}
	for i := range d.Zones {
		d.Zones[i].Name += "x"
	}
	for i := range d.Services {
		s := &d.Services[i]
		s.Name += "x"
		for j := range s.Upstreams {
			s.Upstreams[j].Name += "x"
		}
	}
}

// sorted returns a copy of a document in an order of its own, without nil
// slices.
func sorted(d *Document) *Document {
	c := d.Clone()
	slices.SortFunc(c.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.ID, b.ID) })
	c.Zones = append([]Zone{}, c.Zones...)
	c.Services = append([]Service{}, c.Services...)
	for i := range c.Services {
		s := &c.Services[i]
		s.Upstreams = append([]Upstream{}, s.Upstreams...)
		slices.SortFunc(s.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return c
}
