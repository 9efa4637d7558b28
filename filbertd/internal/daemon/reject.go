package daemon

import (
	"errors"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
)

// reject counts a caller's datagram that is not an acceptable request. If enough
// of its header could be parsed into h, it answers with a refusal.
func (d *Daemon) reject(e *event, h *packet.Header, err error) {
	d.counters.add("drop", err.Error())
	switch {
	case errors.Is(err, coap.ErrBadOption):
		d.transport.Refuse(h, newRefusal(h, verdict.ReasonBadOption))
	case errors.Is(err, coap.ErrOversized) && coap.ParsePrefix(e.buffer.data(), e.id, e.from, h):
		d.transport.Refuse(h, newRefusal(h, verdict.ReasonTooLarge))
	}
}

// newRefusal returns the refusal of a request that this balancer can't accept.
// With a ticket the verdict is MayHaveRun: the datagram may be a damaged
// retransmission of a request that has run.
func newRefusal(h *packet.Header, reason verdict.Reason) *keeper.Refusal {
	v := verdict.NotRun
	if len(h.Ticket) > 0 {
		v = verdict.MayHaveRun
	}
	return &keeper.Refusal{
		Error: verdict.Error{
			Verdict: v,
			Reason:  reason,
		},
	}
}
