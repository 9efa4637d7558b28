// Command stand plays the cases of the review that are scripts: it starts the project's
// filbertflow as separate processes on loopback addresses, among stand-ins of the platform's
// store, routers, hosts and clients. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(b *bed, trouble bool) (int, error){
	"stale-pages": stalePages,
	"two-hosts":   twoHosts,
	"full-hosts":  fullHosts,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether to play the disruption")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(failed)
	}
	b, err := newBed(*root, *out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	code, err := play(b, *trouble)
	if err != nil {
		b.rec.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = failed
	}
	b.rec.log("result: %d", code)
	b.close()
	os.Exit(code)
}
