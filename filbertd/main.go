// Command filbertd runs one balancer process.
package main

import (
	"os"

	"filbertworks.example/filbertworks/filbertd/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
