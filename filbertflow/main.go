// Command filbertflow is a load balancer that forwards the packets of flows whose
// content only the two endpoints interpret.
package main

import (
	"os"

	"filbertworks.example/filbertworks/filbertflow/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
