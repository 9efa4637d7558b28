// Package rollout decides how configuration versions spread: which members read
// them from the platform, which peer to ask for a newer one, and what to answer
// a peer. The current time is passed in; the package has no sockets, goroutines
// or clock of its own.
package rollout

import (
	"encoding/json"

	"filbertworks.example/filbertworks/config"
)

// MaxHistoryBytes is the maximum size of the patches that a history keeps,
// encoded as JSON.
const MaxHistoryBytes = 1 << 20

// A History keeps the version in force and the latest patches that led to it,
// for peers with an older version. It is not safe for concurrent use.
type History struct {
	// current is the version in force; nil if there is none yet.
	current *config.Snapshot
	digest  uint64
	// entries holds consecutive patches, the last of which leads to current.
	entries []entry
	bytes   int
}

// entry is a patch and the digest of the document that it applies to.
type entry struct {
	patch config.Patch
	// digest is the digest of the document that the patch applies to.
	digest uint64
	size   int
}

// Add records the version that came into force and the patches that led to it.
// A single patch on the version before is kept; anything else clears the kept
// patches.
func (h *History) Add(s *config.Snapshot, patches []config.Patch) {
	consecutive := h.current != nil && len(patches) == 1 && patches[0].Base == h.current.Version
	if !consecutive {
		// The digests of the versions in between are not known.
		h.entries = nil
		h.bytes = 0
	} else {
		h.append(&patches[0])
	}
	h.current = s
	h.digest = s.Document.Digest()
}

// Current returns the version in force and the digest of its document; zeros if
// there is none.
func (h *History) Current() (version config.Version, digest uint64) {
	if h.current == nil {
		return 0, 0
	}
	return h.current.Version, h.digest
}

// Since returns the publication that leads from a version to the one in force.
// It consists of patches if the history has them and the digest matches that of
// the document they start from, otherwise of the whole document. Since returns
// nil if there is no newer version.
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
		// Does not happen: a patch that was decoded from JSON can be encoded.
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
