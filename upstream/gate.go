// Package upstream decides how much work an upstream may be given.
package upstream

import (
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/verdict"
)

// A Result is how a request at an upstream ended.
type Result uint8

// Results of requests.
const (
	// ResultAnswered is an answer in time.
	ResultAnswered Result = iota
	// ResultShed is a refusal by the upstream itself.
	ResultShed
	// ResultTimeout is a deadline without an answer.
	ResultTimeout
	// ResultCancelled says nothing of the upstream.
	ResultCancelled
)

// A Gate admits requests and watches to one upstream.
type Gate struct {
	slots       uint32
	connections uint32
	// limit is 1 to slots.
	limit uint32
	// successes counts answers since the limit last changed.
	successes uint32

	// requests never exceeds limit at an admission.
	requests uint32
	// watches never exceeds connections at an admission.
	watches uint32
	sheds   uint64
}

// NewGate returns the gate of an upstream of which nothing is known: it admits
// one request at first.
func NewGate(u *config.Upstream) *Gate {
	g := &Gate{limit: 1}
	g.Configure(u)
	return g
}

// AdmitRequest takes a slot, or returns why it doesn't.
func (g *Gate) AdmitRequest(_ time.Time) verdict.Reason {
	if g.requests >= g.limit {
		return verdict.ReasonBusy
	}
	g.requests++
	return verdict.ReasonNone
}

// AdmitWatch takes a connection, or returns why it doesn't.
func (g *Gate) AdmitWatch(_ time.Time) verdict.Reason {
	if g.watches >= g.connections {
		return verdict.ReasonConnections
	}
	g.watches++
	return verdict.ReasonNone
}

// Configure sets the limits that operators give.
func (g *Gate) Configure(u *config.Upstream) {
	g.slots = u.Slots
	g.connections = u.Connections
	g.limit = min(g.limit, g.slots)
}

// EndRequest gives back a slot. latency is the time from sending to the answer.
func (g *Gate) EndRequest(_ time.Time, r Result, _ time.Duration) {
	g.requests--
	switch r {
	case ResultAnswered:
		g.successes++
		if g.successes >= g.limit && g.limit < g.slots {
			g.limit++
			g.successes = 0
		}
	case ResultShed:
		g.sheds++
		g.limit = max(1, g.limit/2)
		g.successes = 0
	case ResultTimeout:
		g.limit = max(1, g.limit/2)
		g.successes = 0
	case ResultCancelled:
	}
}

// EndWatch gives back a connection.
func (g *Gate) EndWatch(_ time.Time) {
	g.watches--
}

// Limit returns how many requests are admitted at present.
func (g *Gate) Limit() uint32 {
	return g.limit
}

// ReadmitWatch takes a connection for a watch that the upstream holds already,
// through another keeper, or returns why it doesn't. As the former keeper may
// have filled all connections while this one admitted new watches, it refuses
// from twice the connections on.
func (g *Gate) ReadmitWatch(_ time.Time) verdict.Reason {
	if g.watches >= 2*g.connections {
		return verdict.ReasonConnections
	}
	g.watches++
	return verdict.ReasonNone
}

// Requests returns the number of requests in flight.
func (g *Gate) Requests() uint32 {
	return g.requests
}

// Sheds returns how many requests the upstream refused so far.
func (g *Gate) Sheds() uint64 {
	return g.sheds
}

// Watches returns the number of open watches.
func (g *Gate) Watches() uint32 {
	return g.watches
}
