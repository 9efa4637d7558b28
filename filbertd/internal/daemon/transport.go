package daemon

import (
	"net"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"filbertworks.example/filbertworks/balancer"
	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
	"filbertworks.example/filbertworks/wire"
)

// A transport encodes and sends a balancer's messages to callers, upstreams and
// peers. Only the loop's goroutine uses it.
type transport struct {
	balancer  *balancer.Balancer
	writer    *coap.Writer
	listeners *listeners
	paths     *pathSet
	relay     *net.UDPConn
	counters  *counters
	journal   *journal
	// callerSender sends to callers, upstreamSender to upstreams and other
	// balancers.
	callerSender   *sender
	upstreamSender *sender
	// now is when processing of the current event began.
	now time.Time
	// fenced disables sending to upstreams while the configuration of this
	// process is not confirmed and may be stale.
	fenced bool
	// frame is a reused buffer for encoding datagrams to peers.
	frame []byte
}

// Cancel cancels a flow at its upstream: a watch with a GET with Observe 1, a
// request with a reset.
func (t *transport) Cancel(c *keeper.Cancel) {
	t.counters.add("cancel", c.Kind.String())
	if c.Kind == packet.KindWatchOpen {
		t.sendToUpstream(c.Upstream, t.writer.CloseWatch(c.MessageID, c.Token))
		return
	}
	t.sendToUpstream(c.Upstream, t.writer.Empty(message.Reset, c.MessageID))
}

// Deliver sends an upstream's message to a caller.
func (t *transport) Deliver(d *keeper.Delivery, datagram []byte) {
	messageType := message.NonConfirmable
	if d.Acknowledge {
		messageType = message.Acknowledgement
	}
	b, err := t.writer.Forward(datagram, &coap.Envelope{
		Type:      messageType,
		MessageID: d.MessageID,
		Token:     d.Token,
		Ticket:    d.Ticket,
	})
	if err != nil {
		t.counters.add("deliver", "malformed")
		return
	}
	t.counters.add("deliver", "")
	t.sendToCaller(d.Service, d.Caller, b)
}

// Drop counts a datagram that is not answered.
func (t *transport) Drop(_ *packet.Header, reason verdict.Reason) {
	t.counters.add("drop", string(reason))
}

// Forward sends a caller's datagram to an upstream.
func (t *transport) Forward(f *keeper.Forward, datagram []byte) {
	messageType := message.NonConfirmable
	if f.Confirmable {
		messageType = message.Confirmable
	}
	b, err := t.writer.Forward(datagram, &coap.Envelope{
		Type:      messageType,
		MessageID: f.MessageID,
		Token:     f.Token,
		Deadline:  f.Deadline,
	})
	if err != nil {
		t.counters.add("forward", "malformed")
		return
	}
	t.counters.add("forward", "")
	t.sendToUpstream(f.Upstream, b)
}

// Refuse sends a refusal to a caller.
func (t *transport) Refuse(h *packet.Header, r *keeper.Refusal) {
	t.counters.add("refuse", string(r.Reason))
	reply := &coap.Reply{
		Type:      message.NonConfirmable,
		Code:      refusalCode(r),
		MessageID: h.MessageID,
		Token:     h.Token,
		MaxAge:    r.RetryAfter,
		Ticket:    r.Ticket,
		Payload:   r.Error.Error(),
	}
	if h.Confirmable {
		reply.Type = message.Acknowledgement
	}
	b, err := t.writer.Reply(reply)
	if err != nil {
		t.counters.add("refuse", "malformed")
		return
	}
	t.sendToCaller(h.Service, h.Caller, b)
}

// Relay sends a caller's datagram to another balancer.
func (t *transport) Relay(to *member.Member, r *wire.Relay, datagram []byte) {
	t.frame = wire.AppendRelay(t.frame[:0], r, datagram)
	t.counters.add("relay", "")
	t.upstreamSender.send(t.now, t.relay, to.Relay, t.frame)
}

// RecordDecision adds a decision to the log of decisions.
func (t *transport) RecordDecision(d *balancer.Decision) {
	t.journal.add(d)
}

// sendToCaller sends a datagram to a caller from the address of a service. It
// drops and counts the datagram if there is no socket for the service.
func (t *transport) sendToCaller(service uint32, caller netip.AddrPort, b []byte) {
	socket := t.listeners.socket(service)
	if socket == nil {
		t.counters.add("send", "no-listener")
		return
	}
	t.callerSender.send(t.now, socket, caller, b)
}

// sendToUpstream sends a datagram to an upstream. It drops and counts the datagram
// if the transport is fenced, the configuration has no such upstream or no path
// can be opened.
func (t *transport) sendToUpstream(id uint32, b []byte) {
	if t.fenced {
		t.counters.add("send", "distrust")
		return
	}
	u := t.balancer.Config().Upstream(id).Upstream
	if u == nil {
		t.counters.add("send", "no-upstream")
		return
	}
	p, err := t.paths.get(u)
	if err != nil {
		t.counters.add("send", "path")
		return
	}
	t.upstreamSender.send(t.now, p.socket, netip.AddrPort{}, b)
}

// refusalCode returns the CoAP response code for a refusal.
func refusalCode(r *keeper.Refusal) codes.Code {
	switch {
	case r.Verdict == verdict.Answered:
		return codes.Valid
	case r.Reason == verdict.ReasonBadOption:
		return codes.BadOption
	case r.Reason == verdict.ReasonTooLarge:
		return codes.RequestEntityTooLarge
	case len(r.Ticket) > 0:
		return codes.Unauthorized
	case r.Verdict == verdict.NotRun:
		return codes.ServiceUnavailable
	case r.Reason == verdict.ReasonInvalidTicket:
		return codes.Forbidden
	default:
		return codes.GatewayTimeout
	}
}
