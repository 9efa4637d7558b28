package cmd

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// readDocument returns the configuration in a file, checked. The file holds a
// document, or a publication as written by "config show"; without one the
// version is zero.
func (c *Config) readDocument(name string) (config.Version, *config.Document, error) {
	data, err := c.Files.ReadFile(name)
	if err != nil {
		return 0, nil, eris.Wrap(err, "configuration")
	}
	version, document, err := decodeDocument(data)
	if err != nil {
		return 0, nil, eris.Wrapf(errNotAllowed, "%s: %v", name, err)
	}
	if err := document.Check(); err != nil {
		return 0, nil, fileError(name, err)
	}
	return version, document, nil
}

// readPatch returns the patch in a file, checked for its form.
func (c *Config) readPatch(name string) (*config.Patch, error) {
	data, err := c.Files.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "patch")
	}
	p := &config.Patch{}
	if err := config.Decode(data, p); err != nil {
		return nil, eris.Wrapf(errNotAllowed, "%s: %v", name, err)
	}
	if err := p.Check(); err != nil {
		return nil, eris.Wrap(err, name)
	}
	return p, nil
}

func decodeDocument(data []byte) (config.Version, *config.Document, error) {
	var header struct {
		Version json.RawMessage `json:"version"`
	}
	// Data that is no JSON object is reported by Decode below.
	if json.Unmarshal(data, &header) != nil || header.Version == nil {
		d := &config.Document{}
		return 0, d, config.Decode(data, d)
	}
	p := &config.Publication{}
	if err := config.Decode(data, p); err != nil {
		return 0, nil, err
	}
	if p.Document == nil {
		return 0, nil, eris.New("publication without a document")
	}
	return p.Version, p.Document, nil
}

// fileError names the file before each fault of a check.
func fileError(name string, err error) error {
	var check *config.CheckError
	if !errors.As(err, &check) {
		return eris.Wrap(err, name)
	}
	faults := make([]config.Fault, 0, len(check.Faults))
	for _, f := range check.Faults {
		f.Path = name + ": " + f.Path
		faults = append(faults, f)
	}
	return &config.CheckError{Faults: faults}
}
