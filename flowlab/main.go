// Command flowlab plays loads against the decisions of balancers in simulated
// time and reports the service that users get.
package main

import (
	"os"

	"filbertworks.example/filbertworks/flowlab/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
