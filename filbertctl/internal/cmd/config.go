package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/filbertctl/internal/remote"
)

// A FileReader reads the files that an operator names.
type FileReader interface {
	ReadFile(name string) ([]byte, error)
}

// A Config holds the dependencies of one run of the program: its streams, HTTP
// client and files.
type Config struct {
	// Context is canceled when the program is told to stop.
	Context context.Context
	Stdout  io.Writer
	Stderr  io.Writer
	HTTP    remote.Doer
	Files   FileReader

	// json is true if results and errors are written as JSON.
	json bool
}

// NewConfig returns a Config with the process's streams, files and network.
func NewConfig(ctx context.Context) *Config {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &Config{
		Context: ctx,
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		HTTP: &http.Client{
			Transport: transport,
		},
		Files: osFileReader{},
	}
}

func (c *Config) platform(u urlFlag) *remote.Platform {
	return remote.NewPlatform(c.HTTP, &u.URL)
}

// printProgress writes a line on the progress to c.Stderr, unless the output is
// JSON.
func (c *Config) printProgress(format string, arguments ...any) {
	if !c.json {
		printf(c.Stderr, format+"\n", arguments...)
	}
}

// write writes a result to c.Stdout: v as JSON, or the text that human writes.
func (c *Config) write(v any, human func(io.Writer)) error {
	if !c.json {
		human(c.Stdout)
		return nil
	}
	e := json.NewEncoder(c.Stdout)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(v), "write")
}

// printf writes to a stream of the process. Errors are ignored, as they can't be
// reported anywhere.
func printf(w io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(w, format, arguments...)
}
