package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const valid = `name = "lb-1"
zone = "a"
unknown = 7
[packets]
listen = "10.1.0.10:8172"
[readiness]
listen = "10.1.0.10:8167"
[peers]
listen = "10.1.0.10:7720"
seeds = ["10.1.0.10:8166", "10.2.0.40:8166"]
[store]
address = "10.200.1.7:8169"
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(valid))
	require.NoError(t, err)
	require.Equal(t, "lb-1", s.Name)
	require.Len(t, s.Peers.Seeds, 2)
	require.Equal(t, DefaultGrace, time.Duration(s.Leave.Grace))
	require.Equal(t, DefaultLogRate, s.Log.Rate)
	require.False(t, s.Metrics.Listen.IsValid())
}

// TestParseLoad checks that the decisions by shared load are on unless a file turns them off.
func TestParseLoad(t *testing.T) {
	type load struct {
		share, learn, spill, admit bool
	}
	for _, test := range []struct {
		name string
		text string
		want load
	}{
		{
			name: "defaults",
			want: load{
				share: true,
				learn: true,
				spill: true,
				admit: true,
			},
		},
		{
			name: "empty table",
			text: "[load]\n",
			want: load{
				share: true,
				learn: true,
				spill: true,
				admit: true,
			},
		},
		{
			name: "share off",
			text: "[load]\nshare = false\n",
			want: load{
				learn: true,
				spill: true,
				admit: true,
			},
		},
		{
			name: "learn off",
			text: "[load]\nlearn = false\n",
			want: load{
				share: true,
				spill: true,
				admit: true,
			},
		},
		{
			name: "spill off",
			text: "[load]\nspill = false\n",
			want: load{
				share: true,
				learn: true,
				admit: true,
			},
		},
		{
			name: "admit off",
			text: "[load]\nadmit = false\n",
			want: load{
				share: true,
				learn: true,
				spill: true,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, err := Parse([]byte(valid + test.text))
			require.NoError(t, err)
			require.Equal(t, test.want, load{
				share: s.Load.Share,
				learn: s.Load.Learn,
				spill: s.Load.Spill,
				admit: s.Load.Admit,
			})
		})
	}
}

func TestParseRefuses(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		want string
	}{
		{
			name: "empty",
			want: "name is missing",
		},
		{
			name: "not TOML",
			text: "name = ",
			want: "invalid settings",
		},
		{
			name: "an address without a port",
			text: `name = "lb-1"` + "\n" + `packets = { listen = "10.1.0.10" }`,
			want: "invalid settings",
		},
		{
			name: "a negative grace",
			text: valid + "[leave]\ngrace = \"-1s\"\n",
			want: "leave.grace",
		},
		{
			name: "an unknown log level",
			text: valid + "[log]\nlevel = \"loud\"\n",
			want: "loud",
		},
		{
			name: "no log lines",
			text: valid + "[log]\nrate = 0\n",
			want: "log.rate",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(test.text))
			require.ErrorIs(t, err, ErrSettings)
			require.ErrorContains(t, err, test.want)
		})
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	_, err := Load(path)
	require.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, os.WriteFile(path, []byte(valid), 0o600))
	_, err = Load(path)
	require.NoError(t, err)
}
