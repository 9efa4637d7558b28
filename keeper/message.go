package keeper

import (
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/upstream"
)

// An UpstreamMessage holds the fields of an upstream's message that a keeper
// acts on.
type UpstreamMessage struct {
	Token packet.Token
	// Shed is set if the upstream refused the request as not run.
	Shed bool
	// Observed is set if the message belongs to an open watch.
	Observed bool
	// Acknowledged is set if the message answers one of the keeper's
	// messages and is not a notification.
	Acknowledged bool
}

// result returns the outcome that m reports for its request.
func (m *UpstreamMessage) result() upstream.Result {
	if m.Shed {
		return upstream.ResultShed
	}
	return upstream.ResultAnswered
}
