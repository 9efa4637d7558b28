// Command caller is a stand-in for callers: it generates load and reports the
// outcome of its flows.
package main

import (
	"os"

	"filbertworks.example/filbertworks/standin/caller/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
