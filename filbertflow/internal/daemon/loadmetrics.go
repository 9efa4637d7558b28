package daemon

import (
	"cmp"
	"context"
	"slices"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"filbertworks.example/filbertworks/flow"
)

// maxLoadSeries is the number of series that a metric on loads has at most.
const maxLoadSeries = 64

// A loadGauge describes a metric on loads that is observed at each scrape.
type loadGauge struct {
	name        string
	description string
	samples     func(l *loadView) []loadSample
}

// A loadSample is one value of a loadGauge.
type loadSample struct {
	value  float64
	labels []attribute.KeyValue
}

// register creates the gauge, whose samples are made from the load that read returns.
func (g *loadGauge) register(meter metric.Meter, read func() *loadView) error {
	_, err := meter.Float64ObservableGauge(g.name, metric.WithDescription(g.description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, s := range g.samples(read()) {
				o.Observe(s.value, metric.WithAttributes(s.labels...))
			}
			return nil
		}))
	return err
}

// loadGauges returns the metrics on the load of zones and upstreams.
func loadGauges() []loadGauge {
	return []loadGauge{
		{
			name:        "filbertflow.load.working",
			description: "Requests in progress at the upstreams of a service in a zone.",
			samples:     roomSamples(func(r *flow.ZoneRoom) float64 { return r.Working }),
		},
		{
			name:        "filbertflow.load.capacity",
			description: "Requests that the upstreams of a service in a zone take at once.",
			samples:     roomSamples(func(r *flow.ZoneRoom) float64 { return r.Capacity }),
		},
		{
			name:        "filbertflow.load.share",
			description: "Share of this balancer's new flows of a service that goes to a zone.",
			samples:     roomSamples(func(r *flow.ZoneRoom) float64 { return r.Share }),
		},
		{
			name:        "filbertflow.upstream.capacity",
			description: "Slots' worth of work that an upstream takes, where that differs from its slots.",
			samples:     capacitySamples,
		},
		{
			name:        "filbertflow.load.series.omitted",
			description: "Zones of services, and upstreams, that the metrics on loads leave out.",
			samples:     omittedSamples,
		},
	}
}

// roomSamples returns a function that returns a value of each of the first maxLoadSeries known
// rooms.
func roomSamples(value func(r *flow.ZoneRoom) float64) func(l *loadView) []loadSample {
	return func(l *loadView) []loadSample {
		rooms := l.knownRooms()
		rooms = rooms[:min(len(rooms), maxLoadSeries)]
		samples := make([]loadSample, 0, len(rooms))
		for i := range rooms {
			samples = append(samples, loadSample{
				value:  value(&rooms[i]),
				labels: []attribute.KeyValue{attribute.String("service", rooms[i].Service), attribute.String("zone", rooms[i].Zone)},
			})
		}
		return samples
	}
}

// capacitySamples returns the capacities of the maxLoadSeries slowest upstreams.
func capacitySamples(l *loadView) []loadSample {
	slow := l.slowUpstreams()
	slow = slow[:min(len(slow), maxLoadSeries)]
	samples := make([]loadSample, 0, len(slow))
	for i := range slow {
		samples = append(samples, loadSample{
			value:  slow[i].Capacity,
			labels: []attribute.KeyValue{attribute.String("upstream", slow[i].Upstream.ID)},
		})
	}
	return samples
}

// omittedSamples returns how many zones of services and upstreams are beyond maxLoadSeries.
func omittedSamples(l *loadView) []loadSample {
	return []loadSample{
		{
			value:  float64(max(len(l.knownRooms())-maxLoadSeries, 0)),
			labels: []attribute.KeyValue{attribute.String("kind", "zone")},
		},
		{
			value:  float64(max(len(l.slowUpstreams())-maxLoadSeries, 0)),
			labels: []attribute.KeyValue{attribute.String("kind", "upstream")},
		},
	}
}

// knownRooms returns the rooms of the zones whose load is known.
func (l *loadView) knownRooms() []flow.ZoneRoom {
	if l == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(l.rooms), func(r flow.ZoneRoom) bool { return !r.Known })
}

// slowUpstreams returns the upstreams that take less work than their slots, those with the least
// capacity per slot first.
func (l *loadView) slowUpstreams() []flow.UpstreamLoad {
	if l == nil {
		return nil
	}
	slow := slices.DeleteFunc(slices.Clone(l.upstreams), func(u flow.UpstreamLoad) bool {
		return !u.Known || round(learnedCapacity(&u)) == float64(u.Upstream.Slots)
	})
	slices.SortFunc(slow, func(a, b flow.UpstreamLoad) int {
		return cmp.Or(cmp.Compare(a.Capacity/float64(max(a.Upstream.Slots, 1)), b.Capacity/float64(max(b.Upstream.Slots, 1))),
			cmp.Compare(a.Upstream.ID, b.Upstream.ID))
	})
	return slow
}
