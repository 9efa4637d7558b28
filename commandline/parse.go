// Package commandline parses command lines and runs daemons. The programs of this
// repository share it.
package commandline

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of programs.
const (
	ExitOK = 0
	// ExitFailure is for errors without a code of their own.
	ExitFailure = 1
	// ExitUsage is for arguments that can't be parsed.
	ExitUsage = 2
	// ExitSettings is for settings that can't be read or are invalid.
	ExitSettings = 3
)

// Parse parses a program's arguments into options, a pointer to a struct with the
// tags of go-flags, and returns the remaining arguments. If the program must exit at
// once, ok is false and code is its exit code: either help was requested and is
// written to stdout, or fail was called with the error in the arguments.
func Parse(name string, options any, arguments []string, stdout io.Writer, fail func(error)) (rest []string, code int, ok bool) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		fail(err)
		return nil, ExitFailure, false
	}
	rest, err := parser.ParseArgs(arguments)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, flagsErr.Message)
		return nil, ExitOK, false
	case err != nil:
		fail(err)
		return nil, ExitUsage, false
	}
	return rest, ExitOK, true
}
