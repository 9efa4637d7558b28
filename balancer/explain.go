package balancer

import (
	"fmt"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
	"filbertworks.example/filbertworks/wire"
)

// An Explanation describes how a datagram would be routed and why.
type Explanation struct {
	// Upstream and Keeper are empty if the datagram would be refused.
	Upstream string
	Keeper   string
	// Local is set if this balancer is the keeper.
	Local bool
	// Reason is set if the datagram would be refused.
	Reason verdict.Reason
	// Steps are short sentences, one for each step of the decision.
	Steps []string
}

// Explain returns how a datagram with header h would be routed, without sending
// or counting anything. Placement is random: an actual datagram without a
// ticket may go elsewhere.
func (b *Balancer) Explain(h *packet.Header) Explanation {
	var e Explanation
	if b.config == nil || b.config.Service(h.Service) == nil {
		e.refuse(verdict.ReasonUnknownService, "no such service in force")
		return e
	}
	s := b.config.Service(h.Service)
	t, reason := b.openTicket(h)
	if reason != verdict.ReasonNone {
		e.refuse(reason, "the ticket is not valid for this service and caller")
		return e
	}
	if t != nil {
		e.step("the ticket names upstream %d and keeper incarnation %016x", t.Upstream, t.Incarnation)
	}
	u, placed, reason := b.upstreamFor(h, t, s, &wire.Relay{})
	if u == nil {
		e.refuse(reason, "no upstream of the service takes new work")
		return e
	}
	if placed {
		e.step("upstream %s was chosen by share and load", u.Name)
	} else {
		e.step("the flow goes on at upstream %s", u.Name)
	}
	b.explainKeeper(&e, u)
	return e
}

func (b *Balancer) explainKeeper(e *Explanation, u *config.Upstream) {
	m, ok := b.table.Keeper(u.ID, u.Zone)
	if !ok {
		e.refuse(verdict.ReasonNoUpstream, "no balancer lives that could keep the upstream")
		return
	}
	e.step("balancer %s of zone %s keeps upstream %s of zone %s", m.Name, m.Zone, u.Name, u.Zone)
	e.Upstream = u.Name
	e.Keeper = m.Name
	e.Local = m.Incarnation == b.options.Incarnation
}

func (e *Explanation) refuse(reason verdict.Reason, explanation string) {
	e.Reason = reason
	e.Steps = append(e.Steps, explanation)
}

func (e *Explanation) step(format string, args ...any) {
	e.Steps = append(e.Steps, fmt.Sprintf(format, args...))
}
