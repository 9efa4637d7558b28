// Package balancer decides what one balancer does with each datagram: which
// upstream a flow or request goes to, which balancer keeps that upstream, and
// what is refused. It has no sockets, goroutines or clock of its own, so that
// other programs can embed it.
package balancer

import (
	"math/rand/v2"
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/placement"
	"filbertworks.example/filbertworks/retry"
	"filbertworks.example/filbertworks/ticket"
	"filbertworks.example/filbertworks/timer"
	"filbertworks.example/filbertworks/verdict"
	"filbertworks.example/filbertworks/wire"
)

// Limits of routing.
const (
	// MaxAttempts is the maximum number of upstreams that are tried for a request.
	MaxAttempts = 3
	// MaxHops is the maximum number of balancers that a datagram is relayed to
	// after the one that received it.
	MaxHops = 4
)

// A Transport sends what a balancer decides to send and records its decisions;
// see keeper.Transport.
type Transport interface {
	keeper.Transport
	// Drop counts a datagram that is dropped without an answer.
	Drop(h *packet.Header, reason verdict.Reason)
	// Relay sends a caller's datagram to another balancer.
	Relay(to *member.Member, r *wire.Relay, datagram []byte)
	// RecordDecision records a routing decision, for logs.
	RecordDecision(d *Decision)
}

// A Decision is the result of routing a caller's datagram.
type Decision struct {
	Header *packet.Header
	// Upstream is zero if the datagram was refused.
	Upstream uint32
	// Keeper is empty if the datagram was refused.
	Keeper string
	// Placed is set if the upstream was newly chosen, rather than that of an open
	// flow.
	Placed bool
	// Reason is why the datagram was refused or another upstream was chosen.
	Reason verdict.Reason
}

// Options configures a balancer.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64
	Start       time.Time
	Limits      keeper.Limits
	// Rand is the source of random choices in placement.
	Rand      *rand.Rand
	Transport Transport
	// Releaser may be nil: watches that move then stay registered by their former
	// keeper until its lease ends.
	Releaser Releaser
	// StartupGrace is the time after Start in which no executions are granted.
	StartupGrace time.Duration
}

// A Balancer routes datagrams according to the current configuration and member
// view. It is not safe for concurrent use.
type Balancer struct {
	options   Options
	transport Transport
	timers    *timer.Queue
	keeper    *keeper.Keeper
	picker    *placement.Picker
	// config is nil until the first call of Configure.
	config *config.Snapshot
	sealer *ticket.Sealer
	// sealingKey is the key with which sealer seals.
	sealingKey config.Key
	table      *member.Table
	// settled is set if a process that is not in table is gone, rather than not
	// known yet.
	settled bool
	// budgets are the retry budgets, by service id.
	budgets map[uint32]*retry.Budget
	loads   *placement.LoadTable
	// ownershipVersion is the configuration version at the last UpdateOwnership.
	ownershipVersion config.Version
	// openedTicket is scratch space for the ticket of the current datagram.
	openedTicket ticket.Ticket
	// scratch is scratch space for the current decision.
	scratch scratch
}

// A scratch holds values that would otherwise be allocated for each datagram.
type scratch struct {
	relay    wire.Relay
	decision Decision
	request  keeper.Request
	member   member.Member
}

// New returns a balancer without a configuration: it drops every datagram until
// the first call of Configure.
func New(o Options) *Balancer {
	b := &Balancer{
		options:   o,
		transport: o.Transport,
		timers:    timer.NewQueue(),
		table:     member.NewTable(nil),
		budgets:   make(map[uint32]*retry.Budget),
		loads:     placement.NewLoadTable(),
	}
	b.keeper = keeper.New(o.Start, o.Incarnation, o.Limits, b.timers, (*ticketSealer)(b), o.Transport, (*retrier)(b),
		keeper.WithReleaser((*releaser)(b)), keeper.WithStartupGrace(o.StartupGrace))
	b.picker = placement.NewPicker(o.Zone, b.loads, o.Rand)
	return b
}

// Advance runs the timers due at now.
func (b *Balancer) Advance(now time.Time) {
	b.loads.Advance(now)
	b.timers.Advance(now)
}

// HandleUpstreamMessage handles a message from an upstream and reports whether
// it belongs to an open request or watch.
func (b *Balancer) HandleUpstreamMessage(now time.Time, upstream uint32, a *keeper.UpstreamMessage, datagram []byte) bool {
	return b.keeper.HandleUpstreamMessage(now, upstream, a, datagram)
}

// HandleCaller routes a datagram that a caller sent to this balancer.
func (b *Balancer) HandleCaller(now time.Time, h *packet.Header, datagram []byte) {
	b.scratch.relay = wire.Relay{
		Caller:  h.Caller,
		Service: h.Service,
	}
	b.route(now, h, &b.scratch.relay, datagram)
}

// Config returns the current configuration, or nil.
func (b *Balancer) Config() *config.Snapshot {
	return b.config
}

// Configure replaces the current configuration, unless that has the same or a
// higher version, and reports whether it did.
func (b *Balancer) Configure(now time.Time, c *config.Snapshot) bool {
	if b.config != nil && c.Version <= b.config.Version {
		return false
	}
	b.setKeys(now, b.config, c)
	b.config = c
	b.keeper.Configure(now, c)
	b.UpdateOwnership(now)
	return true
}

// Keeper returns the keeper of this balancer's own upstreams.
func (b *Balancer) Keeper() *keeper.Keeper {
	return b.keeper
}

// Members returns the current member view.
func (b *Balancer) Members() *member.Table {
	return b.table
}

// NextTimer returns the time at which the next timer is due; ok is false if
// there is none.
func (b *Balancer) NextTimer() (at time.Time, ok bool) {
	return b.timers.Next()
}

// HandleRelay routes a datagram that another balancer relayed. h was parsed
// from the datagram, with the caller and service of r.
func (b *Balancer) HandleRelay(now time.Time, r *wire.Relay, h *packet.Header, datagram []byte) {
	if r.Hops > MaxHops {
		b.drop(h, verdict.ReasonNotKeeper)
		return
	}
	b.route(now, h, r, datagram)
}

// SetMembers replaces the member view. settled is set if a process that is not
// part of it is gone, rather than not heard of yet.
func (b *Balancer) SetMembers(t *member.Table, settled bool) {
	b.table = t
	b.settled = settled
}

// drop drops a datagram without an answer.
func (b *Balancer) drop(h *packet.Header, reason verdict.Reason) {
	b.transport.Drop(h, reason)
	b.transport.RecordDecision(&Decision{
		Header: h,
		Reason: reason,
	})
}

func (b *Balancer) refuse(h *packet.Header, v verdict.Verdict, reason verdict.Reason) {
	b.transport.Refuse(h, &keeper.Refusal{
		Error: verdict.Error{
			Verdict:    v,
			Reason:     reason,
			RetryAfter: keeper.RetryAfter,
		},
	})
	b.transport.RecordDecision(&Decision{
		Header: h,
		Reason: reason,
	})
}
