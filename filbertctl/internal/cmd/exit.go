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

// Exit codes of filbertctl.
const (
	ExitOK = 0
	// ExitFailure is for errors without a code of their own.
	ExitFailure = 1
	// ExitUsage is for invalid arguments.
	ExitUsage = 2
	// ExitNotAllowed is for a configuration or patch that fails its check.
	ExitNotAllowed = 3
	// ExitConflict is for a patch whose base is not the version in force.
	ExitConflict = 4
	// ExitTimeout is for a state that was not reached in time.
	ExitTimeout = 5
)

// Errors that exitCode recognizes.
var (
	errNotAllowed = eris.New("not allowed")
	errUsage      = eris.New("usage")
)

// A TimeoutError reports that a state was not reached in time.
type TimeoutError struct {
	// After is how long the program waited.
	After time.Duration
	// Missing says what was missing at last, in one short sentence each.
	Missing []string
}

// Error returns the time waited and what was missing.
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

// usageErrorf returns an error with the exit code ExitUsage.
func usageErrorf(format string, arguments ...any) error {
	return eris.Wrapf(errUsage, format, arguments...)
}
