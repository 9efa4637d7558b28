package cmd

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/sdk/metric"

	"filbertworks.example/filbertworks/filbertd/internal/admin"
	"filbertworks.example/filbertworks/filbertd/internal/daemon"
	"filbertworks.example/filbertworks/filbertd/internal/platform"
	"filbertworks.example/filbertworks/filbertd/internal/settings"
	"filbertworks.example/filbertworks/keeper"
)

// shutdownTimeout bounds the wait for operators' calls in progress at the end.
const shutdownTimeout = 2 * time.Second

// components holds the settings of one run and the parts built from them.
type components struct {
	settings *settings.Settings
	log      *logrus.Entry
	daemon   *daemon.Daemon
	admin    *admin.Server
}

// newComponents builds the parts of a run with the given settings. Logs are
// written to logs.
func newComponents(s *settings.Settings, logs io.Writer) (*components, error) {
	c := &components{
		settings: s,
		log:      newLog(s, logs),
	}
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	meters := metric.NewMeterProvider(metric.WithReader(exporter))
	c.daemon, err = daemon.New(daemon.Options{
		Name:       s.Name,
		Zone:       s.Zone,
		CallerIP:   s.Callers.IP,
		UpstreamIP: s.Upstreams.IP,
		Relay:      s.Relay.Listen,
		Control:    s.Control.Listen,
		Admin:      s.Admin.Listen,
		Limits: keeper.Limits{
			Exchanges:     s.Limits.Flows,
			LedgerEntries: s.Limits.Requests,
		},
		QueueSize: s.Limits.Queue,
		Platform:  platform.New(s.Platform.URL, platform.WithTimeout(s.Platform.Timeout)),
		Log:       c.log,
		Meter:     meters.Meter("filbertd"),
	})
	if err != nil {
		return nil, err
	}
	c.admin = admin.New(c.daemon, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return c, nil
}

// run serves until ctx ends, the daemon has left or a server fails.
func (c *components) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.settings.Admin.Listen.String())
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	failed := make(chan error, 1)
	go func() {
		if err := c.admin.Serve(listener); err != nil && !eris.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	done := make(chan error, 1)
	go func() { done <- c.daemon.Run(ctx) }()
	select {
	case err = <-done:
	case err = <-failed:
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return eris.Wrap(firstError(err, c.admin.Shutdown(shutdownCtx)), "serve")
}

func firstError(errors ...error) error {
	for _, err := range errors {
		if err != nil {
			return err
		}
	}
	return nil
}

func newLog(s *settings.Settings, w io.Writer) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(s.Log.Level)
	if s.Log.Format == settings.FormatJSON {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log.WithField("balancer", s.Name)
}
