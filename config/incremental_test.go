package config

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Applying a patch to a snapshot gives the same result as applying it to the whole
// document: equal snapshots with correct indexes, or the same error.
func TestSnapshotApplyEqualsWholeDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := NewSnapshot(7, drawDocument(t))
		require.NoError(t, err)
		for range rapid.IntRange(1, 6).Draw(t, "patches") {
			p := &Patch{
				Base:       s.Version,
				Operations: rapid.SliceOfN(rapid.Custom(drawOperation), 0, 3).Draw(t, "operations"),
			}
			if len(s.Document.Zones) > 0 && rapid.Bool().Draw(t, "valid") {
				p.Operations = []Operation{drawChange(t, s.Document), drawChange(t, s.Document)}
			}
			before := encoded(t, s.Document)
			next, err := s.Apply(p)
			require.Equal(t, before, encoded(t, s.Document), "Apply changed the snapshot")
			requireIndexed(t, s)
			want, wantErr := p.Apply(s.Version, s.Document)
			require.Equal(t, wantErr == nil, err == nil, "%v, %v", wantErr, err)
			if err != nil {
				require.Equal(t, wantErr.Error(), err.Error())
				continue
			}
			// Clone makes nil and empty lists of upstreams equal.
			require.Equal(t, encoded(t, want.Clone()), encoded(t, next.Document.Clone()))
			require.Equal(t, want.Digest(), next.Document.Digest())
			requireIndexed(t, next)
			s = next
		}
	})
}

// Frequent changes of zones and upstreams are applied incrementally, without a
// check of the whole document.
func TestApplyIncrementalTakesSmallChanges(t *testing.T) {
	d := sampleDocument()
	s, err := NewSnapshot(1, d)
	require.NoError(t, err)
	u := d.Services[0].Upstreams[0]
	u.State = UpstreamDraining
	z := d.Zones[0]
	z.State = ZoneOut
	for name, o := range map[string]Operation{
		"zone out":        {PutZone: &z},
		"drain upstream":  {PutUpstream: &PutUpstream{Service: d.Services[0].Name, Upstream: u}},
		"remove upstream": {RemoveUpstream: &RemoveUpstream{Service: d.Services[0].Name, Name: u.Name}},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := s.applyIncremental(&Patch{
				Base:       1,
				Operations: []Operation{o},
			})
			require.True(t, ok)
		})
	}
}

// drawChange draws an operation on a zone or upstream of the document.
func drawChange(t *rapid.T, d *Document) Operation {
	z := rapid.SampledFrom(d.Zones).Draw(t, "zone")
	z.State = rapid.SampledFrom([]ZoneState{ZoneIn, ZoneOut}).Draw(t, "state")
	if len(d.Services) == 0 || rapid.Bool().Draw(t, "put zone") {
		return Operation{PutZone: &z}
	}
	s := rapid.SampledFrom(d.Services).Draw(t, "service")
	if len(s.Upstreams) == 0 {
		return Operation{PutZone: &z}
	}
	u := rapid.SampledFrom(s.Upstreams).Draw(t, "upstream")
	if rapid.Bool().Draw(t, "remove") {
		return Operation{RemoveUpstream: &RemoveUpstream{
			Service: s.Name,
			Name:    u.Name,
		}}
	}
	u.Share = rapid.Uint32Range(0, 9).Draw(t, "share")
	u.Zone = z.Name
	if rapid.Bool().Draw(t, "add") {
		u.ID += 1000
		u.Name += "-added"
	}
	// The service may be another one than the upstream's.
	to := rapid.SampledFrom(d.Services).Draw(t, "to")
	return Operation{PutUpstream: &PutUpstream{
		Service:  to.Name,
		Upstream: u,
	}}
}

// requireIndexed checks that lookups by id, address and zone lead to the elements of
// the snapshot's document, and that no other upstream is indexed.
func requireIndexed(t *rapid.T, s *Snapshot) {
	n := 0
	for i := range s.Document.Services {
		v := &s.Document.Services[i]
		require.Same(t, v, s.Service(v.ID))
		require.Same(t, v, s.ServiceAt(v.Address))
		for j := range v.Upstreams {
			n++
			p := s.Upstream(v.Upstreams[j].ID)
			require.Same(t, v, p.Service)
			require.Same(t, &v.Upstreams[j], p.Upstream)
		}
	}
	indexed := 0
	for i := range s.upstreams.shards {
		indexed += len(s.upstreams.shards[i])
	}
	require.Equal(t, n, indexed)
	for i := range s.Document.Zones {
		require.Same(t, &s.Document.Zones[i], s.Zone(s.Document.Zones[i].Name))
	}
}

func TestDigestTellsDocumentsApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDocument(t), drawDocument(t)
		if encoded(t, a) == encoded(t, b) {
			require.Equal(t, a.Digest(), b.Digest())
			return
		}
		require.NotEqual(t, a.Digest(), b.Digest())
	})
}
