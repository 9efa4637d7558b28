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
	// MaxAttempts is the greatest number of upstreams that a request is offered
	// to.
	MaxAttempts = 3
	// MaxHops is the greatest number of balancers that a datagram passes after
	// the one that received it.
	MaxHops = 4
)

// A Transport carries out a balancer's decisions; see keeper.Transport.
type Transport interface {
	keeper.Transport
	// Drop counts a datagram that is not answered.
	Drop(h *packet.Header, reason verdict.Reason)
	// Relay passes a caller's datagram on to another balancer.
	Relay(to *member.Member, r *wire.Relay, datagram []byte)
	// RecordDecision tells of a decision, for logs.
	RecordDecision(d *Decision)
}

// A Decision is where a caller's datagram goes.
type Decision struct {
	Header *packet.Header
	// Upstream is zero where the datagram was refused.
	Upstream uint32
	// Keeper is empty where the datagram was refused.
	Keeper string
	// Placed tells that the upstream was chosen anew rather than followed.
	Placed bool
	// Reason says why the datagram was refused or placed anew.
	Reason verdict.Reason
}

// Options are what a balancer is made of.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64
	Start       time.Time
	Limits      keeper.Limits
	// Rand makes the random choices of placement.
	Rand      *rand.Rand
	Transport Transport
	// Releaser may be nil: watches that move then stay with their former keeper
	// until its lease ends.
	Releaser Releaser
	// StartupGrace is the time after Start in which no rights to executions are given.
	StartupGrace time.Duration
}

// A Balancer routes datagrams under the configuration and member view in force.
// It is not safe for concurrent use.
type Balancer struct {
	options Options
	outlet  Transport
	timers  *timer.Queue
	keeper  *keeper.Keeper
	picker  *placement.Picker
	// config is nil until the first configuration is in force.
	config *config.Snapshot
	sealer *ticket.Sealer
	// sealingKey is the key with which sealer seals.
	sealingKey config.Key
	table      *member.Table
	// settled tells that members not in table are gone.
	settled bool
	// budgets are those of the services' retries.
	budgets map[uint32]*retry.Budget
	loads   *placement.Table
	// ownershipVersion is the version at the last review of the upstreams kept.
	ownershipVersion config.Version
	// openedTicket is scratch space for the ticket of the datagram in hand.
	openedTicket ticket.Ticket
	// scratch is space for what the decision in hand passes on.
	scratch scratch
}

// A scratch holds what would be allocated for each datagram otherwise.
type scratch struct {
	relay    wire.Relay
	decision Decision
	request  keeper.Request
	member   member.Member
}

// New returns a balancer without a configuration: it drops every datagram until
// Configure.
func New(o Options) *Balancer {
	b := &Balancer{
		options: o,
		outlet:  o.Transport,
		timers:  timer.NewQueue(),
		table:   member.NewTable(nil),
		budgets: make(map[uint32]*retry.Budget),
		loads:   placement.NewTable(),
	}
	b.keeper = keeper.New(o.Start, o.Incarnation, o.Limits, b.timers, (*sealer)(b), o.Transport, (*retrier)(b),
		keeper.WithReleaser((*releaser)(b)), keeper.WithStartupGrace(o.StartupGrace))
	b.picker = placement.NewPicker(o.Zone, b.loads, o.Rand)
	return b
}

// Advance runs the timers due at now.
func (b *Balancer) Advance(now time.Time) {
	b.loads.Advance(now)
	b.timers.Advance(now)
}

// HandleUpstreamMessage takes an upstream's message and reports whether it belongs to open
// work.
func (b *Balancer) HandleUpstreamMessage(now time.Time, upstream uint32, a *keeper.UpstreamMessage, datagram []byte) bool {
	return b.keeper.HandleUpstreamMessage(now, upstream, a, datagram)
}

// HandleCaller takes a datagram that a caller sent to this balancer.
func (b *Balancer) HandleCaller(now time.Time, h *packet.Header, datagram []byte) {
	b.scratch.relay = wire.Relay{
		Caller:  h.Caller,
		Service: h.Service,
	}
	b.route(now, h, &b.scratch.relay, datagram)
}

// Config returns the configuration in force, or nil.
func (b *Balancer) Config() *config.Snapshot {
	return b.config
}

// Configure puts a configuration in force, unless one of the same or a higher
// version is, and reports whether it did.
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

// Keeper returns the part that holds this balancer's own upstreams.
func (b *Balancer) Keeper() *keeper.Keeper {
	return b.keeper
}

// Members returns the member view in force.
func (b *Balancer) Members() *member.Table {
	return b.table
}

// NextTimer returns the time of the next timer; ok is false where there is none.
func (b *Balancer) NextTimer() (at time.Time, ok bool) {
	return b.timers.Next()
}

// HandleRelay takes a datagram that another balancer passed on; h was read from
// the datagram, with caller and service from r.
func (b *Balancer) HandleRelay(now time.Time, r *wire.Relay, h *packet.Header, datagram []byte) {
	if r.Hops > MaxHops {
		b.drop(h, verdict.ReasonNotKeeper)
		return
	}
	b.route(now, h, r, datagram)
}

// SetMembers puts a member view in force. settled tells that a process which is
// not part of it is gone rather than not heard yet.
func (b *Balancer) SetMembers(t *member.Table, settled bool) {
	b.table = t
	b.settled = settled
}

func (b *Balancer) drop(h *packet.Header, reason verdict.Reason) {
	b.outlet.Drop(h, reason)
	b.outlet.RecordDecision(&Decision{
		Header: h,
		Reason: reason,
	})
}

func (b *Balancer) refuse(h *packet.Header, v verdict.Verdict, reason verdict.Reason) {
	b.outlet.Refuse(h, &keeper.Refusal{
		Error: verdict.Error{
			Verdict:    v,
			Reason:     reason,
			RetryAfter: keeper.RetryAfter,
		},
	})
	b.outlet.RecordDecision(&Decision{
		Header: h,
		Reason: reason,
	})
}
