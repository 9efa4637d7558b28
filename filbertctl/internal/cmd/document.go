package cmd

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// readDocument reads and checks the configuration in a file, which holds either a
// document or a publication as written by "config show". The version is zero if
// it holds a document.
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

// readPatch reads the patch in a file and checks that it is well-formed.
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

// decodeDocument decodes a publication if data has a version, else a document.
func decodeDocument(data []byte) (config.Version, *config.Document, error) {
	var header struct {
		Version json.RawMessage `json:"version"`
	}
	// Decode below reports data that is not a JSON object.
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

// fileError adds the name of the file to each fault of a *config.CheckError, and to
// other errors.
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
