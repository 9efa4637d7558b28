// Command caller is a stand-in for callers.
package main

import (
	"os"

	"filbertworks.example/filbertworks/standin/caller/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
