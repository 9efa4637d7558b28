// Package cmd implements the command line of filbertd.
package cmd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"filbertworks.example/filbertworks/commandline"
	"filbertworks.example/filbertworks/filbertd/internal/settings"
)

// version is set by the linker.
var version = "devel"

// Main runs filbertd with the given arguments and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	d := commandline.Daemon[*settings.Settings]{
		Name:    "filbertd",
		Version: version,
		Load:    settings.Load,
		Serve:   func(_ string, s *settings.Settings) error { return serve(s, stderr) },
	}
	return d.Main(args, stdout, stderr)
}

// serve runs a daemon. SIGTERM or SIGINT starts a graceful leave, at whose end
// serve returns; a second signal stops the daemon at once.
func serve(s *settings.Settings, stderr io.Writer) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	c, err := newComponents(s, stderr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go leaveOnSignal(ctx, signals, c.daemon.Drain, cancel)
	return c.run(ctx)
}

// leaveOnSignal calls drain at the first signal and stop at the second.
func leaveOnSignal(ctx context.Context, signals <-chan os.Signal, drain, stop func()) {
	for _, act := range []func(){drain, stop} {
		select {
		case <-signals:
			act()
		case <-ctx.Done():
			return
		}
	}
}
