package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/load"
	"filbertworks.example/filbertworks/status"
)

// rooms returns the rooms of a number of services in the own and another zone. The other zone's
// load is unknown for the last service.
func rooms(services int) []flow.ZoneRoom {
	var all []flow.ZoneRoom
	for i := range services {
		name := fmt.Sprintf("service-%03d", i)
		all = append(all, flow.ZoneRoom{
			Service:  name,
			Zone:     "a",
			Working:  70.126,
			Capacity: 80,
			Free:     12,
			Known:    true,
			Share:    0.75,
			Age:      200 * time.Millisecond,
		}, flow.ZoneRoom{
			Service:  name,
			Zone:     "b",
			Working:  30,
			Capacity: 100,
			Free:     50,
			Known:    i < services-1,
			Share:    0.25,
			Age:      400 * time.Millisecond,
		})
	}
	return all
}

// upstreamLoads returns a number of slow upstreams, the first of which is the slowest, and one
// whose capacity is usual.
func upstreamLoads(slow int) []flow.UpstreamLoad {
	var all []flow.UpstreamLoad
	for i := range slow + 1 {
		u := flow.UpstreamLoad{
			Upstream: &directory.Upstream{
				ID:      fmt.Sprintf("i-%03d", i),
				Service: "board",
				Slots:   8,
			},
			Working: 3,
			Known:   true,
			Age:     100 * time.Millisecond,
		}
		if i < slow {
			u.Capacity, u.Answers = 2+4*float64(i)/float64(slow), 40
		}
		all = append(all, u)
	}
	return all
}

// reversed returns loads in reverse order.
func reversed(loads []flow.UpstreamLoad) []flow.UpstreamLoad {
	slices.Reverse(loads)
	return loads
}

func TestLoadStatus(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name string
		view *loadView
		want status.Load
	}{
		{
			name: "before the first report",
			want: status.Load{
				Balancer:  "lb-1",
				Zone:      "a",
				Shared:    true,
				Services:  []status.ServiceLoad{},
				Upstreams: []status.UpstreamLoad{},
			},
		},
		{
			name: "zones and upstreams",
			view: &loadView{
				at:          now.Add(-300 * time.Millisecond),
				known:       true,
				rooms:       rooms(1),
				upstreams:   reversed(upstreamLoads(1)),
				upstreamsAt: now.Add(-time.Second),
			},
			want: status.Load{
				Balancer: "lb-1",
				Zone:     "a",
				Shared:   true,
				Known:    true,
				Age:      config.Duration(300 * time.Millisecond),
				Services: []status.ServiceLoad{
					{
						Service:  "service-000",
						Zone:     "a",
						Known:    true,
						Working:  70.13,
						Capacity: 80,
						Free:     12,
						Share:    0.75,
						Age:      config.Duration(500 * time.Millisecond),
					},
					{
						Service:  "service-000",
						Zone:     "b",
						Working:  30,
						Capacity: 100,
						Free:     50,
						Share:    0.25,
					},
				},
				Upstreams: []status.UpstreamLoad{
					{
						Name:     "i-000",
						Service:  "board",
						Known:    true,
						Slots:    8,
						Capacity: 2,
						Answers:  40,
						Working:  3,
						Age:      config.Duration(1100 * time.Millisecond),
					},
					{
						Name:     "i-001",
						Service:  "board",
						Known:    true,
						Slots:    8,
						Capacity: 8,
						Working:  3,
						Age:      config.Duration(1100 * time.Millisecond),
					},
				},
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon(t)
			d.options.Load.Share = true
			d.load.Store(tt.view)
			require.Equal(t, &tt.want, d.loadStatus(now))
		})
	}
}

func TestLoadIsServedAsJSON(t *testing.T) {
	d := newDaemon(t)
	d.load.Store(&loadView{
		at:        time.Now(),
		known:     true,
		rooms:     rooms(2),
		upstreams: upstreamLoads(3),
	})
	w := httptest.NewRecorder()
	d.serveLoad(w, httptest.NewRequest(http.MethodGet, status.PathLoad, nil))
	require.Equal(t, "application/json", w.Header().Get("Content-Type"))
	var s status.Load
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &s))
	require.Len(t, s.Services, 4)
	require.Len(t, s.Upstreams, 4)
}

// scrape returns the lines of the daemon's metrics.
func scrape(t *testing.T, d *Daemon) []string {
	t.Helper()
	h, err := d.newMetrics()
	require.NoError(t, err)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, w.Code)
	body, err := io.ReadAll(w.Body)
	require.NoError(t, err)
	return strings.Split(string(body), "\n")
}

