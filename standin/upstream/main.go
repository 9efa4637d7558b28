// Command upstream is a stand-in for upstreams, for tests and local runs. One
// process serves any number of them.
package main

import (
	"os"

	"filbertworks.example/filbertworks/standin/upstream/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
