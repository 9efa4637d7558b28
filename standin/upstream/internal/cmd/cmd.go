// Package cmd is the command line of the upstream stand-in.
package cmd

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

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
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.ParseArgs(arguments); err != nil {
		return report(err, stdout, log)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, &o, log); err != nil {
		log.Errorf("upstream: %v", err)
		return 1
	}
	return 0
}

func report(err error, stdout io.Writer, log *logrus.Logger) int {
	if flags.WroteHelp(err) {
		_, _ = io.WriteString(stdout, err.Error()+"\n")
		return 0
	}
	log.Errorf("upstream: %v", err)
	return 2
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
		Work:   o.Work,
		Lag:    o.Lag,
		Notify: o.Notify,
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
	log.Infof("upstream: control on %s", o.Control)
	fleet.Run(ctx)
	_ = server.Close()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}
