// Package cmd implements the command line of flowlab.
package cmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of flowlab.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Main runs flowlab with its arguments and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("flowlab", flags.HelpFlag|flags.PassDoubleDash)
	play := &playCommand{stdout: stdout}
	if _, err := parser.AddCommand("play", "play loads", "Plays loads and prints a table of what the users get.", play); err != nil {
		return fail(stderr, exitFailure, err)
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		return fail(stderr, exitUsage, err)
	default:
		return fail(stderr, exitFailure, err)
	}
}

func fail(stderr io.Writer, code int, err error) int {
	_, _ = fmt.Fprintln(stderr, "flowlab: "+err.Error())
	return code
}
