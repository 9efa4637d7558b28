package daemon

import (
	"testing"

	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
)

// TestRefusalCodes checks the response codes that the protocol defines for
// refusals.
func TestRefusalCodes(t *testing.T) {
	refusal := func(v verdict.Verdict, reason verdict.Reason, ticket string) *keeper.Refusal {
		return &keeper.Refusal{
			Error: verdict.Error{
				Verdict: v,
				Reason:  reason,
			},
			Ticket: []byte(ticket),
		}
	}
	header := &packet.Header{}
	retransmission := &packet.Header{Ticket: []byte("x")}
	cases := []struct {
		name    string
		refusal *keeper.Refusal
		code    codes.Code
		verdict verdict.Verdict
	}{
		{
			name:    "ticket needed",
			refusal: refusal(verdict.NotRun, verdict.ReasonTicketNeeded, "x"),
			code:    codes.Unauthorized,
			verdict: verdict.NotRun,
		},
		{
			name:    "busy",
			refusal: refusal(verdict.NotRun, verdict.ReasonBusy, ""),
			code:    codes.ServiceUnavailable,
			verdict: verdict.NotRun,
		},
		{
			name:    "invalid ticket",
			refusal: refusal(verdict.MayHaveRun, verdict.ReasonInvalidTicket, ""),
			code:    codes.Forbidden,
			verdict: verdict.MayHaveRun,
		},
		{
			name:    "keeper gone",
			refusal: refusal(verdict.MayHaveRun, verdict.ReasonKeeperGone, ""),
			code:    codes.GatewayTimeout,
			verdict: verdict.MayHaveRun,
		},
		{
			name:    "bad option without a ticket",
			refusal: newRefusal(header, verdict.ReasonBadOption),
			code:    codes.BadOption,
			verdict: verdict.NotRun,
		},
		{
			name:    "bad option with a ticket",
			refusal: newRefusal(retransmission, verdict.ReasonBadOption),
			code:    codes.BadOption,
			verdict: verdict.MayHaveRun,
		},
		{
			name:    "too large",
			refusal: newRefusal(header, verdict.ReasonTooLarge),
			code:    codes.RequestEntityTooLarge,
			verdict: verdict.NotRun,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.code, refusalCode(c.refusal))
			require.Equal(t, c.verdict, c.refusal.Verdict)
		})
	}
}
