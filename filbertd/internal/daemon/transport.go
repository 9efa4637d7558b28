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

// An transport turns a balancer's decisions into datagrams. It belongs to the
// loop's goroutine.
type transport struct {
	balancer  *balancer.Balancer
	writer    *coap.Writer
	listeners *listeners
	paths     *pathSet
	relay     *net.UDPConn
	counters  *counters
	journal   *journal
	// callerSender sends to callers, inward to upstreams and other balancers.
	callerSender   *sender
	upstreamSender *sender
	// now is the time of the event in hand.
	now time.Time
	// fenced stops everything towards upstreams while the process distrusts its
	// configuration.
	fenced bool
	frame  []byte
}

// Cancel closes a watch with Observe 1 and a request with a reset.
func (o *transport) Cancel(c *keeper.Cancel) {
	o.counters.add("cancel", c.Kind.String())
	if c.Kind == packet.KindWatchOpen {
		o.sendToUpstream(c.Upstream, o.writer.CloseWatch(c.Message, c.Token))
		return
	}
	o.sendToUpstream(c.Upstream, o.writer.Empty(message.Reset, c.Message))
}

// Deliver passes an upstream's message on to a caller.
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

// Forward passes a caller's datagram on to an upstream.
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

// Refuse answers a caller without an upstream.
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

// Relay passes a caller's datagram on to another balancer.
func (o *transport) Relay(to *member.Member, r *wire.Relay, datagram []byte) {
	o.frame = wire.AppendRelay(o.frame[:0], r, datagram)
	o.counters.add("relay", "")
	o.upstreamSender.send(o.now, o.relay, to.Relay, o.frame)
}

// RecordDecision logs a decision.
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

// refusalCode returns the response code that tells a refusal's verdict.
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
