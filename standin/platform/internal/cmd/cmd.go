// Package cmd implements the command line of the platform stand-in.
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
	"filbertworks.example/filbertworks/standin/platform/internal/publish"
)

// shutdownTimeout is the longest wait for calls in progress at shutdown.
const shutdownTimeout = 2 * time.Second

type options struct {
	Listen string `long:"listen" default:"127.0.0.1:7300" description:"HTTP address"`
	Config string `long:"config" required:"true" description:"file with the document of version 1"`
	VMs    string `long:"vms" required:"true" description:"file with the list of VMs"`
}

// Main runs the program and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	log := logrus.New()
	log.SetOutput(stderr)
	var o options
	fail := func(err error) { log.Errorf("platform: %v", err) }
	return commandline.Serve("platform", &o, arguments, stdout, fail, func(ctx context.Context) error { return run(ctx, &o, log) })
}

func run(ctx context.Context, o *options, log *logrus.Logger) error {
	var document config.Document
	if err := standin.ReadFile(o.Config, &document); err != nil {
		return err
	}
	var vms config.VMList
	if err := standin.ReadFile(o.VMs, &vms); err != nil {
		return err
	}
	store, err := publish.NewStore(&document, vms)
	if err != nil {
		return err
	}
	server := &http.Server{
		Addr:              o.Listen,
		Handler:           publish.NewHandler(store),
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() {
		<-ctx.Done()
		timeout, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if server.Shutdown(timeout) != nil {
			_ = server.Close()
		}
	}()
	log.Infof("platform: listening on %s", o.Listen)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve")
	}
	return nil
}
