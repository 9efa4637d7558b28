package cmd

import (
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/filbertctl/internal/fleet"
	"filbertworks.example/filbertworks/filbertctl/internal/preview"
	"filbertworks.example/filbertworks/filbertctl/internal/remote"
)

// A PatchResult is the result of checking or submitting a patch.
type PatchResult struct {
	// Base is the version that the patch was checked against.
	Base config.Version `json:"base"`
	// Version is the version that results from the patch: its base if it has no
	// operations, and zero if it was not submitted.
	Version config.Version `json:"version,omitempty"`
	// Patch is set if it was not submitted because of --dry-run.
	Patch *config.Patch `json:"patch,omitempty"`
	// Done is true if the program has seen that the change is in force at all
	// balancers.
	Done bool `json:"done"`
	*preview.Preview
}

// submit checks a patch against base, submits it unless the options ask for a dry
// run, and waits for the goal g if they ask for that. It sets the goal's version.
func (c *Config) submit(o *submitOptions, p *remote.Platform, base *config.Publication, patch *config.Patch, g *fleet.Goal) error {
	if err := o.check(); err != nil {
		return err
	}
	next, err := patch.Apply(base.Version, base.Document)
	if err != nil {
		return err
	}
	r := PatchResult{
		Base:    base.Version,
		Preview: preview.Of(base.Document, next),
	}
	if o.DryRun {
		r.Patch = patch
		return c.writeResult(&r)
	}
	r.Version, err = c.submitPatch(p, patch)
	if err != nil {
		return err
	}
	if !o.Wait {
		return c.writeResult(&r)
	}
	g.Version = r.Version
	if err := c.waitGoal(&o.waitOptions, p, g); err != nil {
		return eris.Wrapf(err, "version %d is accepted", r.Version)
	}
	r.Done = true
	return c.writeResult(&r)
}

// submitPatch submits a patch and returns the resulting version. A patch without
// operations is not submitted; its base is returned.
func (c *Config) submitPatch(p *remote.Platform, patch *config.Patch) (config.Version, error) {
	if len(patch.Operations) == 0 {
		return patch.Base, nil
	}
	version, err := p.Submit(c.Context, patch)
	if err != nil {
		return 0, err
	}
	c.printProgress("version %d accepted", version)
	return version, nil
}

func (c *Config) writeResult(r *PatchResult) error {
	return c.write(r, func(w io.Writer) {
		printPreview(w, r.Preview)
		switch {
		case r.Patch != nil:
			printf(w, "not submitted; the patch on version %d is:\n", r.Base)
			printJSON(w, r.Patch)
		case r.Done:
			printf(w, "version %d is in force everywhere and done\n", r.Version)
		default:
			printf(w, "version %d is accepted\n", r.Version)
		}
	})
}

func printPreview(w io.Writer, p *preview.Preview) {
	if len(p.Changes) == 0 {
		printf(w, "no change\n")
		return
	}
	for _, c := range p.Changes {
		printf(w, "%v\n", c)
	}
	if len(p.Capacity) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf(t, "CAPACITY OF\tIN ZONE\tSLOTS\tCONNECTIONS\n")
	for _, c := range p.Capacity {
		printf(t, "%s\t%s\t%v\t%v\n", c.Service, c.Zone, c.Slots, c.Connections)
	}
	_ = t.Flush()
}
