// Package publish stores numbered configuration versions and serves them over
// HTTP as the platform does. Tests can inject faults into it.
package publish

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// MaxPatches is the number of most recent patches that a store retains.
const MaxPatches = 1000

// ErrDown is returned for calls while the Down fault is set.
var ErrDown = eris.New("platform is down")

// A BaseMismatchError reports a patch whose base is not the version in force.
type BaseMismatchError struct {
	// Version is the version in force.
	Version config.Version
}

// Error returns package config's message for a mismatch of the base.
func (e *BaseMismatchError) Error() string {
	return config.ErrBaseMismatch.Error()
}

// Faults are the faults that a test can inject into a store.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// Stale makes the store serve the version in force at the time it is set;
	// watches get no newer version, but patches are still accepted.
	Stale bool `json:"stale"`
	// Delay is the time that passes before each response.
	Delay config.Duration `json:"delay"`
}

// A Store holds the configuration and the list of VMs; it is safe for
// concurrent use.
type Store struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	// staleSnapshot, if not nil, is served instead of snapshot.
	staleSnapshot *config.Snapshot
	// patches are the patches up to snapshot's version, oldest first, at most
	// MaxPatches of them.
	patches []config.Patch
	vms     config.VMList
	faults  Faults
	calls   map[string]uint64
	// changed is closed and replaced at each change, which wakes the watches.
	changed chan struct{}
}

// NewStore returns a store with document as version 1. Its error is that of
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

// Apply applies a patch and returns the new version. The error is a
// *BaseMismatchError or that of Patch.Apply.
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

// Calls returns the number of calls of each path.
func (s *Store) Calls() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]uint64, len(s.calls))
	for k, v := range s.calls {
		calls[k] = v
	}
	return calls
}

// CountCall adds one to the calls of a path.
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

// Publication returns the complete document in force, or the stale one while
// the Stale fault is set.
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

// SetFaults replaces the faults in effect and wakes the watches.
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

// Watch blocks until a version newer than after is in force and returns its
// publication. It returns nil once wait has passed or ctx is done, and ErrDown
// while the store is down.
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

// publicationAfter returns the publication that leads from a version to the one
// in force: its patches, or the complete document where some are no longer
// retained. Without a newer version it returns nil and a channel that is closed
// at the next change.
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

// wakeWatches makes every blocked watch check for a newer version. The caller
// holds mu.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
