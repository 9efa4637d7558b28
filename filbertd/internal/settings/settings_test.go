package settings

import (
	"flag"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write golden files")

const fullText = `name = "lb-a"
zone = "tx-central-a"
[callers]
ip = "127.0.1.1"
[relay]
listen = "127.0.1.1:7400"
[control]
listen = "127.0.1.1:7401"
[admin]
listen = "127.0.1.1:7402"
[upstreams]
ip = "127.0.1.1"
[platform]
url = "http://127.0.0.1:7300"
timeout = "500ms"
[log]
level = "warning"
format = "json"
[limits]
flows = 1000
requests = 100
queue = 64
`

const minimalText = `name = "lb-a"
zone = "tx-central-a"
relay = { listen = "127.0.1.1:7400" }
control.listen = "127.0.1.1:7401"
admin.listen = "127.0.1.1:7402"
platform.url = "http://127.0.0.1:7300"
`

func TestLoad(t *testing.T) {
	tests := []struct {
		name string
		data string
		want *Settings
	}{
		{
			name: "whole",
			data: fullText,
			want: fullSettings(),
		},
		{
			name: "defaults",
			data: minimalText,
			want: minimalSettings(),
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Load(write(t, tt.data))
			require.NoError(t, err)
			require.Equal(t, tt.want, got)
			require.NoError(t, got.Check())
		})
	}
}

func TestLoadMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.toml"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

// Each TOML file in testdata/faults has a golden file with the error that it
// gives.
func TestLoadFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/faults/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			got, err := Load(file)
			require.Nil(t, got)
			var faults *Error
			require.ErrorAs(t, err, &faults)
			golden := file[:len(file)-len(".toml")] + ".golden"
			if *update {
				require.NoError(t, os.WriteFile(golden, []byte(err.Error()+"\n"), 0o600))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), faults.Error()+"\n")
		})
	}
}

func TestCheckNeedsNoFile(t *testing.T) {
	s := fullSettings()
	s.Limits.Queue = 100
	err := s.Check()
	require.EqualError(t, err, `limits.queue: found 100, want a power of two from 16 to 1048576`)
}

func write(t *testing.T, data string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "filbertd.toml")
	require.NoError(t, os.WriteFile(path, []byte(data), 0o600))
	return path
}

func minimalSettings() *Settings {
	s := fullSettings()
	s.Callers = Callers{}
	s.Upstreams = Upstreams{}
	s.Platform.Timeout = 2 * time.Second
	s.Log = Log{
		Level:  logrus.InfoLevel,
		Format: FormatText,
	}
	s.Limits = Limits{
		Flows:    500_000,
		Requests: 20_000,
		Queue:    4096,
	}
	return s
}

func fullSettings() *Settings {
	return &Settings{
		Name: "lb-a",
		Zone: "tx-central-a",
		Callers: Callers{
			IP: netip.MustParseAddr("127.0.1.1"),
		},
		Relay: Relay{
			Listen: netip.MustParseAddrPort("127.0.1.1:7400"),
		},
		Control: Control{
			Listen: netip.MustParseAddrPort("127.0.1.1:7401"),
		},
		Admin: Admin{
			Listen: netip.MustParseAddrPort("127.0.1.1:7402"),
		},
		Upstreams: Upstreams{
			IP: netip.MustParseAddr("127.0.1.1"),
		},
		Platform: Platform{
			URL: &url.URL{
				Scheme: "http",
				Host:   "127.0.0.1:7300",
			},
			Timeout: 500 * time.Millisecond,
		},
		Log: Log{
			Level:  logrus.WarnLevel,
			Format: FormatJSON,
		},
		Limits: Limits{
			Flows:    1000,
			Requests: 100,
			Queue:    64,
		},
	}
}
