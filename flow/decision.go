package flow

import "filbertworks.example/filbertworks/directory"

// An Action is what is done with a packet.
type Action uint8

// Actions on a packet.
const (
	// Drop does nothing: the ends send again.
	Drop Action = iota
	// Forward sends the packet to Decision.Upstream.
	Forward
	// Reject resets the flow at the client: nothing of it reaches an upstream
	// any more.
	Reject
)

// String returns a's name.
func (a Action) String() string {
	switch a {
	case Forward:
		return "forward"
	case Reject:
		return "reject"
	default:
		return "drop"
	}
}

// A Reason tells what decided on a packet.
type Reason uint8

// Reasons of decisions.
const (
	// ReasonPlaced forwards the first packet of a flow to a chosen upstream.
	ReasonPlaced Reason = iota
	// ReasonCopy forwards a copy of a first packet to the same upstream.
	ReasonCopy
	// ReasonMoved forwards a copy of a first packet to another upstream, as the
	// first did not answer.
	ReasonMoved
	// ReasonTicket follows the packet's ticket.
	ReasonTicket
	// ReasonRemembered follows the flow table where the ticket names nobody.
	ReasonRemembered
	// ReasonUnknown drops a packet whose upstream nobody here knows.
	ReasonUnknown
	// ReasonNotReady drops a first packet that came before routes were known.
	ReasonNotReady
	// ReasonNoRoute rejects a flow to an address that no route has.
	ReasonNoRoute
	// ReasonNoUpstream rejects a flow that no upstream may take.
	ReasonNoUpstream
	// ReasonDead rejects a flow whose upstream has stopped answering anybody.
	ReasonDead
	// ReasonSilent rejects a flow whose upstream has answered nobody here since
	// the packet was first sent.
	ReasonSilent
	// ReasonReplaced rejects a flow whose upstream's address has another host.
	ReasonReplaced
)

// reasonNames holds the names of the reasonNames, in their order.
var reasonNames = [...]string{
	"placed", "copy", "moved", "ticket", "remembered", "unknown upstream",
	"not ready", "no route", "no upstream", "dead upstream", "silent upstream",
	"replaced upstream",
}

// NumReasons is the number of reasons.
const NumReasons = int(ReasonReplaced) + 1

// String returns r's name.
func (r Reason) String() string {
	return reasonNames[r]
}

// A Decision tells what is done with one packet and why.
type Decision struct {
	Action Action
	Reason Reason
	// Upstream is nil unless the packet is forwarded or its flow had one.
	Upstream *directory.Upstream
	// Ticket is the one that a forwarded packet carries on.
	Ticket directory.Ticket
	// StartsRequest tells that a request starts on the flow with this packet.
	StartsRequest bool
	// Retransmissions is the number of times that the client has repeated a packet that
	// is unanswered.
	Retransmissions int
	// Service is the name of the service that a new flow was meant for.
	Service string
	// Candidates is the number of upstreams that a new flow could go to.
	Candidates int
	// Load is the chosen upstream's load as seen here, in requests in progress
	// and open flows.
	Load Load
}

// A Load is what one balancer has seen of an upstream's work.
type Load struct {
	// Flows is the number of open flows.
	Flows int
	// ActiveRequests is the number of flows with a request in progress.
	ActiveRequests int
}
