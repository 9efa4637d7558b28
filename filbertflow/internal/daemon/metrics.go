package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/sdk/instrumentation"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/flow"
)

// meterName is the instrumentation scope of the daemon's metrics.
const meterName = "filbertflow"

// pathMetrics is the pattern of the metrics endpoint.
const pathMetrics = "GET /metrics"

// serveMetrics serves metrics and the shared load until ctx ends. The instruments are created at the
// first scrape, so that a starting balancer can forward packets sooner.
func (d *Daemon) serveMetrics(ctx context.Context) {
	if !d.options.Metrics.IsValid() {
		return
	}
	var once sync.Once
	var handler http.Handler
	var failure error
	mux := http.NewServeMux()
	mux.HandleFunc(pathMetrics, func(w http.ResponseWriter, r *http.Request) {
		once.Do(func() { handler, failure = d.newMetrics() })
		if failure != nil {
			d.log.Warn(time.Now(), "daemon: can't create metrics", logs.F("error", failure.Error()))
			http.Error(w, "no metrics", http.StatusInternalServerError)
			return
		}
		handler.ServeHTTP(w, r)
	})
	mux.HandleFunc(pathLoad, d.serveLoad)
	d.serveHTTP(ctx, d.options.Metrics, mux)
}

func (d *Daemon) newMetrics() (http.Handler, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(
		otelprometheus.WithRegisterer(registry),
		otelprometheus.WithProducer(&d.counters.latency),
		otelprometheus.WithProducer(&d.counters.waited),
	)
	if err != nil {
		return nil, eris.Wrap(err, "exporter")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter(meterName)
	for _, i := range d.instruments() {
		if err := i.register(meter); err != nil {
			return nil, eris.Wrap(err, i.name)
		}
	}
	for _, g := range loadGauges() {
		if err := g.register(meter, d.load.Load); err != nil {
			return nil, eris.Wrap(err, g.name)
		}
	}
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), nil
}

// A sample is one value of an instrument.
type sample struct {
	value int64
	// label is the value of the instrument's attribute, if it has one.
	label string
}

// An instrument describes a metric that is observed at each scrape.
type instrument struct {
	name        string
	description string
	unit        string
	// attribute is the name of the samples' label; empty if there is a single
	// sample without a label.
	attribute string
	// gauge tells that the value may decrease.
	gauge   bool
	samples func() []sample
}

func (i *instrument) register(meter metric.Meter) error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		for _, s := range i.samples() {
			if i.attribute == "" {
				o.Observe(s.value)
				continue
			}
			o.Observe(s.value, metric.WithAttributes(attribute.String(i.attribute, s.label)))
		}
		return nil
	}
	var err error
	if i.gauge {
		_, err = meter.Int64ObservableGauge(i.name, metric.WithDescription(i.description), metric.WithUnit(i.unit),
			metric.WithInt64Callback(observe))
	} else {
		_, err = meter.Int64ObservableCounter(i.name, metric.WithDescription(i.description), metric.WithUnit(i.unit),
			metric.WithInt64Callback(observe))
	}
	return err
}

// singleSample returns the samples function of an instrument without labels.
func singleSample(value func() int64) func() []sample {
	return func() []sample { return []sample{{value: value()}} }
}

