package commandline

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// A Daemon is a program that runs until it is told to stop, with settings of type S
// from a file.
type Daemon[S any] struct {
	// Name is the program's name in messages.
	Name string
	// Version is what --version prints.
	Version string
	// Load reads and checks the settings in a file.
	Load func(path string) (S, error)
	// Serve runs the program until it is told to stop.
	Serve func(path string, settings S) error
}

// daemonOptions are the command line flags of a daemon.
type daemonOptions struct {
	Settings string `long:"settings" value-name:"FILE" description:"TOML file with this balancer's settings"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Main runs the daemon with the command line arguments, without the program's
// name, and returns its exit code.
func (d *Daemon[S]) Main(arguments []string, stdout, stderr io.Writer) int {
	fail := func(err error) { _, _ = fmt.Fprintf(stderr, "%s: %v\n", d.Name, err) }
	var o daemonOptions
	rest, code, ok := Parse(d.Name, &o, arguments, stdout, fail)
	switch {
	case !ok:
		return code
	case o.Version:
		_, _ = fmt.Fprintf(stdout, "%s %s\n", d.Name, d.Version)
		return ExitOK
	case len(rest) > 0 || o.Settings == "":
		fail(eris.Errorf("usage: %s --settings FILE [--check]", d.Name))
		return ExitUsage
	}
	settings, err := d.Load(o.Settings)
	switch {
	case err != nil:
		fail(err)
		return ExitSettings
	case o.Check:
		_, _ = fmt.Fprintf(stdout, "%s: settings are valid\n", o.Settings)
		return ExitOK
	}
	if err := d.Serve(o.Settings, settings); err != nil {
		fail(err)
		return ExitFailure
	}
	return ExitOK
}
