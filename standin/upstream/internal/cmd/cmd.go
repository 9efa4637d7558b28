// Package cmd implements the command line of the upstream stand-in.
package cmd

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"filbertworks.example/filbertworks/commandline"
	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/internal/standin"
	"filbertworks.example/filbertworks/standin/upstream/internal/host"
)

type options struct {
	Config  string        `long:"config" required:"true" description:"file with the configuration document"`
	Service []string      `long:"service" description:"name of a service to serve; may repeat, all by default"`
	Zone    string        `long:"zone" description:"serve only the upstreams of this zone"`
	Control string        `long:"control" default:"127.0.0.1:7310" description:"HTTP address for counters and faults"`
	Work    time.Duration `long:"work" default:"20ms" description:"mean service time of a request"`
	Lag     time.Duration `long:"lag" default:"500ms" description:"age that load reports reach"`
	Notify  time.Duration `long:"notify" default:"500ms" description:"interval between the notifications of a watch"`
}

// Main runs the program and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	log := logrus.New()
	log.SetOutput(stderr)
	var o options
	fail := func(err error) { log.Errorf("upstream: %v", err) }
	return commandline.Serve("upstream", &o, arguments, stdout, fail, func(ctx context.Context) error { return run(ctx, &o, log) })
}

func run(ctx context.Context, o *options, log *logrus.Logger) error {
	var document config.Document
	if err := standin.ReadFile(o.Config, &document); err != nil {
		return err
	}
	selection := host.Selection{
		Services: o.Service,
		Zone:     o.Zone,
	}
	settings := host.Settings{
		ServiceTime:          o.Work,
		ReportInterval:       o.Lag,
		NotificationInterval: o.Notify,
	}
	fleet, err := host.NewFleet(&document, selection, settings, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{
		Addr:              o.Control,
		Handler:           fleet.Handler(),
		ReadHeaderTimeout: 5 * time.Second,
	}
	failed := make(chan error, 1)
	go func() {
		err := server.ListenAndServe()
		if !errors.Is(err, http.ErrServerClosed) {
			failed <- eris.Wrap(err, "control")
		}
		cancel()
	}()
	log.Infof("upstream: control server listening on %s", o.Control)
	fleet.Run(ctx)
	_ = server.Close()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}
