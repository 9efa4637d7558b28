// Package cmd is the command line of filbertflow.
package cmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"filbertworks.example/filbertworks/filbertflow/internal/settings"
)

// Exit codes of filbertflow.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 3
)

// version is set by the linker.
var version = "devel"

// options are the flags of filbertflow.
type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"TOML file with this balancer's settings"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Main runs filbertflow with arguments and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewNamedParser("filbertflow", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		return fail(stderr, exitFailure, err)
	}
	rest, err := parser.ParseArgs(args)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, help.Message)
		return exitOK
	}
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	if o.Version {
		_, _ = fmt.Fprintln(stdout, "filbertflow "+version)
		return exitOK
	}
	if len(rest) > 0 || o.Settings == "" {
		return fail(stderr, exitUsage, errors.New("usage: filbertflow --settings FILE [--check]"))
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		return fail(stderr, exitSettings, err)
	}
	if o.Check {
		_, _ = fmt.Fprintf(stdout, "%s: settings are valid\n", o.Settings)
		return exitOK
	}
	return serve(o.Settings, s, stdout, stderr)
}

func fail(stderr io.Writer, code int, err error) int {
	_, _ = fmt.Fprintln(stderr, "filbertflow: "+err.Error())
	return code
}
