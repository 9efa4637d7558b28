// Command filbertflow forwards the packets of flows whose content only their
// two ends read.
package main

import (
	"os"

	"filbertworks.example/filbertworks/filbertflow/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
