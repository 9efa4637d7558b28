// Package cmd implements the command line of filbertflow.
package cmd

import (
	"io"

	"filbertworks.example/filbertworks/commandline"
	"filbertworks.example/filbertworks/filbertflow/internal/settings"
)

// version is set by the linker.
var version = "devel"

// Main runs filbertflow with args and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	d := commandline.Daemon[*settings.Settings]{
		Name:    "filbertflow",
		Version: version,
		Load:    settings.Load,
		Serve:   func(path string, s *settings.Settings) error { return serve(path, s, stdout) },
	}
	return d.Main(args, stdout, stderr)
}
