// Command platform is a stand-in for the platform's configuration service, for
// tests and local runs.
package main

import (
	"os"

	"filbertworks.example/filbertworks/standin/platform/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
