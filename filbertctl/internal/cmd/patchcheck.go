package cmd

import (
	"io"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/filbertctl/internal/preview"
)

// A patchCheck checks a patch in a file, whole or not at all.
type patchCheck struct {
	Config    string  `long:"config" value-name:"FILE" description:"The configuration that the patch is for"`
	Platform  urlFlag `long:"platform" value-name:"URL" description:"The platform whose version in force the patch is for"`
	Arguments struct {
		File string `positional-arg-name:"FILE" required:"true" description:"A patch"`
	} `positional-args:"yes"`

	config *Config
}

// Execute runs the subcommand.
func (o *patchCheck) Execute([]string) error {
	if o.Config != "" && o.Platform.Host != "" {
		return usageErrorf("--config and --platform exclude each other")
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

// readBase returns the configuration that the patch is checked against. A file
// without a version is taken to have the patch's base.
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

// writeFormResult tells that a patch is well-formed, without a configuration to check it
// against.
func (o *patchCheck) writeFormResult(patch *config.Patch) error {
	r := PatchResult{
		Base: patch.Base,
	}
	return o.config.write(r, func(w io.Writer) {
		printf(w, "%s: well-formed, base %d, %d operations; not checked against a configuration\n",
			o.Arguments.File, patch.Base, len(patch.Operations))
	})
}
