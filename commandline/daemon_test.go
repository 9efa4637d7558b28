package commandline

import (
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

func TestDaemonMain(t *testing.T) {
	for _, test := range []struct {
		name      string
		arguments []string
		code      int
		stdout    string
		stderr    string
		served    string
	}{
		{
			name:      "serves with its settings",
			arguments: []string{"--settings", "good.toml"},
			served:    "good.toml",
		},
		{
			name:      "check only",
			arguments: []string{"--settings", "good.toml", "--check"},
			stdout:    "good.toml: settings are valid\n",
		},
		{
			name:      "invalid settings",
			arguments: []string{"--settings", "bad.toml"},
			code:      ExitSettings,
			stderr:    "some: bad settings\n",
		},
		{
			name:      "Serve fails",
			arguments: []string{"--settings", "broken.toml"},
			code:      ExitFailure,
			stderr:    "some: can't listen\n",
			served:    "broken.toml",
		},
		{
			name:   "no settings",
			code:   ExitUsage,
			stderr: "some: usage: some --settings FILE [--check]\n",
		},
		{
			name:      "unexpected argument",
			arguments: []string{"--settings", "good.toml", "more"},
			code:      ExitUsage,
			stderr:    "some: usage: some --settings FILE [--check]\n",
		},
		{
			name:      "unknown flag",
			arguments: []string{"--port"},
			code:      ExitUsage,
			stderr:    "some: unknown flag `port'\n",
		},
		{
			name:      "version",
			arguments: []string{"--version"},
			stdout:    "some 7\n",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			served := ""
			d := Daemon[string]{
				Name:    "some",
				Version: "7",
				Load: func(path string) (string, error) {
					if path == "bad.toml" {
						return "", eris.New("bad settings")
					}
					return "settings of " + path, nil
				},
				Serve: func(path, settings string) error {
					require.Equal(t, "settings of "+path, settings)
					served = path
					if path == "broken.toml" {
						return eris.New("can't listen")
					}
					return nil
				},
			}
			var stdout, stderr strings.Builder
			require.Equal(t, test.code, d.Main(test.arguments, &stdout, &stderr))
			require.Equal(t, test.stdout, stdout.String())
			require.Equal(t, test.stderr, stderr.String())
			require.Equal(t, test.served, served)
		})
	}
}

func TestParseHelp(t *testing.T) {
	var stdout strings.Builder
	_, code, ok := Parse("some", &daemonOptions{}, []string{"--help"}, &stdout, func(err error) { t.Error(err) })
	require.False(t, ok)
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout.String(), "--settings=FILE")
}
