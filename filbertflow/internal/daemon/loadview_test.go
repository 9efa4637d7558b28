package daemon

import (
	"context"
	"encoding/json"
	"fmt"
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