func (d *Daemon) instruments() []instrument {
	c := d.counters
	return []instrument{
		{
			name:        "filbertflow.decisions",
			description: "Packets by what decided on them.",
			attribute:   "reason",
			samples:     c.byReason,
		},
		{
			name:        "filbertflow.packets",
			description: "Packets by what was done with them.",
			attribute:   "action",
			samples: func() []sample {
				return []sample{
					{
						value: int64(c.forwarded.Load()),
						label: flow.Forward.String(),
					},
					{
						value: int64(c.rejected.Load()),
						label: flow.Reject.String(),
					},
					{
						value: int64(c.dropped.Load()),
						label: flow.Drop.String(),
					},
				}
			},
		},
		{
			name:        "filbertflow.requests",
			description: "Requests that started on flows.",
			samples:     singleSample(func() int64 { return int64(c.requests.Load()) }),
		},
		{
			name:        "filbertflow.flows",
			description: "Flows remembered.",
			gauge:       true,
			samples:     singleSample(c.flows.Load),
		},
		{
			name:        "filbertflow.flows.abandoned",
			description: "Open flows reset since their upstream was found dead.",
			samples:     singleSample(func() int64 { return int64(c.abandoned.Load()) }),
		},
		{
			name:        "filbertflow.beliefs",
			description: "Changes of what is believed of upstreams.",
			attribute:   "state",
			samples:     c.byState,
		},
		{
			name:        "filbertflow.beliefs.busy",
			description: "Times that an upstream was taken to be behind with its work.",
			samples:     singleSample(func() int64 { return int64(c.busy.Load()) }),
		},
		{
			name:        "filbertflow.flows.ambiguous",
			description: "Changes of what is known of flows whose first packet may have reached several upstreams.",
			samples:     singleSample(func() int64 { return int64(c.ambiguous.Load()) }),
		},
		{
			name:        "filbertflow.lookups.answered",
			description: "Lookups of peers for a flow that this balancer knows.",
			samples:     singleSample(func() int64 { return int64(c.lookupsAnswered.Load()) }),
		},
		{
			name:        "filbertflow.openings.sent",
			description: "Bytes sent for lookups, the answers to them and ambiguous flows.",
			unit:        "By",
			samples:     singleSample(func() int64 { return int64(c.openingBytes.Load()) }),
		},
		{
			name:        "filbertflow.inquiries",
			description: "Inquiries whether an upstream is dead, by what happened to them.",
			attribute:   "event",
			samples:     c.byInquiryEvent,
		},
		{
			name:        "filbertflow.probes",
			description: "Connections to upstreams that should have answered.",
			attribute:   "result",
			samples:     c.byProbeResult,
		},
		{
			name:        "filbertflow.probes.skipped",
			description: "Upstreams left unprobed since too many waited.",
			samples:     singleSample(func() int64 { return int64(d.probeQueue.Refused()) }),
		},
		{
			name:        "filbertflow.malformed",
			description: "Datagrams that could not be read.",
			samples:     singleSample(func() int64 { return int64(c.malformed.Load()) }),
		},
		{
			name:        "filbertflow.socket.errors",
			description: "Datagrams that could not be taken or sent.",
			samples:     singleSample(func() int64 { return int64(c.socketErrors.Load()) }),
		},
		{
			name:        "filbertflow.store.calls",
			description: "Calls of the platform's store.",
			attribute:   "call",
			samples: func() []sample {
				return []sample{
					{
						value: int64(c.lists.Load()),
						label: "list",
					},
					{
						value: int64(c.watches.Load()),
						label: "watch",
					},
				}
			},
		},
		{
			name:        "filbertflow.store.errors",
			description: "Calls of the platform's store that failed.",
			samples:     singleSample(func() int64 { return int64(c.storeErrors.Load()) }),
		},
		{
			name:        "filbertflow.store.received",
			description: "Size of the responses of the platform's store that were read to their end.",
			unit:        "By",
			samples:     singleSample(func() int64 { return int64(c.storeBytes.Load()) }),
		},
		{
			name:        "filbertflow.verifications",
			description: "Questions to other balancers whether they have seen later packets of flows of a dead upstream.",
			attribute:   "event",
			samples:     c.byVerificationEvent,
		},
		{
			name:        "filbertflow.store.age",
			description: "Time since the store last answered this balancer or one that told it.",
			unit:        "ms",
			gauge:       true,
			samples:     singleSample(func() int64 { return d.storeAge().Milliseconds() }),
		},
		{
			name:        "filbertflow.directory.revision",
			description: "Revision of what is known.",
			gauge:       true,
			samples:     singleSample(func() int64 { return int64(c.revision.Load()) }),
		},
		{
			name:        "filbertflow.directory.era",
			description: "Era of the store that the revision is of.",
			gauge:       true,
			samples:     singleSample(func() int64 { return int64(c.era.Load()) }),
		},
		{
			name:        "filbertflow.directory.restores",
			description: "New eras of the store that this balancer has entered.",
			samples:     singleSample(func() int64 { return int64(c.restores.Load()) }),
		},
		{
			name:        "filbertflow.directory.retained",
			description: "Items of earlier eras that precede those of the store.",
			gauge:       true,
			samples:     singleSample(c.retained.Load),
		},
		{
			name:        "filbertflow.directory.upstreams",
			description: "Upstreams listed.",
			gauge:       true,
			samples:     singleSample(c.upstreams.Load),
		},
		{
			name:        "filbertflow.plan.version",
			description: "Configuration version in force.",
			gauge:       true,
			samples: singleSample(func() int64 {
				if v := d.view.Load(); v != nil && v.Plan != nil {
					return int64(v.Plan.Version)
				}
				return 0
			}),
		},
		{
			name:        "filbertflow.peers",
			description: "Balancers known, by state.",
			attribute:   "state",
			gauge:       true,
			samples:     c.byPeerState,
		},
		{
			name:        "filbertflow.peers.sent",
			description: "Bytes sent to other balancers.",
			unit:        "By",
			samples:     singleSample(func() int64 { return int64(c.peerBytes.Load()) }),
		},
		{
			name:        "filbertflow.load.reports",
			description: "Load reports received from other balancers.",
			samples:     singleSample(func() int64 { return int64(c.loadReports.Load()) }),
		},
		{
			name:        "filbertflow.load.digests",
			description: "Load digests received from other balancers.",
			samples:     singleSample(func() int64 { return int64(c.loadDigests.Load()) }),
		},
		{
			name:        "filbertflow.load.sent",
			description: "Bytes sent for load reports, digests and summaries.",
			unit:        "By",
			samples:     singleSample(func() int64 { return int64(c.loadBytes.Load()) }),
		},
		{
			name:        "filbertflow.load.capacity.changes",
			description: "Changes of an upstream's learned capacity, seen by this balancer as a collector.",
			samples:     singleSample(func() int64 { return int64(c.capacityChanges.Load()) }),
		},
		{
			name:        "filbertflow.admission.waiting",
			description: "First packets that wait for admission.",
			gauge:       true,
			samples:     singleSample(c.waiting.Load),
		},
		{
			name:        "filbertflow.ring.items",
			description: "Events that wait for the directory.",
			gauge:       true,
			samples:     singleSample(func() int64 { return int64(d.events.Len()) }),
		},
		{
			name:        "filbertflow.ring.refused",
			description: "Events that the directory's ring had no room for.",
			samples:     singleSample(func() int64 { return int64(d.events.Refused()) }),
		},
		{
			name:        "filbertflow.log.dropped",
			description: "Log lines left out.",
			samples:     singleSample(func() int64 { return int64(d.log.Dropped()) }),
		},
	}
}

// Produce returns the histogram as a metric.
func (h *histogram) Produce(context.Context) ([]metricdata.ScopeMetrics, error) {
	point := metricdata.HistogramDataPoint[float64]{
		StartTime:    h.start,
		Time:         time.Now(),
		Sum:          time.Duration(h.sum.Load()).Seconds(),
		BucketCounts: make([]uint64, histogramBuckets),
	}
	bound := h.first
	for i := range histogramBuckets {
		point.BucketCounts[i] = h.buckets[i].Load()
		point.Count += point.BucketCounts[i]
		if i < histogramBuckets-1 {
			point.Bounds = append(point.Bounds, bound.Seconds())
		}
		bound *= 2
	}
	return []metricdata.ScopeMetrics{{
		Scope: instrumentation.Scope{Name: meterName},
		Metrics: []metricdata.Metrics{{
			Name:        h.name,
			Description: h.description,
			Unit:        "s",
			Data: metricdata.Histogram[float64]{
				DataPoints:  []metricdata.HistogramDataPoint[float64]{point},
				Temporality: metricdata.CumulativeTemporality,
			},
		}},
	}}, nil
}
