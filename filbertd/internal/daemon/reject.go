package daemon

import (
	"errors"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
)

// reject counts a caller's datagram that is no acceptable request and, where it
// is whole, answers it. h is what could be read of it.
func (d *Daemon) reject(e *event, h *packet.Header, err error) {
	d.counters.add("drop", err.Error())
	switch {
	case errors.Is(err, coap.ErrBadOption):
		d.transport.Refuse(h, newRefusal(h, verdict.ReasonBadOption))
	case errors.Is(err, coap.ErrOversized) && coap.Prefix(e.buffer.data(), e.id, e.from, h):
		d.transport.Refuse(h, newRefusal(h, verdict.ReasonTooLarge))
	}
}

// newRefusal returns the refusal of a request that this balancer can't accept. A
// ticket may be that of a request that has run, in a damaged copy.
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
