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
func (o *transport) Cancel(c *keeper.Cancel) {
	o.counters.add("cancel", c.Kind.String())
	if c.Kind == packet.KindWatchOpen {
		o.sendToUpstream(c.Upstream, o.writer.CloseWatch(c.Message, c.Token))
		return
	}
	o.sendToUpstream(c.Upstream, o.writer.Empty(message.Reset, c.Message))
}

// Deliver sends an upstream's message to a caller.
func (o *transport) Deliver(d *keeper.Delivery, datagram []byte) {
	t := message.NonConfirmable
	if d.Acknowledge {
		t = message.Acknowledgement
	}
	b, err := o.writer.Forward(datagram, &coap.Envelope{
		Type:    t,
		Message: d.Message,
		Token:   d.Token,
		Ticket:  d.Ticket,
	})
	if err != nil {
		o.counters.add("deliver", "malformed")
		return
	}
	o.counters.add("deliver", "")
	o.sendToCaller(d.Service, d.Caller, b)
}

// Drop counts a datagram that is not answered.
func (o *transport) Drop(_ *packet.Header, reason verdict.Reason) {
	o.counters.add("drop", string(reason))
}

// Forward sends a caller's datagram to an upstream.
func (o *transport) Forward(f *keeper.Forward, datagram []byte) {
	t := message.NonConfirmable
	if f.Confirmable {
		t = message.Confirmable
	}
	b, err := o.writer.Forward(datagram, &coap.Envelope{
		Type:     t,
		Message:  f.Message,
		Token:    f.Token,
		Deadline: f.Deadline,
	})
	if err != nil {
		o.counters.add("forward", "malformed")
		return
	}
	o.counters.add("forward", "")
	o.sendToUpstream(f.Upstream, b)
}

// Refuse sends a refusal to a caller.
func (o *transport) Refuse(h *packet.Header, r *keeper.Refusal) {
	o.counters.add("refuse", string(r.Reason))
	reply := &coap.Reply{
		Type:    message.NonConfirmable,
		Code:    refusalCode(r),
		Message: h.Message,
		Token:   h.Token,
		MaxAge:  r.RetryAfter,
		Ticket:  r.Ticket,
		Payload: r.Error.Error(),
	}
	if h.Confirmable {
		reply.Type = message.Acknowledgement
	}
	b, err := o.writer.Reply(reply)
	if err != nil {
		o.counters.add("refuse", "malformed")
		return
	}
	o.sendToCaller(h.Service, h.Caller, b)
}

// Relay sends a caller's datagram to another balancer.
func (o *transport) Relay(to *member.Member, r *wire.Relay, datagram []byte) {
	o.frame = wire.AppendRelay(o.frame[:0], r, datagram)
	o.counters.add("relay", "")
	o.upstreamSender.send(o.now, o.relay, to.Relay, o.frame)
}

// RecordDecision adds a decision to the log of decisions.
func (o *transport) RecordDecision(d *balancer.Decision) {
	o.journal.add(d)
}

func (o *transport) sendToCaller(service uint32, caller netip.AddrPort, b []byte) {
	socket := o.listeners.socket(service)
	if socket == nil {
		o.counters.add("send", "no-listener")
		return
	}
	o.callerSender.send(o.now, socket, caller, b)
}

func (o *transport) sendToUpstream(id uint32, b []byte) {
	if o.fenced {
		o.counters.add("send", "distrust")
		return
	}
	u := o.balancer.Config().Upstream(id).Upstream
	if u == nil {
		o.counters.add("send", "no-upstream")
		return
	}
	p, err := o.paths.get(u)
	if err != nil {
		o.counters.add("send", "path")
		return
	}
	o.upstreamSender.send(o.now, p.socket, netip.AddrPort{}, b)
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
