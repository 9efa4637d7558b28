package admin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/status"
)

// A fakeBalancer is a Balancer with the answers that a test sets.
type fakeBalancer struct {
	drains atomic.Int32
	ready  error
	query  status.Query
}

func (f *fakeBalancer) Drain() {
	f.drains.Add(1)
}

func (f *fakeBalancer) Explain(q status.Query) (status.Explanation, error) {
	f.query = q
	if q.Service != "rental-desk" {
		return status.Explanation{}, eris.Wrap(status.ErrQuery, "no such service")
	}
	return status.Explanation{
		Service:  q.Service,
		Decision: "forward",
		Why:      []string{"own zone"},
	}, nil
}

func (f *fakeBalancer) Ready() error {
	return f.ready
}

func (f *fakeBalancer) Status() status.Status {
	return status.Status{
		Name:    "lb-a",
		Version: config.Version(7),
	}
}

func TestServer(t *testing.T) {
	const explainPath = "/v1/explain?service=rental-desk&caller=127.0.0.1:9"
	tests := []struct {
		name   string
		method string
		path   string
		ready  error
		code   int
		body   string
	}{
		{name: "health", method: "GET", path: "/healthz", ready: eris.New("no configuration"), code: 200, body: `{"state":"up"}`},
		{name: "ready", method: "GET", path: "/ready", code: 200, body: `{"state":"ready"}`},
		{name: "not ready", method: "GET", path: "/ready", ready: eris.New("no configuration"), code: 503, body: `{"error":"no configuration: not ready"}`},
		{name: "metrics", method: "GET", path: "/metrics", code: 200, body: "flows 3"},
		{name: "status", method: "GET", path: "/v1/status", code: 200, body: `"name":"lb-a"`},
		{name: "explain", method: "GET", path: explainPath + "&token=0a0b&ticket=-_8", code: 200, body: `"why":["own zone"]`},
		{name: "explain no service", method: "GET", path: "/v1/explain?caller=127.0.0.1:9", code: 400, body: `"error":"service: `},
		{name: "explain unknown service", method: "GET", path: "/v1/explain?service=x&caller=127.0.0.1:9", code: 400, body: "no such service"},
		{name: "explain caller", method: "GET", path: "/v1/explain?service=rental-desk&caller=here", code: 400, body: `"error":"caller: `},
		{name: "explain token", method: "GET", path: explainPath + "&token=0102030405060708ff", code: 400, body: `"error":"token: `},
		{name: "explain ticket", method: "GET", path: explainPath + "&ticket=%2B", code: 400, body: `"error":"ticket: `},
		{name: "drain", method: "POST", path: "/v1/drain", code: 202, body: `{"state":"leaving"}`},
		{name: "drain by GET", method: "GET", path: "/v1/drain", code: 405},
		{name: "unknown path", method: "GET", path: "/v1/none", code: 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			balancer := &fakeBalancer{ready: tt.ready}
			w := httptest.NewRecorder()
			New(balancer, metrics()).Handler().ServeHTTP(w, httptest.NewRequest(tt.method, tt.path, http.NoBody))
			require.Equal(t, tt.code, w.Code)
			require.Contains(t, w.Body.String(), tt.body)
			if tt.code == http.StatusAccepted {
				require.EqualValues(t, 1, balancer.drains.Load())
			} else {
				require.Zero(t, balancer.drains.Load())
			}
		})
	}
}

func TestServerPassesQuery(t *testing.T) {
	balancer := &fakeBalancer{}
	want := status.Query{
		Service: "rental-desk",
		Caller:  netip.MustParseAddrPort("[::1]:9"),
		Token:   []byte{1, 2},
		Ticket:  []byte{0xfb, 0xff},
	}
	r := httptest.NewRequest(http.MethodGet, status.PathExplain+"?"+want.Values().Encode(), http.NoBody)
	New(balancer, metrics()).Handler().ServeHTTP(httptest.NewRecorder(), r)
	require.Equal(t, want, balancer.query)
}

func TestServerServesUntilShutdown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(&fakeBalancer{}, metrics())
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	r, err := http.Get("http://" + l.Addr().String() + status.PathHealth)
	require.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.NoError(t, r.Body.Close())
	require.Equal(t, `{"state":"up"}`, strings.TrimSpace(string(body)))
	require.NoError(t, s.Shutdown(t.Context()))
	require.NoError(t, <-served)
}

func metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "flows 3")
	})
}
