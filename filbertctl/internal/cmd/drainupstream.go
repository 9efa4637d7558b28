package cmd

import (
	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/filbertctl/internal/fleet"
)

// A drainUpstream sets an upstream to draining.
type drainUpstream struct {
	submitOptions
	Arguments struct {
		Name string `positional-arg-name:"NAME" required:"true" description:"Name of the upstream"`
	} `positional-args:"yes"`

	config *Config
}

// Execute runs the subcommand.
func (o *drainUpstream) Execute([]string) error {
	p := o.config.platform(o.Platform)
	base, err := p.Snapshot(o.config.Context)
	if err != nil {
		return err
	}
	put := findUpstream(base.Document, o.Arguments.Name)
	if put == nil {
		return eris.Errorf("no upstream %q in version %d", o.Arguments.Name, base.Version)
	}
	patch := &config.Patch{
		Base:       base.Version,
		Operations: []config.Operation{},
	}
	if put.Upstream.State != config.UpstreamDraining {
		put.Upstream.State = config.UpstreamDraining
		patch.Operations = append(patch.Operations, config.Operation{PutUpstream: put})
	}
	goal := &fleet.Goal{
		Idle: map[string]bool{
			o.Arguments.Name: true,
		},
	}
	return o.config.submit(&o.submitOptions, p, base, patch, goal)
}

// findUpstream returns an operation that puts the named upstream unchanged, or nil
// if there is none.
func findUpstream(d *config.Document, name string) *config.PutUpstream {
	for i := range d.Services {
		s := &d.Services[i]
		for _, u := range s.Upstreams {
			if u.Name == name {
				return &config.PutUpstream{
					Service:  s.Name,
					Upstream: u,
				}
			}
		}
	}
	return nil
}
