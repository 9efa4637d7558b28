package publish

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
)

func TestHandler(t *testing.T) {
	s := testStore(t)
	h := NewHandler(s)
	const zoneA = `{"put_zone":{"name":"a","region":"r","state":"in"}}`
	// Each step depends on those before it.
	for _, tc := range []struct {
		name   string
		method string
		path   string
		body   string
		status int
		want   string
	}{
		{
			name:   "complete document",
			path:   config.PathSnapshot,
			status: http.StatusOK,
			want:   `{"version":1,"document":{`,
		},
		{
			name:   "no newer version",
			path:   config.PathWatch + "?after=1&wait=1ms",
			status: http.StatusNoContent,
		},
		{
			name:   "bad wait",
			path:   config.PathWatch + "?after=1&wait=soon",
			status: http.StatusBadRequest,
			want:   `{"error":`,
		},
		{
			name:   "patch",
			method: http.MethodPost,
			path:   config.PathPatch,
			body:   `{"base":1,"operations":[` + zoneA + `]}`,
			status: http.StatusOK,
			want:   `{"version":2}`,
		},
		{
			name:   "patch with an old base",
			method: http.MethodPost,
			path:   config.PathPatch,
			body:   `{"base":1,"operations":[` + zoneA + `]}`,
			status: http.StatusConflict,
			want:   `{"version":2}`,
		},
		{
			name:   "patch with invalid values",
			method: http.MethodPost,
			path:   config.PathPatch,
			body:   `{"base":2,"operations":[{"put_zone":{"name":"b","region":"r","state":"half"}}]}`,
			status: http.StatusUnprocessableEntity,
			want:   `{"faults":[{"path":"zones[1].state"`,
		},
		{
			name:   "patch that can't be applied",
			method: http.MethodPost,
			path:   config.PathPatch,
			body:   `{"base":2,"operations":[{"remove_zone":{"name":"b"}}]}`,
			status: http.StatusUnprocessableEntity,
			want:   `{"error":"operations[0]: no zone`,
		},
		{
			name:   "refused patches change nothing",
			path:   config.PathWatch + "?after=1",
			status: http.StatusOK,
			want:   `{"version":2,"patches":[{"base":1`,
		},
		{
			name:   "set down",
			method: http.MethodPost,
			path:   PathFaults,
			body:   `{"down":true,"delay":"1ms"}`,
			status: http.StatusOK,
			want:   `{"down":true,"stale":false,"delay":"1ms"}`,
		},
		{
			name:   "down",
			path:   config.PathVMs,
			status: http.StatusServiceUnavailable,
		},
		{
			name:   "calls",
			path:   PathCalls,
			status: http.StatusOK,
			want:   `{"/v1/config":1,"/v1/config/patch":4,"/v1/config/watch":3,"/v1/vms":1}`,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body))
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			require.Equal(t, tc.status, w.Code, w.Body.String())
			require.True(t, strings.HasPrefix(w.Body.String(), tc.want), w.Body.String())
		})
	}
}
