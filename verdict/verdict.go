// Package verdict states what is known about the execution of a request, and
// the reasons of refusals.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// A Verdict states what is known about whether a request has been executed.
type Verdict uint8

// Verdicts, from the weakest statement to the strongest.
const (
	// MayHaveRun is the zero value, so that a missing verdict never claims
	// that a request did not run.
	MayHaveRun Verdict = iota
	// NotRun states that the request has not been executed and will not be.
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

// A Reason is a short, stable code for a refusal, used in logs, metrics and
// replies.
type Reason string

// Reasons of refusals.
const (
	ReasonNone      Reason = ""
	ReasonBadOption Reason = "bad-option"
	ReasonBusy      Reason = "busy"
	// ReasonCold means that all slots count as taken while an earlier keeper's
	// requests may still be in flight.
	ReasonCold          Reason = "cold"
	ReasonConnections   Reason = "connections"
	ReasonDeadline      Reason = "deadline"
	ReasonDraining      Reason = "draining"
	ReasonExpired       Reason = "expired"
	ReasonInvalidTicket Reason = "invalid-ticket"
	// ReasonKeeperGone means that the process that issued the ticket of a
	// non-idempotent request has ended.
	ReasonKeeperGone Reason = "keeper-gone"
	// ReasonLedgerFull means that the keeper has no room for another ledger
	// entry or exchange.
	ReasonLedgerFull Reason = "ledger-full"
	ReasonMalformed  Reason = "malformed"
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonNotKeeper means that another balancer keeps the upstream.
	ReasonNotKeeper Reason = "not-keeper"
	// ReasonShed means that the upstream has just shed a request and gets none
	// for a short pause.
	ReasonShed Reason = "shed"
	// ReasonTicketNeeded means that a non-idempotent request has no ticket; the
	// refusal carries one.
	ReasonTicketNeeded Reason = "ticket-needed"
	// ReasonTicketUsed means that the ticket was used for another request.
	ReasonTicketUsed     Reason = "ticket-used"
	ReasonTimeout        Reason = "timeout"
	ReasonTooLarge       Reason = "too-large"
	ReasonUnknownService Reason = "unknown-service"
	// ReasonUnsettled means that the member view is not complete yet: this
	// balancer may not know every other balancer, or may not be known to them.
	ReasonUnsettled Reason = "view-unsettled"
	ReasonZoneOut   Reason = "zone-out"
)

// An Error is a refusal or failure together with its verdict.
type Error struct {
	// Verdict is never Answered.
	Verdict Verdict
	Reason  Reason
	// RetryAfter is zero if a retry is not advised.
	RetryAfter time.Duration
}

// Error returns the verdict and the reason.
func (e *Error) Error() string {
	return e.Verdict.String() + ": " + string(e.Reason)
}

// Of returns the verdict that err carries. An error without one may have let
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
