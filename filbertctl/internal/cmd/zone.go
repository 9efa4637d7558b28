package cmd

import (
	"slices"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/filbertctl/internal/fleet"
)

// zoneOptions are the options of the subcommands that set a zone's state.
type zoneOptions struct {
	submitOptions
	Arguments struct {
		Name string `positional-arg-name:"NAME" required:"true" description:"Name of the zone"`
	} `positional-args:"yes"`

	config *Config
}

// set submits a patch that sets the zone's state.
func (o *zoneOptions) set(state config.ZoneState) error {
	p := o.config.platform(o.Platform)
	base, err := p.Snapshot(o.config.Context)
	if err != nil {
		return err
	}
	zones := base.Document.Zones
	i := slices.IndexFunc(zones, func(z config.Zone) bool { return z.Name == o.Arguments.Name })
	if i < 0 {
		return eris.Errorf("no zone %q in version %d", o.Arguments.Name, base.Version)
	}
	zone := zones[i]
	patch := &config.Patch{
		Base:       base.Version,
		Operations: []config.Operation{},
	}
	if zone.State != state {
		zone.State = state
		patch.Operations = append(patch.Operations, config.Operation{PutZone: &zone})
	}
	return o.config.submit(&o.submitOptions, p, base, patch, zoneGoal(base.Document, zone))
}

// zoneGoal returns the goal to wait for after a change of zone's state. A zone taken
// out must have no work left. Its balancers need not answer, as they may be
// unreachable.
func zoneGoal(d *config.Document, zone config.Zone) *fleet.Goal {
	if zone.State == config.ZoneIn {
		return &fleet.Goal{}
	}
	goal := &fleet.Goal{
		Idle:       make(map[string]bool),
		ExemptZone: zone.Name,
	}
	for i := range d.Services {
		for _, u := range d.Services[i].Upstreams {
			if u.Zone == zone.Name {
				goal.Idle[u.Name] = true
			}
		}
	}
	return goal
}
