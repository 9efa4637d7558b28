package fleet

import (
	"fmt"

	"filbertworks.example/filbertworks/config"
)

// A Goal is a state of all balancers that an operator can wait for.
type Goal struct {
	// Version or a newer one is in force at every balancer.
	Version config.Version
	// Idle names upstreams that have no connections and no requests, queued ones
	// included, at any balancer.
	Idle map[string]bool
	// ExemptZone names a zone whose balancers need not answer, or is empty.
	ExemptZone string
}

// Missing returns the conditions of the goal that the reports don't meet, one short
// sentence each. The goal is reached if there are none.
func (g *Goal) Missing(reports []Report) []string {
	var missing []string
	answers := 0
	for i := range reports {
		r := &reports[i]
		if r.Status == nil {
			if !g.exempt(r) {
				missing = append(missing, r.Label()+" does not answer")
			}
			continue
		}
		answers++
		missing = append(missing, g.missingAt(r)...)
	}
	if answers == 0 {
		missing = append(missing, "no balancer answers")
	}
	return missing
}

// exempt reports whether a balancer need not answer, as it is leaving or in
// ExemptZone.
func (g *Goal) exempt(r *Report) bool {
	return r.Leaving || (g.ExemptZone != "" && r.Zone == g.ExemptZone)
}

// missingAt returns the conditions that the balancer of a report doesn't meet.
func (g *Goal) missingAt(r *Report) []string {
	var missing []string
	if r.Status.Version < g.Version {
		missing = append(missing, fmt.Sprintf("%s has version %d", r.Label(), r.Status.Version))
	}
	for _, s := range r.Status.Services {
		for _, u := range s.Upstreams {
			if g.Idle[u.Name] && u.Connections+u.Requests+u.Queued > 0 {
				missing = append(missing, fmt.Sprintf("%s has %d connections, %d requests and %d queued for %s",
					r.Label(), u.Connections, u.Requests, u.Queued, u.Name))
			}
		}
	}
	return missing
}
