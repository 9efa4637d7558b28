package config

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestReadBounds(t *testing.T) {
	tests := []struct {
		name string
		size int
		want error
	}{
		{name: "largest", size: MaxValueSize},
		{name: "too large", size: MaxValueSize + 1, want: ErrTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body := `{"vms":[]}`
			body += strings.Repeat(" ", tt.size-len(body))
			require.ErrorIs(t, Read(strings.NewReader(body), &VMList{}), tt.want)
		})
	}
}

func TestPublicationCheck(t *testing.T) {
	patch := func(base Version) Patch { return Patch{Base: base} }
	tests := []struct {
		name string
		p    Publication
		bad  bool
	}{
		{name: "document", p: Publication{Version: 1, Document: &Document{}}},
		{name: "patches", p: Publication{Version: 9, Patches: []Patch{patch(7), patch(8)}}},
		{name: "no version", p: Publication{Document: &Document{}}, bad: true},
		{name: "neither", p: Publication{Version: 9}, bad: true},
		{name: "both", p: Publication{Version: 9, Document: &Document{}, Patches: []Patch{patch(8)}}, bad: true},
		{name: "gap", p: Publication{Version: 9, Patches: []Patch{patch(6), patch(8)}}, bad: true},
		{name: "end", p: Publication{Version: 9, Patches: []Patch{patch(7)}}, bad: true},
		{name: "too many", p: Publication{Version: 1, Patches: []Patch{patch(0), patch(1)}}, bad: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.bad {
				require.ErrorIs(t, tt.p.Check(), ErrInvalidValue)
				return
			}
			require.NoError(t, tt.p.Check())
		})
	}
}

func TestDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := &Publication{
			Version:  Version(rapid.Uint64().Draw(t, "version")),
			Document: drawDocument(t),
		}
		got := &Publication{}
		require.NoError(t, Decode([]byte(encoded(t, want)), got))
		require.Equal(t, encoded(t, want), encoded(t, got))
	})
}

// FuzzDecode checks that no data makes the decoder, the checks or a patch
// panic, and that what is decoded reads the same after encoding.
func FuzzDecode(f *testing.F) {
	document, err := json.Marshal(Publication{
		Version:  7,
		Document: sample(),
	})
	require.NoError(f, err)
	f.Add(document)
	for _, seed := range []string{
		"", "null", "{}", "[]", `{"version":1}{}`, `{"version":-1}`, `{"version":18446744073709551616}`,
		`{"colour":1}`, `{"version":1,"document":{"services":[{"deadline":"1x"}]}}`,
		`{"version":1,"document":{"services":[{"address":"127.0.0.1"}]}}`,
		`{"version":1,"document":{"keys":[{"id":256,"secret":"="}]}}`,
		`{"version":9,"patches":[{"base":8,"operations":[{"put_zone":{"name":"merano","region":"r","state":"out"}}]}]}`,
		`{"version":9,"patches":[{"base":8,"operations":[{"put_upstream":{"service":"bacheca","upstream":{"id":1}}}]}]}`,
		`{"version":9,"patches":[{"base":8,"operations":[{"remove_service":{"name":"bacheca"}},{"put_keys":{}}]}]}`,
		strings.Repeat(`{"document":`, 100),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p := &Publication{}
		if Decode(data, p) != nil {
			return
		}
		again := &Publication{}
		first := encoded(t, p)
		require.NoError(t, Read(bytes.NewReader([]byte(first)), again))
		require.Equal(t, first, encoded(t, again))
		_ = p.Check()
		if p.Document != nil {
			_ = p.Document.Check()
		}
		for i := range p.Patches {
			next, err := p.Patches[i].Apply(p.Patches[i].Base, sample())
			require.Equal(t, err == nil, next != nil)
		}
	})
}
