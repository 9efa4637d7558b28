// Package cmd implements the command line of the caller stand-in.
package cmd

import (
	"context"
	"io"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"filbertworks.example/filbertworks/commandline"
	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/internal/standin"
	"filbertworks.example/filbertworks/standin/caller/internal/flow"
)

type options struct {
	Config     string        `long:"config" required:"true" description:"file with the configuration document"`
	Balancer   []string      `long:"balancer" description:"IP of a balancer; may repeat, the services' own addresses by default"`
	Platform   string        `long:"platform" description:"URL of the platform, asked whether a watch may move"`
	Watches    int           `long:"watches" default:"20" description:"watches of each service that has them"`
	Holds      int           `long:"holds" default:"10" description:"holds a second of each service that has them"`
	Photos     int           `long:"photos" default:"5" description:"photos a second of each service that has them"`
	Duration   time.Duration `long:"duration" default:"15s" description:"time of the load"`
	Source     string        `long:"source" default:"127.9.0.0/16" description:"network of the callers' addresses"`
	AckTimeout time.Duration `long:"ack-timeout" default:"500ms" description:"initial retransmission timeout"`
	JSON       bool          `long:"json" description:"print the report as JSON"`
	Seed       uint64        `long:"seed" description:"seed of random numbers, by the clock by default"`
}

// Main runs the program and returns its exit code: 1 if a flow was broken, an
// answer was wrong or a service answered nothing, 2 if the program failed.
func Main(arguments []string, stdout, stderr io.Writer) int {
	log := logrus.New()
	log.SetOutput(stderr)
	var o options
	fail := func(err error) { log.Errorf("caller: %v", err) }
	if _, code, ok := commandline.Parse("caller", &o, arguments, stdout, fail); !ok {
		return code
	}
	r, err := run(&o, log)
	if err != nil {
		log.Errorf("caller: %v", err)
		return 2
	}
	write := r.WriteTable
	if o.JSON {
		write = r.WriteJSON
	}
	if err := write(stdout); err != nil {
		log.Errorf("caller: %v", err)
		return 2
	}
	if reason := r.FailureReason(); reason != "" {
		log.Errorf("caller: %s", reason)
		return 1
	}
	return 0
}

func run(o *options, log *logrus.Logger) (*flow.Report, error) {
	var document config.Document
	if err := standin.ReadFile(o.Config, &document); err != nil {
		return nil, err
	}
	settings, err := settingsOf(o)
	if err != nil {
		return nil, err
	}
	log.Infof("caller: seed %d", settings.Seed)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	load, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	directory := flow.NewDirectory(&document, o.Platform)
	return flow.NewDriver(&document, directory, settings, log).Run(ctx, load), nil
}

func settingsOf(o *options) (flow.Settings, error) {
	s := flow.Settings{
		Watches:    o.Watches,
		HoldRate:   o.Holds,
		PhotoRate:  o.Photos,
		AckTimeout: o.AckTimeout,
		Seed:       o.Seed,
	}
	if s.Seed == 0 {
		s.Seed = uint64(time.Now().UnixNano())
	}
	source, err := netip.ParsePrefix(o.Source)
	if err != nil {
		return s, eris.Wrap(err, "source")
	}
	s.Source = source
	for _, b := range o.Balancer {
		a, err := netip.ParseAddr(b)
		if err != nil {
			return s, eris.Wrap(err, "balancer")
		}
		s.Balancers = append(s.Balancers, a)
	}
	return s, nil
}