// matching returns the lines that begin with a text and contain another.
func matching(lines []string, prefix, part string) []string {
	var found []string
	for _, l := range lines {
		if strings.HasPrefix(l, prefix) && strings.Contains(l, part) {
			found = append(found, l)
		}
	}
	return found
}

// TestLoadMetricsAreBounded guards against a series for each service or upstream of a large
// deployment, and against leaving some out silently.
func TestLoadMetricsAreBounded(t *testing.T) {
	tests := []struct {
		name                string
		services, upstreams int
		rooms, capacities   int
		omittedRooms        string
		omittedUpstreams    string
	}{
		{
			name:             "few",
			services:         2,
			upstreams:        3,
			rooms:            3,
			capacities:       3,
			omittedRooms:     " 0",
			omittedUpstreams: " 0",
		},
		{
			name:             "many",
			services:         50,
			upstreams:        100,
			rooms:            maxLoadSeries,
			capacities:       maxLoadSeries,
			omittedRooms:     " 35",
			omittedUpstreams: " 36",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon(t)
			d.load.Store(&loadView{
				rooms:     rooms(tt.services),
				upstreams: upstreamLoads(tt.upstreams),
			})
			lines := scrape(t, d)
			for _, name := range []string{"filbertflow_load_working{", "filbertflow_load_capacity{", "filbertflow_load_share{"} {
				require.Len(t, matching(lines, name, ""), tt.rooms, name)
			}
			require.Len(t, matching(lines, "filbertflow_upstream_capacity{", ""), tt.capacities)
			slowest := matching(lines, "filbertflow_upstream_capacity{", `upstream="i-000"`)
			require.Len(t, slowest, 1)
			require.True(t, strings.HasSuffix(slowest[0], " 2"))
			for kind, want := range map[string]string{
				"zone":     tt.omittedRooms,
				"upstream": tt.omittedUpstreams,
			} {
				omitted := matching(lines, "filbertflow_load_series_omitted{", `kind="`+kind+`"`)
				require.Len(t, omitted, 1)
				require.True(t, strings.HasSuffix(omitted[0], want), omitted[0])
			}
		})
	}
}

// TestLoadCountersAreServed checks that the exchange of loads and the wait for admission are told
// before any load is known.
func TestLoadCountersAreServed(t *testing.T) {
	d := newDaemon(t)
	d.counters.loadReports.Store(3)
	d.counters.loadDigests.Store(4)
	d.counters.loadBytes.Store(500)
	d.counters.capacityChanges.Store(6)
	d.counters.waiting.Store(7)
	d.counters.recordDecision(&flow.Decision{
		Action: flow.Reject,
		Reason: flow.ReasonNoRoom,
		Waited: 120 * time.Millisecond,
	}, time.Microsecond, 1)
	lines := scrape(t, d)
	for name, want := range map[string]string{
		"filbertflow_load_reports_total{":            " 3",
		"filbertflow_load_digests_total{":            " 4",
		"filbertflow_load_sent_bytes_total{":         " 500",
		"filbertflow_load_capacity_changes_total{":   " 6",
		"filbertflow_admission_waiting{":             " 7",
		"filbertflow_admission_wait_seconds_count{":  " 1",
		"filbertflow_admission_wait_seconds_sum{":    " 0.12",
		"filbertflow_packet_duration_seconds_count{": " 1",
	} {
		found := matching(lines, name, "")
		require.Len(t, found, 1, name)
		require.True(t, strings.HasSuffix(found[0], want), found[0])
	}
	require.Len(t, matching(lines, "filbertflow_admission_wait_seconds_bucket{", `le="0.128"`), 1)
	require.Len(t, matching(lines, "filbertflow_decisions_total{", `reason="no room"`), 1)
}

