// Package signals takes the process's signals as early as a program can: until
// then SIGHUP ends it. The package imports nothing but the standard library, so
// that it is initialized before larger ones.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// pending is the number of signals that wait; more of them say nothing new.
const pending = 4

// received holds signals from the program's initialization on.
var received = subscribe()

// C returns the channel on which SIGTERM, SIGINT and SIGHUP arrive.
func C() <-chan os.Signal {
	return received
}

func subscribe() chan os.Signal {
	c := make(chan os.Signal, pending)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	// A reader of the logs that goes away must not end the process.
	signal.Ignore(syscall.SIGPIPE)
	return c
}
