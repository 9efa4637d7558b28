package keeper

import (
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ticket"
	"filbertworks.example/filbertworks/verdict"
)

// An Transport carries out what a keeper decides. The arguments and the slices in
// them are valid only during the call.
type Transport interface {
	// Cancel ends work at an upstream.
	Cancel(c *Cancel)
	// Deliver sends an upstream's message to a caller.
	Deliver(d *Delivery, datagram []byte)
	// Forward sends a caller's datagram to an upstream.
	Forward(f *Forward, datagram []byte)
	// Refuse answers a caller without an upstream.
	Refuse(h *packet.Header, r *Refusal)
}

// A Cancel ends a request or a watch at an upstream.
type Cancel struct {
	Upstream uint32
	// Kind is that of the work cancelled.
	Kind packet.Kind
	// Token and Message are those with which the work was forwarded.
	Token   packet.Token
	Message uint16
}

// A Delivery is how an upstream's message is passed on to a caller.
type Delivery struct {
	Service uint32
	Caller  netip.AddrPort
	Token   packet.Token
	// Message is the caller's own id where Acknowledge is set, otherwise one of
	// the keeper's.
	Message uint16
	// Acknowledge tells that the delivery answers a confirmable message.
	Acknowledge bool
	// Ticket is empty on notifications.
	Ticket []byte
}

// A Forward is how a caller's datagram is passed on to an upstream.
type Forward struct {
	Upstream uint32
	Token    packet.Token
	Message  uint16
	// Confirmable is false for non-idempotent requests, which are sent once.
	Confirmable bool
	Deadline    time.Duration
}

// A Refusal is an answer of the system itself.
type Refusal struct {
	verdict.Error
	// Ticket is set where the caller may send the request again with it.
	Ticket []byte
}

// newRefusal returns a refusal without a ticket.
func newRefusal(v verdict.Verdict, reason verdict.Reason, retry time.Duration) *Refusal {
	return &Refusal{
		Error: verdict.Error{
			Verdict:    v,
			Reason:     reason,
			RetryAfter: retry,
		},
	}
}

// A Sealer seals tickets for callers.
type Sealer interface {
	Seal(out []byte, t ticket.Ticket, caller netip.Addr)
}
