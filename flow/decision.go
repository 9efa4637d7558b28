package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// An Action is what the balancer does with a packet.
type Action uint8

// Actions on a packet.
const (
	// Drop discards the packet; the endpoints retransmit it.
	Drop Action = iota
	// Forward sends the packet to Decision.Upstream.
	Forward
	// Reject resets the flow at the client. No further packet of it reaches an
	// upstream.
	Reject
	// Hold keeps the packet until Forwarder.Released returns the decision on it.
	Hold
)

// String returns a's name.
func (a Action) String() string {
	switch a {
	case Forward:
		return "forward"
	case Reject:
		return "reject"
	case Hold:
		return "hold"
	default:
		return "drop"
	}
}

// A Reason is why a decision on a packet was made.
type Reason uint8

// Reasons of decisions.
const (
	// ReasonPlaced forwards the first packet of a flow to a chosen upstream.
	ReasonPlaced Reason = iota
	// ReasonCopy forwards a retransmitted first packet to the same upstream.
	ReasonCopy
	// ReasonMoved forwards a retransmitted first packet to another upstream, since
	// the first upstream did not answer.
	ReasonMoved
	// ReasonTicket forwards the packet to the upstream named by its ticket.
	ReasonTicket
	// ReasonRemembered forwards the packet to the upstream in the flow table, since
	// its ticket names no known upstream, or another one than has answered the flow.
	ReasonRemembered
	// ReasonUnknown drops a packet whose upstream is unknown to this balancer.
	ReasonUnknown
	// ReasonNotReady drops a first packet that came before routes were known.
	ReasonNotReady
	// ReasonNoRoute rejects a flow to an address without a route.
	ReasonNoRoute
	// ReasonNoUpstream rejects a new flow for which no upstream is eligible.
	ReasonNoUpstream
	// ReasonDead rejects a flow whose upstream is dead.
	ReasonDead
	// ReasonSilent rejects a flow whose upstream has answered no flow of this
	// balancer since the packet was first sent.
	ReasonSilent
	// ReasonReplaced rejects a flow whose upstream has left and whose address now
	// belongs to another host.
	ReasonReplaced
	// ReasonDelayed drops a packet that waited while the balancer's process did not run:
	// the client may have opened the flow by another balancer since.
	ReasonDelayed
	// ReasonLookup holds a retransmitted first packet of a flow that this balancer does
	// not know, until another one tells where the flow's first packet went.
	ReasonLookup
	// ReasonSpilled forwards the first packet of a flow to another zone, since the own one
	// has less room.
	ReasonSpilled
	// ReasonWaiting holds a first packet until an upstream has room.
	ReasonWaiting
	// ReasonNoRoom rejects a new flow that no upstream has room for in time.
	ReasonNoRoom
	// ReasonOvertaken drops a first packet that waited until a later packet of the client
	// showed that the flow had opened, or that the client had left it.
	ReasonOvertaken
)

// reasonNames holds the names of the reasons, indexed by Reason.
var reasonNames = [...]string{
	"placed", "copy", "moved", "ticket", "remembered", "unknown upstream",
	"not ready", "no route", "no upstream", "dead upstream", "silent upstream",
	"replaced upstream", "delayed", "lookup", "spilled", "waiting", "no room", "overtaken",
}

// NumReasons is the number of reasons.
const NumReasons = int(ReasonOvertaken) + 1

// String returns r's name.
func (r Reason) String() string {
	return reasonNames[r]
}

// A Decision is what the balancer does with one packet, and why.
type Decision struct {
	Action Action
	Reason Reason
	// Upstream is the upstream that the packet is forwarded to, or the one that its
	// flow had; nil if there is none.
	Upstream *directory.Upstream
	// Ticket is the ticket that a forwarded packet carries.
	Ticket directory.Ticket
	// StartsRequest reports whether a request starts on the flow with this packet.
	StartsRequest bool
	// Retransmissions is the number of times that the client has retransmitted the
	// oldest unanswered packet.
	Retransmissions int
	// Service is the name of the service that a new flow was meant for.
	Service string
	// Candidates is the number of upstreams that a new flow could go to.
	Candidates int
	// Load is the upstream's load as seen by this balancer.
	Load Load
	// ZoneLoad is the number of requests in progress at the upstream as all balancers of the
	// zone see it; zero if that is unknown.
	ZoneLoad float64
	// Waited is how long a first packet waited for admission.
	Waited time.Duration
	// Room is the room that a new flow found if it waited, was rejected for the lack of room or
	// went to another zone.
	Room Room
}

// A Room is what a decision on a new flow by the load of the own zone's upstreams rests on.
type Room struct {
	// Known reports whether the decision was made by that load. The rest is zero otherwise.
	Known bool
	// Priority is that of the flow's route; 0 is the most urgent.
	Priority int
	// Working is the number of requests in progress at the upstreams of the flow's service,
	// without those that slow ones have beyond what they answer in time.
	Working float64
	// Capacity is the number of slots' worth of work that these upstreams take.
	Capacity float64
	// Limit is the number of requests in progress up to which they answer in time.
	Limit float64
	// Share is the share of the priority's new flows that there is room for in all zones, and
	// for a flow that goes to another zone, the share that goes there.
	Share float64
	// Age is the time since the oldest digest of the load came.
	Age time.Duration
}

// A Load is the load of an upstream as seen by one balancer.
type Load struct {
	// Flows is the number of open flows.
	Flows int
	// ActiveRequests is the number of flows with a request in progress.
	ActiveRequests int
}
