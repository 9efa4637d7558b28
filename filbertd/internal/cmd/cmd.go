// Package cmd is the command line of filbertd.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"filbertworks.example/filbertworks/filbertd/internal/settings"
)

// Exit codes of filbertd.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 3
)

// version is set by the linker.
var version = "devel"

// options are the flags of filbertd.
type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"TOML file with this balancer's settings"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Main runs filbertd with arguments and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewNamedParser("filbertd", flags.HelpFlag|flags.PassDoubleDash)
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
		_, _ = fmt.Fprintln(stdout, "filbertd "+version)
		return exitOK
	}
	if len(rest) > 0 || o.Settings == "" {
		return fail(stderr, exitUsage, errors.New("usage: filbertd --settings FILE [--check]"))
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		return fail(stderr, exitSettings, err)
	}
	if o.Check {
		_, _ = fmt.Fprintf(stdout, "%s: settings are valid\n", o.Settings)
		return exitOK
	}
	return serve(s, stderr)
}

// serve runs a daemon until it has left gracefully after SIGTERM or SIGINT, or
// at once after a second of these.
func serve(s *settings.Settings, stderr io.Writer) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	c, err := newConfig(s, stderr)
	if err != nil {
		return fail(stderr, exitFailure, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go leaveOn(ctx, signals, c.daemon.Drain, cancel)
	if err := c.run(ctx); err != nil {
		return fail(stderr, exitFailure, err)
	}
	return exitOK
}

// leaveOn calls drain at the first signal and stop at the second.
func leaveOn(ctx context.Context, signals <-chan os.Signal, drain, stop func()) {
	for _, act := range []func(){drain, stop} {
		select {
		case <-signals:
			act()
		case <-ctx.Done():
			return
		}
	}
}

func fail(stderr io.Writer, code int, err error) int {
	_, _ = fmt.Fprintln(stderr, "filbertd: "+err.Error())
	return code
}
