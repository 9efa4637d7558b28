package config

import "github.com/rotisserie/eris"

// Paths of the platform's configuration service.
const (
	// PathSnapshot serves a Publication with the whole document.
	PathSnapshot = "/v1/config"
	// PathWatch serves a Publication newer than the query's "after", waiting
	// for one at most the query's "wait", a duration; 204 where none came.
	PathWatch = "/v1/config/watch"
	// PathPatch accepts a Patch from operators: 200 with a Publication without
	// content, 409 where the base is not the version in force, 422 where the
	// patch or its outcome is not allowed.
	PathPatch = "/v1/config/patch"
	// PathVMs serves a VMList.
	PathVMs = "/v1/vms"
)

// A Publication is what the platform serves of the configuration: either a
// whole document or the patches that lead to Version.
type Publication struct {
	Version Version `json:"version"`
	// Document is nil where Patches are given.
	Document *Document `json:"document,omitempty"`
	// Patches have consecutive bases, the last being Version-1.
	Patches []Patch `json:"patches,omitempty"`
}

// Follow returns the snapshot that p makes of current, which may be nil where p
// has a document. It returns current where p holds nothing newer. The error is
// ErrBase where p's patches don't follow current.
func (p *Publication) Follow(current *Snapshot) (*Snapshot, error) {
	if current != nil && p.Version <= current.Version {
		return current, nil
	}
	if p.Document != nil {
		return NewSnapshot(p.Version, p.Document)
	}
	if current == nil {
		return nil, eris.Wrap(ErrBaseMismatch, "patches without a document to start from")
	}
	next := current
	for i := range p.Patches {
		var err error
		if next, err = next.Apply(&p.Patches[i]); err != nil {
			return nil, err
		}
	}
	if next.Version != p.Version {
		return nil, eris.Wrapf(ErrBaseMismatch, "patches lead to version %d, want %d", next.Version, p.Version)
	}
	return next, nil
}
