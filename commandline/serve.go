package commandline

import (
	"context"
	"io"
	"os/signal"
	"syscall"
)

// Serve runs a program until SIGINT or SIGTERM and returns its exit code. Arguments,
// options and fail are as for Parse. The context of run is canceled by the signal.
func Serve(name string, options any, arguments []string, stdout io.Writer, fail func(error), run func(context.Context) error) int {
	if _, code, ok := Parse(name, options, arguments, stdout, fail); !ok {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fail(err)
		return ExitFailure
	}
	return ExitOK
}
