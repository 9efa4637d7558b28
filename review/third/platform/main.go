// Command platform runs one case of the third review: real processes of the system on loopback
// against stand-ins of its store, hosts, clients and routers.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: platform CASE PROGRAM FOLDER RECORD")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	broken, err := run(os.Args[2], os.Args[3], os.Args[4], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// cases holds the cases by name. A case reports whether the rule was broken.
var cases = map[string]func(program, dir, record string, trouble bool) (bool, error){
	"late-listing": lateListing,
	"late-start":   lateStart,
	"stale-reset":  staleReset,
}
