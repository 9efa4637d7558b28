package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
)

const snapshotBody = `{"version":7,"document":{"keys":[],"zones":[],"services":[]}}`

func TestClientSnapshot(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/v1/config", r.URL.Path)
		_, _ = fmt.Fprint(w, snapshotBody)
	})
	p, err := c.Snapshot(t.Context())
	require.NoError(t, err)
	require.Equal(t, config.Version(7), p.Version)
	require.NotNil(t, p.Document)
}

func TestClientVMs(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/v1/vms", r.URL.Path)
		_, _ = fmt.Fprint(w, `{"vms":[{"name":"lb-a","zone":"merano","relay":"127.0.1.1:7400",`+
			`"control":"127.0.1.1:7401","admin":"127.0.1.1:7402","state":"leaving"}]}`)
	})
	vms, err := c.VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, []config.VM{
		{
			Name:    "lb-a",
			Zone:    "merano",
			Relay:   netip.MustParseAddrPort("127.0.1.1:7400"),
			Control: netip.MustParseAddrPort("127.0.1.1:7401"),
			Admin:   netip.MustParseAddrPort("127.0.1.1:7402"),
			State:   config.VMLeaving,
		},
	}, vms)
}

func TestClientWatch(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   *config.Publication
	}{
		{
			name:   "patch",
			status: http.StatusOK,
			body:   `{"version":9,"patches":[{"base":7,"operations":[]},{"base":8,"operations":[]}]}`,
			want: &config.Publication{
				Version: 9,
				Patches: []config.Patch{
					{
						Base:       7,
						Operations: []config.Operation{},
					},
					{
						Base:       8,
						Operations: []config.Operation{},
					},
				},
			},
		},
		{
			name:   "nothing newer",
			status: http.StatusNoContent,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := serve(t, func(w http.ResponseWriter, r *http.Request) {
				require.Equal(t, "/v1/config/watch", r.URL.Path)
				require.Equal(t, "7", r.URL.Query().Get("after"))
				require.Equal(t, "30s", r.URL.Query().Get("wait"))
				w.WriteHeader(tt.status)
				_, _ = fmt.Fprint(w, tt.body)
			})
			got, err := c.Watch(t.Context(), 7, 30*time.Second)
			require.NoError(t, err)
			require.Equal(t, tt.want, got)
		})
	}
}

// The deadline of a watch includes the time that the watch waits, so it may be
// later than the timeout of other calls.
func TestClientWatchWaits(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
		require.NoError(t, err)
		require.Equal(t, time.Minute, wait)
		w.WriteHeader(http.StatusNoContent)
	}, WithTimeout(time.Minute), WithHTTPClient(&http.Client{
		Transport: transportFunc(func(r *http.Request) (*http.Response, error) {
			deadline, ok := r.Context().Deadline()
			require.True(t, ok)
			require.Greater(t, time.Until(deadline), time.Minute)
			return http.DefaultTransport.RoundTrip(r)
		}),
	}))
	got, err := c.Watch(t.Context(), 0, time.Minute)
	require.NoError(t, err)
	require.Nil(t, got)
}

