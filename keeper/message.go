package keeper

import (
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/upstream"
)

// An UpstreamMessage is what a keeper must know of an upstream's message.
type UpstreamMessage struct {
	Token packet.Token
	// Shed tells that the upstream refused the request as not run.
	Shed bool
	// Observed tells that the message belongs to an open watch.
	Observed bool
	// Acknowledged tells that the message answers one of the keeper's rather
	// than being a notification.
	Acknowledged bool
}

// result returns what the answer to a request says of the upstream.
func (a *UpstreamMessage) result() upstream.Result {
	if a.Shed {
		return upstream.ResultShed
	}
	return upstream.ResultAnswered
}
