package keeper

import (
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ticket"
	"filbertworks.example/filbertworks/verdict"
)

// A Transport sends the messages of a keeper to callers and upstreams. The
// arguments and the slices in them are valid only during the call.
type Transport interface {
	// Cancel ends a request or a watch at an upstream.
	Cancel(c *Cancel)
	// Deliver sends an upstream's message to a caller.
	Deliver(d *Delivery, datagram []byte)
	// Forward sends a caller's datagram to an upstream.
	Forward(f *Forward, datagram []byte)
	// Refuse answers a caller in place of an upstream.
	Refuse(h *packet.Header, r *Refusal)
}

// A Cancel identifies a request or a watch to be ended at an upstream.
type Cancel struct {
	Upstream uint32
	// Kind is the kind of the cancelled work.
	Kind packet.Kind
	// Token and MessageID are the token and message id with which the work was
	// forwarded.
	Token     packet.Token
	MessageID uint16
}

// A Delivery describes how an upstream's message is passed on to a caller.
type Delivery struct {
	Service uint32
	Caller  netip.AddrPort
	Token   packet.Token
	// MessageID is the caller's message id if Acknowledge is set, otherwise one
	// of the keeper's.
	MessageID uint16
	// Acknowledge is set if the delivery answers a confirmable message.
	Acknowledge bool
	// Ticket is empty for notifications.
	Ticket []byte
}

// A Forward describes how a caller's datagram is passed on to an upstream.
type Forward struct {
	Upstream  uint32
	Token     packet.Token
	MessageID uint16
	// Confirmable is false for non-idempotent requests, which are sent only
	// once.
	Confirmable bool
	Deadline    time.Duration
}

// A Refusal is an answer by the load balancer itself instead of an upstream.
type Refusal struct {
	verdict.Error
	// Ticket is set if the caller may send the request again with it.
	Ticket []byte
}

// newRefusal returns a refusal without a ticket; retry is its retry hint.
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
