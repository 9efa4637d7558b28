package wire

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// wireHost returns the item of a host that has written its entry n times.
func wireHost(now time.Time, n int64, change ...func(*directory.Item)) directory.Item {
	i := directory.Item{
		Key: directory.Key{
			Kind: directory.KindUpstream,
			Name: "1f",
		},
		Revision: 7,
		Upstream: &directory.Upstream{
			ID:        "1f",
			Service:   "board",
			Address:   netip.MustParseAddrPort("10.0.0.1:80"),
			Zone:      "a",
			Release:   "1.2",
			Slots:     2,
			StartedAt: now.Add(-time.Hour).Truncate(time.Millisecond),
			Sequence:  n,
		},
	}
	for _, f := range change {
		f(&i)
	}
	return i
}

func wirePlan(version, revision uint64) directory.Item {
	return directory.Item{
		Key:      directory.Key{Kind: directory.KindPlan},
		Revision: revision,
		Plan: &directory.Plan{
			Version:     version,
			IdleTimeout: time.Minute,
			Routes: []directory.Route{{
				Name:        "web",
				Address:     netip.MustParseAddrPort("198.18.0.1:443"),
				LatencyGoal: 300 * time.Millisecond,
				Targets: []directory.Target{{
					Service: "board",
					Weight:  1,
				}},
			}},
		},
	}
}

// TestDeltaRoundTrip checks that eras, sequences and retained items are the same for the
// receiver of a delta, with times kept relative to the moment of sending and receiving.
func TestDeltaRoundTrip(t *testing.T) {
	sent := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	draining := func(i *directory.Item) { i.Upstream.Draining = true }
	left := func(i *directory.Item) {
		i.Deleted = true
		i.Upstream.DepartedAt = sent.Add(-3 * time.Second)
		i.Upstream.Lapsed = true
	}
	zone := directory.Item{
		Key: directory.Key{
			Kind: directory.KindZoneOut,
			Name: "b",
		},
		Revision: 4,
	}
	for _, test := range []struct {
		name  string
		delta directory.Delta
	}{
		{
			name: "no era",
			delta: directory.Delta{
				Base:     3,
				Revision: 7,
				Items:    []directory.Item{wireHost(sent, 1)},
			},
		},
		{
			name: "a late era, and an announcement's lack of items",
			delta: directory.Delta{
				Era:      1<<64 - 1,
				Base:     1<<64 - 1,
				Revision: 1<<64 - 1,
			},
		},
		{
			name: "sequences",
			delta: directory.Delta{
				Era:      2,
				Revision: 7,
				Items:    []directory.Item{wireHost(sent, 0), wireHost(sent, 1<<62, draining), wireHost(sent, -1), wireHost(sent, 5, left)},
			},
		},
		{
			name: "retained items without limit",
			delta: directory.Delta{
				Era:      2,
				Revision: 7,
				Items:    []directory.Item{wirePlan(5, 3)},
				Retained: []directory.Retained{{Item: wirePlan(9, 20)}},
			},
		},
		{
			name: "retained items with a limit, and no others",
			delta: directory.Delta{
				Era:      3,
				Revision: 7,
				Retained: []directory.Retained{
					{
						Item:  wireHost(sent, 4, draining),
						Until: sent.Add(directory.RetentionPeriod),
					},
					{
						Item:  wireHost(sent, 6, left),
						Until: sent.Add(time.Millisecond),
					},
					{
						Item:  zone,
						Until: sent.Add(2500 * time.Millisecond),
					},
					{Item: wirePlan(9, 20)},
				},
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			data, err := AppendDelta([]byte("x"), sent, &test.delta, 11)
			require.NoError(t, err)
			require.Equal(t, byte('x'), data[0])
			later := sent.Add(time.Hour)
			got, origin, err := ParseDelta(later, data[1:])
			require.NoError(t, err)
			require.Equal(t, uint64(11), origin)
			require.Equal(t, test.delta.Position(), got.Position())
			require.Equal(t, test.delta.Base, got.Base)
			require.Len(t, got.Items, len(test.delta.Items))
			for n := range got.Items {
				requireSameItem(t, later.Sub(sent), &test.delta.Items[n], &got.Items[n])
			}
			require.Len(t, got.Retained, len(test.delta.Retained))
			for n, r := range got.Retained {
				want := test.delta.Retained[n]
				requireSameItem(t, later.Sub(sent), &want.Item, &r.Item)
				requireShifted(t, later.Sub(sent), want.Until, r.Until)
			}
		})
	}
}

// requireSameItem checks that an item is the same, with its departure shifted by d.
func requireSameItem(t *testing.T, d time.Duration, want, got *directory.Item) {
	t.Helper()
	require.Equal(t, want.Upstream == nil, got.Upstream == nil)
	w, g := *want, *got
	if want.Upstream != nil {
		requireShifted(t, d, want.Upstream.DepartedAt, got.Upstream.DepartedAt)
		require.True(t, want.Upstream.StartedAt.Equal(got.Upstream.StartedAt))
		a, b := *want.Upstream, *got.Upstream
		a.DepartedAt, a.StartedAt = time.Time{}, time.Time{}
		b.DepartedAt, b.StartedAt = time.Time{}, time.Time{}
		require.Equal(t, a, b)
		w.Upstream, g.Upstream = nil, nil
	}
	if want.Plan != nil {
		require.NotNil(t, got.Plan)
		require.Equal(t, want.Plan.Version, got.Plan.Version)
		require.Equal(t, want.Plan.Routes, got.Plan.Routes)
		w.Plan, g.Plan = nil, nil
	}
	require.Equal(t, w, g)
}

// requireShifted checks that a time is shifted by d, or still zero.
func requireShifted(t *testing.T, d time.Duration, want, got time.Time) {
	t.Helper()
	if want.IsZero() {
		require.True(t, got.IsZero())
		return
	}
	require.True(t, want.Add(d).Equal(got), "%v after %v", got, want)
}

// TestExpiredRetainedItems checks that a retained item whose time is over does not turn into
// one without limit, which an encoded zero stands for.
func TestExpiredRetainedItems(t *testing.T) {
	now := time.Now()
	for _, ago := range []time.Duration{0, time.Microsecond, time.Second} {
		delta, err := NewDelta(now, &directory.Delta{
			Era: 2,
			Retained: []directory.Retained{{
				Item:  wireHost(now, 4),
				Until: now.Add(-ago),
			}},
		}).Decode(now)
		require.NoError(t, err)
		require.Equal(t, now.Add(time.Millisecond), delta.Retained[0].Until)
	}
}

// TestMalformedRetainedItems checks that a retained item that can't be read makes the delta
// malformed.
func TestMalformedRetainedItems(t *testing.T) {
	for _, test := range []struct {
		name     string
		retained *Retained
	}{
		{
			name:     "a host without an address",
			retained: &Retained{Item: &Item{Upstream: &Upstream{}}},
		},
		{
			name:     "a route without targets",
			retained: &Retained{Item: &Item{Plan: &Plan{Routes: []*Route{{Address: addressBytes(netip.MustParseAddrPort("10.0.0.1:80"))}}}}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := (&Delta{Retained: []*Retained{test.retained}}).Decode(time.Now())
			require.ErrorIs(t, err, ErrDelta)
		})
	}
}
