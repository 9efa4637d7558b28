package cmd

import (
	"filbertworks.example/filbertworks/filbertctl/internal/fleet"
)

// A patchSubmit checks a patch in a file and submits it.
type patchSubmit struct {
	submitOptions
	Arguments struct {
		File string `positional-arg-name:"FILE" required:"true" description:"File with a patch"`
	} `positional-args:"yes"`

	config *Config
}

// Execute runs the subcommand.
func (o *patchSubmit) Execute([]string) error {
	patch, err := o.config.readPatch(o.Arguments.File)
	if err != nil {
		return err
	}
	p := o.config.platform(o.Platform)
	base, err := p.Snapshot(o.config.Context)
	if err != nil {
		return err
	}
	return o.config.submit(&o.submitOptions, p, base, patch, &fleet.Goal{})
}
