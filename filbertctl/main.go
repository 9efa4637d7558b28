// Command filbertctl is the operators' command line tool.
package main

import (
	"os"

	"filbertworks.example/filbertworks/filbertctl/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
