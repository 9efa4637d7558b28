package config

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
