package cmd

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// A configShow shows the configuration in force.
type configShow struct {
	Platform urlFlag `long:"platform" value-name:"URL" required:"true" description:"URL of the platform"`
	Secrets  bool    `long:"secrets" description:"Show the secrets of keys"`

	config *Config
}

// Execute runs the subcommand. The output is always JSON.
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

// withoutSecrets returns a copy of d without the secrets of keys.
func withoutSecrets(d *config.Document) *config.Document {
	c := d.Clone()
	for i := range c.Keys {
		c.Keys[i].Secret = nil
	}
	return c
}
