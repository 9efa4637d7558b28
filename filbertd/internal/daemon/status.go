package daemon

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/balancer"
	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/status"
	"filbertworks.example/filbertworks/verdict"
)

// statusTimeout bounds the wait for the loop in an operator's call.
const statusTimeout = 2 * time.Second

// Drain starts a graceful leave.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { close(d.draining) })
}

// Explain returns the decision that the balancer would make on a datagram that
// opens a watch, and the reasons for it.
func (d *Daemon) Explain(q status.Query) (status.Explanation, error) {
	var e status.Explanation
	var err error
	d.callWithTimeout(func(time.Time) { e, err = d.explain(q) })
	return e, err
}

// Ready returns why the balancer can't serve callers, or nil.
func (d *Daemon) Ready() error {
	err := eris.New("the loop does not answer")
	d.callWithTimeout(func(now time.Time) {
		err = d.ready(now)
	})
	return err
}

// Status returns the current state of the balancer. It is empty if the loop does
// not answer within statusTimeout.
func (d *Daemon) Status() status.Status {
	var s status.Status
	d.callWithTimeout(func(now time.Time) { s = d.status(now) })
	return s
}

// callWithTimeout runs f in the loop's goroutine, unless the loop does not accept
// it within statusTimeout.
func (d *Daemon) callWithTimeout(f func(now time.Time)) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	d.call(ctx, f)
}

// counterList returns the values of all counters, including the rings' refusals.
func (d *Daemon) counterList() []status.Counter {
	counts := append(d.counters.list(), d.ringRefusals()...)
	all := make([]status.Counter, 0, len(counts))
	for _, n := range counts {
		all = append(all, status.Counter{
			Name:   n.name,
			Reason: n.reason,
			Value:  n.value,
		})
	}
	return all
}

// ringRefusals returns the number of entries that each full ring has refused.
func (d *Daemon) ringRefusals() []count {
	return []count{
		{
			name:   "ring",
			reason: "events-full",
			value:  d.events.Refused(),
		},
		{
			name:   "ring",
			reason: "journal-full",
			value:  d.journal.records.Refused(),
		},
	}
}

func (d *Daemon) explain(q status.Query) (status.Explanation, error) {
	c := d.balancer.Config()
	if c == nil {
		return status.Explanation{}, eris.Wrap(status.ErrQuery, "no configuration yet")
	}
	i := slices.IndexFunc(c.Document.Services, func(s config.Service) bool { return s.Name == q.Service })
	if i < 0 {
		return status.Explanation{}, eris.Wrapf(status.ErrQuery, "no service %q", q.Service)
	}
	e := d.balancer.Explain(&packet.Header{
		Service: c.Document.Services[i].ID,
		Caller:  q.Caller,
		Kind:    packet.KindWatchOpen,
		Token:   packet.TokenOf(q.Token),
		Ticket:  q.Ticket,
	})
	return status.Explanation{
		Service:  q.Service,
		Upstream: e.Upstream,
		Keeper:   e.Keeper,
		Decision: decisionOf(&e),
		Why:      e.Steps,
	}, nil
}

// decisionOf returns the name of an explained decision.
func decisionOf(e *balancer.Explanation) string {
	switch {
	case e.Reason != verdict.ReasonNone:
		return "refuse"
	case e.Local:
		return "forward"
	default:
		return "relay"
	}
}

// ready returns why the balancer can't serve callers at now, or nil. The errors
// are part of the answer to operators.
func (d *Daemon) ready(now time.Time) error {
	if d.tracker.Leaving() {
		return eris.New("the balancer leaves")
	}
	if d.balancer.Config() == nil {
		return eris.New("no configuration yet")
	}
	version, _ := d.history.Current()
	if !d.freshness.Confirmed(now, version) {
		return eris.New("no peer or platform has confirmed the configuration yet")
	}
	if !d.tracker.Settled(now) {
		return eris.New("not all listed VMs have been heard yet")
	}
	return nil
}

func (d *Daemon) status(now time.Time) status.Status {
	s := status.Status{
		Name:        d.options.Name,
		Zone:        d.options.Zone,
		Incarnation: fmt.Sprintf("%016x", d.incarnation),
		Counters:    d.counterList(),
		Flows:       d.balancer.Keeper().Exchanges(),
	}
	s.PlatformAge = config.Duration(d.tracker.PlatformAge(now))
	s.Members = d.memberStatus(now)
	c := d.balancer.Config()
	if c == nil {
		return s
	}
	s.Version = c.Version
	s.VersionAge = config.Duration(now.Sub(d.installedAt))
	for i := range c.Document.Services {
		s.Services = append(s.Services, d.serviceStatus(&c.Document.Services[i]))
	}
	return s
}

func (d *Daemon) memberStatus(now time.Time) []status.Member {
	members := d.tracker.Members()
	all := make([]status.Member, 0, len(members))
	for i := range members {
		m := &members[i]
		v := status.Member{
			Name:    m.Name,
			Zone:    m.Zone,
			State:   m.State.String(),
			Version: m.Version,
		}
		if m.Suspected {
			v.State = "suspect"
		}
		if !m.LastHeard.IsZero() {
			v.LastHeard = config.Duration(now.Sub(m.LastHeard))
		}
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b status.Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (d *Daemon) serviceStatus(v *config.Service) status.Service {
	s := status.Service{Name: v.Name}
	for i := range v.Upstreams {
		s.Upstreams = append(s.Upstreams, d.upstreamStatus(&v.Upstreams[i]))
	}
	return s
}

func (d *Daemon) upstreamStatus(u *config.Upstream) status.Upstream {
	s := status.Upstream{
		Name:  u.Name,
		Zone:  u.Zone,
		State: string(u.State),
	}
	if m, ok := d.balancer.Members().Keeper(u.ID, u.Zone); ok {
		s.Keeper = m.Name
	}
	if s.Keeper == d.options.Name {
		limiter := d.balancer.Keeper().Limiter(u)
		s.Limit = int(limiter.Limit())
		s.Requests = int(limiter.Requests())
		s.Connections = int(limiter.Watches())
		s.Sheds = limiter.Sheds()
		s.Queued = d.balancer.Keeper().Queued(u.ID)
	}
	return s
}
