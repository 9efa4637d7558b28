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

// A Config is the wiring of one run of the program.
type Config struct {
	// Context ends with the run.
	Context context.Context
	Stdout  io.Writer
	Stderr  io.Writer
	HTTP    remote.Doer
	Files   FileReader

	// json tells that results and errors are written as JSON.
	json bool
}

// NewConfig returns the wiring to the process's streams, files and network.
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

// printProgress writes a line of progress for people.
func (c *Config) printProgress(format string, arguments ...any) {
	if !c.json {
		printf(c.Stderr, format+"\n", arguments...)
	}
}

// write writes a result: v as JSON, or what human writes.
func (c *Config) write(v any, human func(io.Writer)) error {
	if !c.json {
		human(c.Stdout)
		return nil
	}
	e := json.NewEncoder(c.Stdout)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(v), "write")
}

// printf writes to a stream of the process, whose failures nobody would hear.
func printf(w io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(w, format, arguments...)
}
