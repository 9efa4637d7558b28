// Package commandline is what the command lines of several programs share.
package commandline

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of programs.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitSettings = 3
)

// Parse sets a program's options, a pointer to a struct with go-flags' tags, from
// its arguments and returns what follows these. Where the program is to end at
// once, ok is false and code its exit code: help was asked for and is on stdout, or
// fail was told why the arguments can't be used.
func Parse(name string, options any, arguments []string, stdout io.Writer, fail func(error)) (rest []string, code int, ok bool) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		fail(err)
		return nil, ExitFailure, false
	}
	rest, err := parser.ParseArgs(arguments)
	var help *flags.Error
	switch {
	case errors.As(err, &help) && help.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, help.Message)
		return nil, ExitOK, false
	case err != nil:
		fail(err)
		return nil, ExitUsage, false
	}
	return rest, ExitOK, true
}
