package cmd

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// A configShow shows the configuration in force.
type configShow struct {
	Platform urlFlag `long:"platform" value-name:"URL" required:"true" description:"The platform"`
	Secrets  bool    `long:"secrets" description:"Show the secrets of keys"`

	config *Config
}

// Execute runs the subcommand. Its output is JSON in any case.
func (o *configShow) Execute([]string) error {
	p, err := o.config.platform(o.Platform).Snapshot(o.config.Context)
	if err != nil {
		return err
	}
	if !o.Secrets {
		p.Document = withoutSecrets(p.Document)
	}
	e := json.NewEncoder(o.config.Stdout)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(p), "write")
}

func withoutSecrets(d *config.Document) *config.Document {
	c := d.Clone()
	for i := range c.Keys {
		c.Keys[i].Secret = nil
	}
	return c
}
