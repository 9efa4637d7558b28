package cmd

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/filbertctl/internal/remote"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailure is for everything without a code of its own.
	ExitFailure = 1
	// ExitUsage is for arguments that can't be read.
	ExitUsage = 2
	// ExitNotAllowed is for a configuration or patch that fails its check.
	ExitNotAllowed = 3
	// ExitConflict is for a patch on another version than the one in force.
	ExitConflict = 4
	// ExitTimeout is for a state that was not reached in time.
	ExitTimeout = 5
)

// Sentinel errors of the command line.
var (
	errNotAllowed = eris.New("not allowed")
	errUsage      = eris.New("usage")
)

// A TimeoutError tells that a state was not reached in time.
type TimeoutError struct {
	// After is how long the program waited.
	After time.Duration
	// Missing has what was missing at last, one short sentence each.
	Missing []string
}

// Error names the time and what was missing.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("timed out after %v: %s", e.After, strings.Join(e.Missing, "; "))
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var (
		check   *config.CheckError
		patch   *config.PatchError
		parse   *flags.Error
		timeout *TimeoutError
	)
	switch {
	case errors.As(err, &timeout):
		return ExitTimeout
	case errors.Is(err, config.ErrBaseMismatch):
		return ExitConflict
	case errors.As(err, &check), errors.As(err, &patch):
		return ExitNotAllowed
	case errors.Is(err, errNotAllowed), errors.Is(err, remote.ErrRejected):
		return ExitNotAllowed
	case errors.As(err, &parse), errors.Is(err, errUsage):
		return ExitUsage
	default:
		return ExitFailure
	}
}

func usageErrorf(format string, arguments ...any) error {
	return eris.Wrapf(errUsage, format, arguments...)
}
