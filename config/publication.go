package config

import "github.com/rotisserie/eris"

// Paths of the platform's configuration service.
const (
	// PathSnapshot serves a Publication with the whole document.
	PathSnapshot = "/v1/config"
	// PathWatch serves a Publication newer than the query's "after". It waits
	// for one for at most the query's "wait", a duration, and then responds
	// with status 204.
	PathWatch = "/v1/config/watch"
	// PathPatch accepts a Patch from operators. It responds with status 200 and
	// a Publication that has only a version, with 409 if the base is not the
	// version in force, and with 422 if the patch or the resulting document is
	// not allowed.
	PathPatch = "/v1/config/patch"
	// PathVMs serves a VMList.
	PathVMs = "/v1/vms"
)

// A Publication is the configuration as the platform serves it: either a whole
// document or the patches that lead to Version.
type Publication struct {
	Version Version `json:"version"`
	// Document is nil if Patches are given.
	Document *Document `json:"document,omitempty"`
	// Patches have consecutive bases, the last of which is Version-1.
	Patches []Patch `json:"patches,omitempty"`
}

// ApplyTo returns the snapshot that results from applying p to current, which may
// be nil if p has a document. It returns current if p is not newer. The error wraps
// ErrBaseMismatch if p's patches can't be applied to the version of current.
func (p *Publication) ApplyTo(current *Snapshot) (*Snapshot, error) {
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
