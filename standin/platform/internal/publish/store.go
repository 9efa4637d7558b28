// Package publish keeps numbered configuration versions and serves them over
// HTTP as the platform does, with faults on demand.
package publish

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// MaxPatches is the number of latest patches that a store keeps.
const MaxPatches = 1000

// ErrDown reports a call while the store is down by a fault.
var ErrDown = eris.New("platform is down")

// A BaseMismatchError reports a patch against another version than the one in force.
type BaseMismatchError struct {
	// Version is the version in force.
	Version config.Version
}

// Error says that the base is another.
func (e *BaseMismatchError) Error() string {
	return config.ErrBase.Error()
}

// Faults are what a store does wrong on demand.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// Stale keeps the version that is in force when it is set, and watches
	// unanswered.
	Stale bool `json:"stale"`
	// Delay is waited before each answer.
	Delay config.Duration `json:"delay"`
}

// A Store holds the configuration and the list of VMs; it is safe for
// concurrent use.
type Store struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	// staleSnapshot is served in place of snapshot where it is not nil.
	staleSnapshot *config.Snapshot
	// patches lead to snapshot's version, at most MaxPatches.
	patches []config.Patch
	vms     config.VMList
	faults  Faults
	calls   map[string]uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewStore returns a store with document as version 1; the error is that of
// Document.Check.
func NewStore(document *config.Document, vms config.VMList) (*Store, error) {
	snapshot, err := config.NewSnapshot(1, document)
	if err != nil {
		return nil, err
	}
	return &Store{
		snapshot: snapshot,
		vms:      vms,
		calls:    make(map[string]uint64),
		changed:  make(chan struct{}),
	}, nil
}

// Apply puts a patch in force and returns the new version. The error is a
// *BaseMismatchError, or that of Patch.Apply.
func (s *Store) Apply(p *config.Patch) (config.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Base != s.snapshot.Version {
		return 0, &BaseMismatchError{
			Version: s.snapshot.Version,
		}
	}
	next, err := s.snapshot.Apply(p)
	if err != nil {
		return 0, err
	}
	s.snapshot = next
	s.patches = append(s.patches, *p)
	s.patches = s.patches[max(0, len(s.patches)-MaxPatches):]
	s.wakeWatches()
	return next.Version, nil
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]uint64, len(s.calls))
	for k, v := range s.calls {
		calls[k] = v
	}
	return calls
}

// CountCall counts a call of a path.
func (s *Store) CountCall(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[path]++
}

// Faults returns the faults in effect.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Publication returns the whole document in force.
func (s *Store) Publication() config.Publication {
	s.mu.Lock()
	defer s.mu.Unlock()
	served := s.snapshot
	if s.staleSnapshot != nil {
		served = s.staleSnapshot
	}
	return config.Publication{
		Version:  served.Version,
		Document: served.Document,
	}
}

// SetFaults puts faults in effect.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	switch {
	case !f.Stale:
		s.staleSnapshot = nil
	case s.staleSnapshot == nil:
		s.staleSnapshot = s.snapshot
	}
	s.wakeWatches()
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(vms config.VMList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
}

// VMs returns the list of VMs.
func (s *Store) VMs() config.VMList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms
}

// Watch returns the publication newer than a version as soon as there is one,
// or nil after the wait or the end of ctx. The error is ErrDown.
func (s *Store) Watch(ctx context.Context, after config.Version, wait time.Duration) (*config.Publication, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		publication, changed, err := s.publicationAfter(after)
		if publication != nil || err != nil {
			return publication, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// publicationAfter returns the publication after a version, or nil and the channel that
// tells of the next change.
func (s *Store) publicationAfter(after config.Version) (*config.Publication, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil, nil, ErrDown
	}
	if s.faults.Stale || s.snapshot.Version <= after {
		return nil, s.changed, nil
	}
	p := &config.Publication{
		Version: s.snapshot.Version,
	}
	missing := int(s.snapshot.Version - after)
	if missing > len(s.patches) {
		p.Document = s.snapshot.Document
	} else {
		p.Patches = append(p.Patches, s.patches[len(s.patches)-missing:]...)
	}
	return p, s.changed, nil
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
