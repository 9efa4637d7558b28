// Package rollout decides how configuration versions spread: who reads them
// from the platform, whom to ask for a newer one, and what to answer. Time is
// passed in; it has no sockets, goroutines or clock of its own.
package rollout

import (
	"encoding/json"

	"filbertworks.example/filbertworks/config"
)

// MaxHistoryBytes is the size of the patches that a history keeps, as JSON.
const MaxHistoryBytes = 1 << 20

// A History keeps the latest versions in force here, for peers that are behind.
// It is not safe for concurrent use.
type History struct {
	// current is nil until the first version is in force.
	current *config.Snapshot
	digest  uint64
	// entries lead to current one by one.
	entries []entry
	bytes   int
}

// entry is a patch and what it is applied to.
type entry struct {
	patch config.Patch
	// digest is that of the document that the patch is applied to.
	digest uint64
	size   int
}

// Add takes the version that came into force and the patches that led to it;
// patches that don't follow the version before are left out of the history.
func (h *History) Add(s *config.Snapshot, patches []config.Patch) {
	consecutive := h.current != nil && len(patches) == 1 && patches[0].Base == h.current.Version
	if !consecutive {
		// Digests of the versions between are not known.
		h.entries = nil
		h.bytes = 0
	} else {
		h.append(&patches[0])
	}
	h.current = s
	h.digest = s.Document.Digest()
}

// Current returns the version in force and its digest; zero where there is
// none.
func (h *History) Current() (version config.Version, digest uint64) {
	if h.current == nil {
		return 0, 0
	}
	return h.current.Version, h.digest
}

// Since returns the publication that leads from a version to the one in force:
// as patches where the history has them and starts from the same document, as
// a document otherwise. It returns nil where there is nothing newer.
func (h *History) Since(base config.Version, digest uint64) *config.Publication {
	if h.current == nil || h.current.Version <= base {
		return nil
	}
	p := &config.Publication{Version: h.current.Version}
	for i := range h.entries {
		if h.entries[i].patch.Base != base || h.entries[i].digest != digest {
			continue
		}
		for _, e := range h.entries[i:] {
			p.Patches = append(p.Patches, e.patch)
		}
		return p
	}
	p.Document = h.current.Document
	return p
}

func (h *History) append(p *config.Patch) {
	data, err := json.Marshal(p)
	if err != nil {
		// A patch that was read from JSON can be written.
		h.entries = nil
		h.bytes = 0
		return
	}
	h.entries = append(h.entries, entry{
		patch:  *p,
		digest: h.digest,
		size:   len(data),
	})
	h.bytes += len(data)
	for h.bytes > MaxHistoryBytes {
		h.bytes -= h.entries[0].size
		h.entries = h.entries[1:]
	}
}
