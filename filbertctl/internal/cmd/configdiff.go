package cmd

import (
	"io"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/filbertctl/internal/preview"
)

// A configDiff compares two configurations in files.
type configDiff struct {
	Arguments struct {
		From string `positional-arg-name:"FROM" required:"true" description:"File with a document or publication"`
		To   string `positional-arg-name:"TO" required:"true" description:"File with a document or publication"`
	} `positional-args:"yes"`

	config *Config
}

// A Difference is the difference between two configurations.
type Difference struct {
	// Base is the first file's version, or zero if it has none.
	Base config.Version `json:"base"`
	// Operations change the first configuration into the second. With Base they
	// are a patch.
	Operations []config.Operation `json:"operations"`
	*preview.Preview
}

// Execute runs the subcommand.
func (o *configDiff) Execute([]string) error {
	base, from, err := o.config.readDocument(o.Arguments.From)
	if err != nil {
		return err
	}
	_, to, err := o.config.readDocument(o.Arguments.To)
	if err != nil {
		return err
	}
	d := Difference{
		Base:       base,
		Operations: config.Diff(from, to),
		Preview:    preview.Of(from, to),
	}
	if d.Operations == nil {
		d.Operations = []config.Operation{}
	}
	return o.config.write(d, func(w io.Writer) {
		printPreview(w, d.Preview)
	})
}
