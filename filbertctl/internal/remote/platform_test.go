package remote

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
)

func TestPlatformSubmit(t *testing.T) {
	tests := []struct {
		name string
		code int
		body string
		// want is found in the chain of the error.
		want error
		text string
	}{
		{name: "accepted", code: 200, body: `{"version":8}`},
		{name: "another version made", code: 200, body: `{"version":9}`, want: config.ErrContent},
		{name: "garbage", code: 200, body: `<html>`, text: "answer to the patch"},
		{name: "conflict", code: 409, body: `{"version":9}`, want: config.ErrBaseMismatch, text: "patch base 7, version 9"},
		{name: "conflict without version", code: 409, body: `x`, want: config.ErrBaseMismatch, text: "version unknown"},
		{name: "faults", code: 422, body: `{"faults":[{"path":"keys","found":"\"0\"","allowed":"1 to 4 keys"}]}`, text: `keys: "0" is not allowed, want 1 to 4 keys`},
		{name: "words", code: 422, body: `{"error":"operations[0]: no zone"}`, want: ErrRejected, text: "operations[0]: no zone"},
		{name: "500", code: 500, body: `down`, text: "status 500: down"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost || r.URL.Path != config.PathPatch {
					w.WriteHeader(http.StatusTeapot)
					return
				}
				w.WriteHeader(tt.code)
				_, _ = fmt.Fprint(w, tt.body)
			}))
			t.Cleanup(server.Close)
			base, err := url.Parse(server.URL)
			require.NoError(t, err)
			p := NewPlatform(server.Client(), base)
			version, err := p.Submit(t.Context(), &config.Patch{Base: 7})
			if tt.want == nil && tt.text == "" {
				require.NoError(t, err)
				require.Equal(t, config.Version(8), version)
				return
			}
			require.Error(t, err)
			if tt.want != nil {
				require.ErrorIs(t, err, tt.want)
			}
			require.Contains(t, err.Error(), tt.text)
		})
	}
}