func TestClientFaults(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	body := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, text) }
	}
	var (
		wrapsStatus  = func(err error) bool { var e *StatusError; return errors.As(err, &e) }
		wrapsContent = func(err error) bool { return errors.Is(err, config.ErrInvalidValue) }
		wrapsLarge   = func(err error) bool { return errors.Is(err, config.ErrTooLarge) }
		wrapsTimeout = func(err error) bool { return errors.Is(err, context.DeadlineExceeded) }
		anyError     = func(err error) bool { return err != nil }
	)
	calls := map[string]func(*Client) error{
		"snapshot": func(c *Client) error {
			_, err := c.Snapshot(t.Context())
			return err
		},
		"vms": func(c *Client) error {
			_, err := c.VMs(t.Context())
			return err
		},
		"watch": func(c *Client) error {
			_, err := c.Watch(t.Context(), 7, 0)
			return err
		},
	}
	all := []string{"snapshot", "vms", "watch"}
	tests := []struct {
		name    string
		calls   []string
		handler http.HandlerFunc
		timeout time.Duration
		want    func(error) bool
	}{
		{name: "500", calls: all, handler: status(http.StatusInternalServerError), want: wrapsStatus},
		{name: "404", calls: all, handler: status(http.StatusNotFound), want: wrapsStatus},
		{name: "redirect", calls: all, handler: http.RedirectHandler("/v1/config", http.StatusFound).ServeHTTP, want: wrapsStatus},
		{name: "204", calls: []string{"snapshot", "vms"}, handler: status(http.StatusNoContent), want: wrapsStatus},
		{name: "garbage", calls: all, handler: body("<html>"), want: anyError},
		{name: "empty", calls: all, handler: body(""), want: anyError},
		{name: "null", calls: []string{"snapshot", "watch"}, handler: body("null"), want: wrapsContent},
		{name: "trailing data", calls: all, handler: body(snapshotBody + "x"), want: anyError},
		{name: "unknown field", calls: all, handler: body(`{"version":9,"vms":[],"colour":1}`), want: anyError},
		{name: "truncated", calls: all, handler: truncated, want: anyError},
		{name: "oversized", calls: all, handler: body(`{"vms":[` + strings.Repeat(" ", config.MaxValueSize) + `]}`), want: wrapsLarge},
		{name: "slow", calls: all, handler: slow, timeout: time.Millisecond, want: wrapsTimeout},
		{name: "no version", calls: []string{"snapshot", "watch"}, handler: body(`{"document":{}}`), want: wrapsContent},
		{name: "version alone", calls: []string{"snapshot", "watch"}, handler: body(`{"version":9}`), want: wrapsContent},
		{name: "patches only", calls: []string{"snapshot"}, handler: body(`{"version":1,"patches":[{"base":0}]}`), want: wrapsContent},
		{name: "not newer", calls: []string{"watch"}, handler: body(snapshotBody), want: wrapsContent},
		{name: "gap in patches", calls: []string{"watch"}, handler: body(`{"version":9,"patches":[{"base":7},{"base":9}]}`), want: wrapsContent},
		{name: "more patches than versions", calls: []string{"watch"}, handler: body(`{"version":1,"patches":[{"base":0},{"base":1}]}`), want: wrapsContent},
		{name: "vm without name", calls: []string{"vms"}, handler: body(`{"vms":[{"relay":"127.0.0.1:1"}]}`), want: wrapsContent},
		{name: "vm without relay", calls: []string{"vms"}, handler: body(`{"vms":[{"name":"lb-a"}]}`), want: wrapsContent},
		{name: "vm twice", calls: []string{"vms"}, handler: body(`{"vms":[{"name":"a","relay":"127.0.0.1:1"},{"name":"a","relay":"127.0.0.1:2"}]}`), want: wrapsContent},
		{name: "relay twice", calls: []string{"vms"}, handler: body(`{"vms":[{"name":"a","relay":"127.0.0.1:1"},{"name":"b","relay":"127.0.0.1:1"}]}`), want: wrapsContent},
	}
	for _, tt := range tests {
		for _, call := range tt.calls {
			t.Run(tt.name+"/"+call, func(t *testing.T) {
				timeout := time.Minute
				if tt.timeout > 0 {
					timeout = tt.timeout
				}
				err := calls[call](serve(t, tt.handler, WithTimeout(timeout)))
				require.Error(t, err)
				require.True(t, tt.want(err), "%v", err)
			})
		}
	}
}

func TestClientPlatformDown(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	base, err := url.Parse(server.URL)
	require.NoError(t, err)
	server.Close()
	_, err = New(base).Snapshot(t.Context())
	require.Error(t, err)
}

// A transportFunc is a function that implements http.RoundTripper.
type transportFunc func(*http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) {
	return f(r)
}

func serve(t *testing.T, handler http.HandlerFunc, options ...Option) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	base, err := url.Parse(server.URL)
	require.NoError(t, err)
	return New(base, options...)
}

// slow returns only when the client has given up.
func slow(_ http.ResponseWriter, r *http.Request) {
	<-r.Context().Done()
}

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "1000")
	_, _ = fmt.Fprint(w, snapshotBody)
}
