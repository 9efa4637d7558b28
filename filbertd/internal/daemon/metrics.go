package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"filbertworks.example/filbertworks/status"
)

// gauges holds the metrics of the daemon's state.
type gauges struct {
	version     metric.Int64ObservableGauge
	versionAge  metric.Float64ObservableGauge
	platformAge metric.Float64ObservableGauge
	members     metric.Int64ObservableGauge
	flows       metric.Int64ObservableGauge
	waiting     metric.Int64ObservableGauge
	upstream    metric.Int64ObservableGauge
}

// registerGauges creates the gauges and registers a callback that records the
// daemon's state whenever the metrics are read.
func (d *Daemon) registerGauges(meter metric.Meter) error {
	g := &gauges{}
	var errs [7]error
	g.version, errs[0] = meter.Int64ObservableGauge("filbertd.config.version",
		metric.WithDescription("Configuration version in force."))
	g.versionAge, errs[1] = meter.Float64ObservableGauge("filbertd.config.age",
		metric.WithUnit("s"), metric.WithDescription("Time since the version in force came into force."))
	g.platformAge, errs[2] = meter.Float64ObservableGauge("filbertd.platform.age",
		metric.WithUnit("s"), metric.WithDescription("Time since the platform last answered."))
	g.members, errs[3] = meter.Int64ObservableGauge("filbertd.members",
		metric.WithDescription("Balancers in the view by state."))
	g.flows, errs[4] = meter.Int64ObservableGauge("filbertd.flows",
		metric.WithDescription("Open watches and requests."))
	g.waiting, errs[5] = meter.Int64ObservableGauge("filbertd.ring.waiting",
		metric.WithDescription("Entries that wait in a ring."))
	g.upstream, errs[6] = meter.Int64ObservableGauge("filbertd.upstream",
		metric.WithDescription("Requests, watches, queued requests and limit of the upstreams kept here."))
	for _, err := range errs {
		if err != nil {
			return eris.Wrap(err, "make gauge")
		}
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		d.recordGauges(o, g)
		return nil
	}, g.version, g.versionAge, g.platformAge, g.members, g.flows, g.waiting, g.upstream)
	return eris.Wrap(err, "register gauges")
}

// recordGauges records the current state.
func (d *Daemon) recordGauges(o metric.Observer, g *gauges) {
	s := d.Status()
	o.ObserveInt64(g.version, int64(s.Version))
	o.ObserveFloat64(g.versionAge, time.Duration(s.VersionAge).Seconds())
	o.ObserveFloat64(g.platformAge, time.Duration(s.PlatformAge).Seconds())
	o.ObserveInt64(g.flows, int64(s.Flows))
	states := make(map[string]int64)
	for i := range s.Members {
		states[s.Members[i].State]++
	}
	for state, n := range states {
		o.ObserveInt64(g.members, n, metric.WithAttributes(attribute.String("state", state)))
	}
	for name, n := range d.ringLengths() {
		o.ObserveInt64(g.waiting, int64(n), metric.WithAttributes(attribute.String("ring", name)))
	}
	for i := range s.Services {
		for j := range s.Services[i].Upstreams {
			d.recordUpstream(o, g, &s.Services[i].Upstreams[j])
		}
	}
}

// recordUpstream records the state of an upstream whose keeper is this balancer.
func (d *Daemon) recordUpstream(o metric.Observer, g *gauges, u *status.Upstream) {
	if u.Keeper != d.options.Name {
		return
	}
	values := map[string]int{
		"requests": u.Requests,
		"watches":  u.Connections,
		"queued":   u.Queued,
		"limit":    u.Limit,
	}
	for what, n := range values {
		o.ObserveInt64(g.upstream, int64(n), metric.WithAttributes(
			attribute.String("upstream", u.Name),
			attribute.String("what", what),
		))
	}
}

// ringLengths returns the number of waiting entries of each ring by its metric
// label.
func (d *Daemon) ringLengths() map[string]int {
	return map[string]int{
		"events":  d.events.Len(),
		"journal": d.journal.records.Len(),
		"callers": d.transport.callerSender.queue.Len(),
		"inward":  d.transport.upstreamSender.queue.Len(),
	}
}