// TestGivingIsLogged checks that the log tells once when a zone begins to get new flows, and
// once when it gets none any more, with what that rests on.
func TestGivingIsLogged(t *testing.T) {
	d := newDaemon(t)
	var out strings.Builder
	d.log = logs.New(&out, "lb-1", logrus.InfoLevel, 100)
	h := &packetHandler{daemon: d}
	now := time.Now()
	idle := rooms(1)
	idle[0].Share, idle[1].Share = 1, 0
	for _, r := range [][]flow.ZoneRoom{idle, rooms(1), rooms(1), idle, idle} {
		h.logGiving(now, &loadView{
			known: true,
			rooms: r,
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.log.Run(ctx)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	for i, parts := range [][]string{
		{`"zone: gives new flows to another zone"`, `"zone":"a"`, `"to_zone":"b"`, `"share":0.25`, `"free":50`, `"own_working":70.13`, `"own_capacity":80`, `"load_age_ms":400`, `"own_load_age_ms":200`},
		{`"zone: gives no new flows any more"`, `"service":"service-000"`, `"zone":"a"`, `"to_zone":"b"`, `"known":true`, `"own_working":70.13`},
	} {
		for _, p := range parts {
			require.Contains(t, lines[i], p)
		}
	}
}

// TestCapacityChangesAreLogged checks that an upstream that turns slow and one that recovers are
// told of once each, also by a balancer that collects several groups. Recoveries were left out, and
// the digest of one group made those of the others look like changes.
func TestCapacityChangesAreLogged(t *testing.T) {
	d := newDaemon(t)
	var out strings.Builder
	d.log = logs.New(&out, "lb-1", logrus.InfoLevel, 100)
	now := time.Now()
	_, err := d.syncer.dir.Apply(now, &directory.Delta{
		Revision: 2,
		Items: []directory.Item{
			{
				Key: directory.Key{
					Kind: directory.KindUpstream,
					Name: "i-0a",
				},
				Revision: 1,
				Upstream: &directory.Upstream{
					ID:      "i-0a",
					Service: "board",
					Zone:    "a",
					Slots:   8,
				},
			},
			{
				Key: directory.Key{
					Kind: directory.KindUpstream,
					Name: "i-0b",
				},
				Revision: 2,
				Upstream: &directory.Upstream{
					ID:      "i-0b",
					Service: "board",
					Zone:    "a",
					Slots:   8,
				},
			},
		},
	})
	require.NoError(t, err)
	hosts := d.syncer.dir.View(now, func(*directory.Upstream) bool { return false }).InZone("a")
	require.Len(t, hosts, 2)
	e := newLoadExchange(d.syncer)
	groups := []*groupCollector{{}, {}}
	// Each step is the capacity of the upstreams in their digests; zero is usual.
	for _, capacities := range [][]float64{{0, 0}, {2, 2}, {2.2, 2}, {1.9, 2}, {0, 2}, {7, 2}} {
		for i, c := range capacities {
			digest := &load.Digest{Balancers: 3}
			if c > 0 {
				digest.Totals = []load.Total{{
					Ticket:   hosts[i].Ticket(),
					Capacity: c,
					Answers:  40,
				}}
			}
			e.logCapacities(now, groups[i], hosts[i:i+1], digest)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.log.Run(ctx)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 3)
	require.EqualValues(t, 3, d.counters.capacityChanges.Load())
	for i, parts := range [][]string{
		{`"before":8`, `"capacity":2`, `"answers":40`, `"balancers":3`, `"upstream":"` + hosts[0].ID + `"`},
		{`"before":8`, `"capacity":2`, `"upstream":"` + hosts[1].ID + `"`},
		{`"before":2`, `"capacity":8`, `"upstream":"` + hosts[0].ID + `"`},
	} {
		for _, p := range parts {
			require.Contains(t, lines[i], p)
		}
	}
}

// TestRoomIsLogged checks that the line on a flow that waited, was rejected or went to another
// zone tells what that rests on.
func TestRoomIsLogged(t *testing.T) {
	tests := []struct {
		name     string
		decision flow.Decision
		want     map[string]any
		without  []string
	}{
		{
			name: "rejected after a wait",
			decision: flow.Decision{
				Action:  flow.Reject,
				Reason:  flow.ReasonNoRoom,
				Service: "board",
				Waited:  150 * time.Millisecond,
				Room: flow.Room{
					Known:    true,
					Priority: 2,
					Working:  310.456,
					Capacity: 160,
					Limit:    320,
					Share:    0.1,
					Age:      240 * time.Millisecond,
				},
			},
			want: map[string]any{
				"reason":       "no room",
				"service":      "board",
				"waited_ms":    int64(150),
				"priority":     2,
				"own_working":  310.46,
				"own_capacity": 160.0,
				"own_limit":    320.0,
				"share":        0.1,
				"load_age_ms":  int64(240),
			},
			without: []string{"candidates", "upstream"},
		},
		{
			name: "no upstream",
			decision: flow.Decision{
				Action:  flow.Reject,
				Reason:  flow.ReasonNoUpstream,
				Service: "board",
			},
			want: map[string]any{
				"reason":  "no upstream",
				"service": "board",
			},
			without: []string{"candidates", "share", "own_working", "priority"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &packetHandler{daemon: newDaemon(t)}
			got := make(map[string]any)
			for _, f := range h.fields(&directory.View{}, &tt.decision) {
				got[f.Name] = f.Value
			}
			for name, want := range tt.want {
				require.Equal(t, want, got[name], name)
			}
			for _, name := range tt.without {
				require.NotContains(t, got, name)
			}
		})
	}
}
