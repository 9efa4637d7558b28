package daemon

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/flow"
)

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
