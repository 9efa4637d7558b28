package cmd

import (
	"io"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/filbertctl/internal/preview"
)

// A patchCheck checks a patch in a file: against a configuration if one is given,
// else only that it is well-formed.
type patchCheck struct {
	Config    string  `long:"config" value-name:"FILE" description:"File with the configuration to check against"`
	Platform  urlFlag `long:"platform" value-name:"URL" description:"URL of the platform whose version in force to check against"`
	Arguments struct {
		File string `positional-arg-name:"FILE" required:"true" description:"File with a patch"`
	} `positional-args:"yes"`

	config *Config
}

// Execute runs the subcommand.
func (o *patchCheck) Execute([]string) error {
	if o.Config != "" && o.Platform.Host != "" {
		return usageErrorf("--config and --platform can't be used together")
	}
	patch, err := o.config.readPatch(o.Arguments.File)
	if err != nil {
		return err
	}
	if o.Config == "" && o.Platform.Host == "" {
		return o.writeFormResult(patch)
	}
	base, document, err := o.readBase(patch)
	if err != nil {
		return err
	}
	next, err := patch.Apply(base, document)
	if err != nil {
		return eris.Wrap(err, o.Arguments.File)
	}
	r := PatchResult{
		Base:    base,
		Preview: preview.Of(document, next),
	}
	return o.config.write(r, func(w io.Writer) {
		printf(w, "%s: ok on version %d\n", o.Arguments.File, base)
		printPreview(w, r.Preview)
	})
}

// readBase returns the configuration to check the patch against. A file without a
// version is assumed to have the version that the patch is based on.
func (o *patchCheck) readBase(patch *config.Patch) (config.Version, *config.Document, error) {
	if o.Config == "" {
		p, err := o.config.platform(o.Platform).Snapshot(o.config.Context)
		if err != nil {
			return 0, nil, err
		}
		return p.Version, p.Document, nil
	}
	version, document, err := o.config.readDocument(o.Config)
	if err != nil {
		return 0, nil, err
	}
	if version == 0 {
		version = patch.Base
	}
	return version, document, nil
}

// writeFormResult writes the result of a check without a configuration: the patch
// is well-formed.
func (o *patchCheck) writeFormResult(patch *config.Patch) error {
	r := PatchResult{
		Base: patch.Base,
	}
	return o.config.write(r, func(w io.Writer) {
		printf(w, "%s: well-formed, base %d, %d operations; not checked against a configuration\n",
			o.Arguments.File, patch.Base, len(patch.Operations))
	})
}
