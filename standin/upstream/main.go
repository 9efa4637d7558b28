// Command upstream is a stand-in for upstreams.
package main

import (
	"os"

	"filbertworks.example/filbertworks/standin/upstream/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
