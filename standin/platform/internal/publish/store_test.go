package publish

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
)

func testDocument() *config.Document {
	return &config.Document{
		Keys: []config.Key{
			{
				ID:     1,
				Secret: make([]byte, config.MinSecretSize),
			},
		},
		Services: []config.Service{
			{
				ID:       1,
				Name:     "rental-desk",
				Address:  netip.MustParseAddrPort("127.0.1.100:5683"),
				Deadline: config.Duration(time.Second),
				Refresh:  config.Duration(time.Second),
			},
		},
	}
}

func testStore(t *testing.T) *Store {
	t.Helper()
	s, err := NewStore(testDocument(), config.VMList{})
	require.NoError(t, err)
	return s
}

// zonePatch returns a patch that applies to any document.
func zonePatch(base config.Version) *config.Patch {
	return &config.Patch{
		Base: base,
		Operations: []config.Operation{
			{
				PutZone: &config.Zone{
					Name:   "tx-central-a",
					Region: "tx-central",
					State:  config.ZoneIn,
				},
			},
		},
	}
}

func TestStoreWatch(t *testing.T) {
	const versions = MaxPatches + 10
	s := testStore(t)
	for v := config.Version(1); v < versions; v++ {
		_, err := s.Apply(zonePatch(v))
		require.NoError(t, err)
	}
	for _, tc := range []struct {
		name         string
		after        config.Version
		patches      int
		wantDocument bool
	}{
		{
			name:    "latest patch",
			after:   versions - 1,
			patches: 1,
		},
		{
			name:    "oldest retained patch",
			after:   versions - MaxPatches,
			patches: MaxPatches,
		},
		{
			name:         "older than the retained patches",
			after:        versions - MaxPatches - 1,
			wantDocument: true,
		},
		{
			name:         "no version known",
			after:        0,
			wantDocument: true,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, err := s.Watch(context.Background(), tc.after, time.Minute)
			require.NoError(t, err)
			require.NotNil(t, p)
			require.EqualValues(t, versions, p.Version)
			require.Equal(t, tc.wantDocument, p.Document != nil)
			require.Len(t, p.Patches, tc.patches)
			if tc.patches > 0 {
				require.Equal(t, tc.after, p.Patches[0].Base)
			}
		})
	}
}

func TestStoreWatchWaits(t *testing.T) {
	s := testStore(t)
	got := make(chan *config.Publication, 1)
	go func() {
		p, _ := s.Watch(context.Background(), 1, time.Minute)
		got <- p
	}()
	_, err := s.Apply(zonePatch(1))
	require.NoError(t, err)
	require.EqualValues(t, 2, (<-got).Version)
}

func TestStoreStale(t *testing.T) {
	s := testStore(t)
	s.SetFaults(Faults{
		Stale: true,
	})
	_, err := s.Apply(zonePatch(1))
	require.NoError(t, err)
	require.EqualValues(t, 1, s.Publication().Version)
	p, err := s.Watch(context.Background(), 1, time.Millisecond)
	require.NoError(t, err)
	require.Nil(t, p)

	s.SetFaults(Faults{})
	require.EqualValues(t, 2, s.Publication().Version)
}

func TestStoreDownEndsWatches(t *testing.T) {
	s := testStore(t)
	failed := make(chan error, 1)
	go func() {
		_, err := s.Watch(context.Background(), 1, time.Minute)
		failed <- err
	}()
	s.SetFaults(Faults{
		Down: true,
	})
	require.ErrorIs(t, <-failed, ErrDown)
}
