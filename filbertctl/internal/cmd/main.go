// Package cmd implements the subcommands of filbertctl, the operators' command line
// tool, in one file each.
package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// version is set by the linker in releases.
var version = ""

// Main runs the program with the command line arguments, without the program's
// name, and returns its exit code.
func Main(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return Run(arguments, NewConfig(ctx))
}

// Run runs the program with the dependencies in c and returns its exit code.
func Run(arguments []string, c *Config) int {
	err := parse(arguments, c)
	if err == nil {
		return ExitOK
	}
	if flags.WroteHelp(err) {
		_, _ = fmt.Fprintln(c.Stdout, err)
		return ExitOK
	}
	code := exitCode(err)
	printError(c, err, code)
	return code
}

// globalOptions are the options of every subcommand.
type globalOptions struct {
	JSON    bool `long:"json" description:"Write JSON"`
	Version bool `long:"version" description:"Print the version and exit"`
}

// parse parses the arguments and runs the subcommand that they name.
func parse(arguments []string, c *Config) error {
	var g globalOptions
	parser := flags.NewNamedParser("filbertctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Global options", "", &g); err != nil {
		return err
	}
	if err := addCommands(parser, c); err != nil {
		return err
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		c.json = g.JSON
		switch {
		case g.Version:
			return c.printVersion()
		case command == nil && len(rest) > 0:
			return usageErrorf("unknown subcommand %q; see filbertctl --help", rest[0])
		case command == nil:
			return usageErrorf("a subcommand is needed; see filbertctl --help")
		case len(rest) > 0:
			return usageErrorf("unexpected argument %q", rest[0])
		default:
			return command.Execute(nil)
		}
	}
	_, err := parser.ParseArgs(arguments)
	c.json = g.JSON
	return err
}

// A subcommand is a node in the tree of subcommands.
type subcommand struct {
	name  string
	short string
	// command has the options and the method that runs the subcommand. It is nil if
	// there are only children.
	command  flags.Commander
	children []subcommand
}

func addCommands(parser *flags.Parser, c *Config) error {
	for _, s := range subcommands(c) {
		if err := addCommand(parser.Command, s); err != nil {
			return err
		}
	}
	return nil
}

func addCommand(parent *flags.Command, s subcommand) error {
	var data any = &struct{}{}
	if s.command != nil {
		data = s.command
	}
	command, err := parent.AddCommand(s.name, s.short, "", data)
	if err != nil {
		return err
	}
	for _, child := range s.children {
		if err := addCommand(command, child); err != nil {
			return err
		}
	}
	return nil
}

func subcommands(c *Config) []subcommand {
	return []subcommand{
		{
			name:  "config",
			short: "Check, compare or show configurations",
			children: []subcommand{
				{name: "check", short: "Check a configuration", command: &configCheck{config: c}},
				{name: "diff", short: "Compare two configurations", command: &configDiff{config: c}},
				{name: "show", short: "Show the configuration in force", command: &configShow{config: c}},
			},
		},
		{
			name:  "drain",
			short: "Take an upstream or a balancer out of service gracefully",
			children: []subcommand{
				{name: "balancer", short: "Make a balancer leave", command: &drainBalancer{config: c}},
				{name: "upstream", short: "Drain an upstream", command: &drainUpstream{config: c}},
			},
		},
		{name: "explain", short: "Show where a datagram would be sent", command: &explain{config: c}},
		{name: "load", short: "Show the load that balancers share", command: &showLoad{config: c}},
		{
			name:  "patch",
			short: "Check or submit patches",
			children: []subcommand{
				{name: "check", short: "Check a patch", command: &patchCheck{config: c}},
				{name: "submit", short: "Submit a patch", command: &patchSubmit{config: c}},
			},
		},
		{
			name:  "plan",
			short: "Check plans for filbertflow",
			children: []subcommand{
				{name: "check", short: "Check a plan and compare it with the one in force", command: &planCheck{config: c}},
			},
		},
		{name: "status", short: "Show the state of balancers", command: &showStatus{config: c}},
		{name: "trace", short: "Show the log lines of a request or flow", command: &trace{config: c}},
		{
			name:  "zone",
			short: "Take a zone out of service or back in",
			children: []subcommand{
				{name: "in", short: "Put a zone back into service", command: &zoneIn{zoneOptions: zoneOptions{config: c}}},
				{name: "out", short: "Take a zone out of service", command: &zoneOut{zoneOptions: zoneOptions{config: c}}},
			},
		},
	}
}

func (c *Config) printVersion() error {
	return c.write(struct {
		Version string `json:"version"`
	}{
		Version: buildVersion(),
	}, func(w io.Writer) {
		printf(w, "filbertctl %s\n", buildVersion())
	})
}

func buildVersion() string {
	if version != "" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}

// printError writes an error to c.Stderr, as JSON if requested.
func printError(c *Config, err error, code int) {
	if !c.json {
		printf(c.Stderr, "filbertctl: %v\n", err)
		return
	}
	// An error in writing the error can't be reported anywhere.
	_ = json.NewEncoder(c.Stderr).Encode(errorReport(err, code))
}

// An ErrorReport is the JSON form of an error.
type ErrorReport struct {
	Error string `json:"error"`
	// Code is the exit code.
	Code int `json:"code"`
	// Missing says what was missing if the wait for a state timed out.
	Missing []string `json:"missing,omitempty"`
}

func errorReport(err error, code int) ErrorReport {
	r := ErrorReport{
		Error: err.Error(),
		Code:  code,
	}
	var t *TimeoutError
	if errors.As(err, &t) {
		r.Missing = t.Missing
	}
	return r
}

// An osFileReader reads files of the operating system.
type osFileReader struct{}

// ReadFile returns the content of the named file.
func (osFileReader) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(name) //nolint:gosec // the operator names the file
}
