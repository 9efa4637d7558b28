package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/status"
)

// statusTimeout bounds the wait for the loop's answer to an operator.
const statusTimeout = 2 * time.Second

// Drain starts a graceful leave.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { close(d.draining) })
}

// Explain tells where a datagram would go.
func (d *Daemon) Explain(q status.Query) (status.Explanation, error) {
	var e status.Explanation
	var err error
	d.ask(func(time.Time) { e, err = d.explain(q) })
	return e, err
}

// Ready returns why the balancer can't serve callers, or nil.
func (d *Daemon) Ready() error {
	err := eris.New("the loop does not answer")
	d.ask(func(time.Time) {
		err = nil
		if d.balancer.Config() == nil {
			err = eris.New("no configuration yet")
		}
	})
	return err
}

// Status returns the state of now.
func (d *Daemon) Status() status.Status {
	var s status.Status
	d.ask(func(now time.Time) { s = d.status(now) })
	return s
}

// ask runs f in the loop's goroutine, if the loop answers in time.
func (d *Daemon) ask(f func(now time.Time)) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	d.call(ctx, f)
}

func (d *Daemon) counterList() []status.Counter {
	var all []status.Counter
	for _, n := range d.counters.list() {
		all = append(all, status.Counter{
			Name:   n.name,
			Reason: n.reason,
			Value:  n.value,
		})
	}
	return all
}

func (d *Daemon) explain(q status.Query) (status.Explanation, error) {
	return status.Explanation{}, eris.Wrapf(status.ErrQuery, "no service %q", q.Service)
}

func (d *Daemon) status(now time.Time) status.Status {
	s := status.Status{
		Name:        d.options.Name,
		Zone:        d.options.Zone,
		Incarnation: fmt.Sprintf("%016x", d.incarnation),
		Counters:    d.counterList(),
		Flows:       d.balancer.Keeper().Exchanges(),
	}
	for _, m := range d.balancer.Members().Members() {
		s.Members = append(s.Members, status.Member{
			Name:  m.Name,
			Zone:  m.Zone,
			State: m.State.String(),
		})
	}
	c := d.balancer.Config()
	if c == nil {
		return s
	}
	s.Version = c.Version
	s.VersionAge = config.Duration(now.Sub(d.installed))
	for i := range c.Document.Services {
		s.Services = append(s.Services, d.serviceStatus(&c.Document.Services[i]))
	}
	return s
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
		g := d.balancer.Keeper().Gate(u)
		s.Limit = int(g.Limit())
		s.Requests = int(g.Requests())
		s.Connections = int(g.Watches())
		s.Sheds = g.Sheds()
	}
	return s
}
