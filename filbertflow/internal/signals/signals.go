// Package signals subscribes to the process's signals as early as a program can:
// until then SIGHUP terminates it. The package imports only the standard library,
// so that it is initialized before larger packages.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// pending is the number of signals that may wait; further ones carry no new
// information.
const pending = 4

// received holds the signals received since the program's initialization.
var received = subscribe()

// C returns the channel that receives SIGTERM, SIGINT and SIGHUP.
func C() <-chan os.Signal {
	return received
}

func subscribe() chan os.Signal {
	c := make(chan os.Signal, pending)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	// A log reader that closes its end of the pipe must not terminate the
	// process.
	signal.Ignore(syscall.SIGPIPE)
	return c
}
