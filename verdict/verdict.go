// Package verdict says what is known of a request's execution.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// A Verdict is what the system knows of whether a request has run.
type Verdict uint8

// Verdicts, from the weakest statement to the strongest.
const (
	// MayHaveRun is the zero value, so that a missing verdict never claims
	// that a request did not run.
	MayHaveRun Verdict = iota
	// NotRun states that the request has not run and will not run.
	NotRun
	// Answered states that the upstream's answer is known.
	Answered
)

// String returns v's name as used in logs and reports.
func (v Verdict) String() string {
	switch v {
	case MayHaveRun:
		return "may-have-run"
	case NotRun:
		return "not-run"
	case Answered:
		return "answered"
	default:
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
}

// A Reason is a short stable code for a refusal, used in logs, metrics and
// replies.
type Reason string

// Reasons of refusal.
const (
	ReasonNone           Reason = ""
	ReasonBadOption      Reason = "bad-option"
	ReasonBusy           Reason = "busy"
	ReasonCold           Reason = "cold"
	ReasonConnections    Reason = "connections"
	ReasonDeadline       Reason = "deadline"
	ReasonDraining       Reason = "draining"
	ReasonExpired        Reason = "expired"
	ReasonInvalidTicket  Reason = "invalid-ticket"
	ReasonKeeperGone     Reason = "keeper-gone"
	ReasonLedgerFull     Reason = "ledger-full"
	ReasonMalformed      Reason = "malformed"
	ReasonNoUpstream     Reason = "no-upstream"
	ReasonNotKeeper      Reason = "not-keeper"
	ReasonShed           Reason = "shed"
	ReasonTicketNeeded   Reason = "ticket-needed"
	ReasonTicketUsed     Reason = "ticket-used"
	ReasonTimeout        Reason = "timeout"
	ReasonTooLarge       Reason = "too-large"
	ReasonUnknownService Reason = "unknown-service"
	ReasonUnsettled      Reason = "view-unsettled"
	ReasonZoneOut        Reason = "zone-out"
)

// An Error is a refusal or failure together with its verdict.
type Error struct {
	// Verdict is never Answered.
	Verdict Verdict
	Reason  Reason
	// RetryAfter is zero where a retry is not advised.
	RetryAfter time.Duration
}

// Error returns the verdict and the reason.
func (e *Error) Error() string {
	return e.Verdict.String() + ": " + string(e.Reason)
}

// Of returns the verdict that err carries; an error without one may have let
// the request run.
func Of(err error) Verdict {
	if err == nil {
		return Answered
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
