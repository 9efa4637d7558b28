package fleet

import (
	"fmt"

	"filbertworks.example/filbertworks/config"
)

// A Goal is a state of all balancers that an operator waits for.
type Goal struct {
	// Version is in force everywhere, or a newer one is.
	Version config.Version
	// Idle names upstreams that have neither connections nor requests at any
	// balancer.
	Idle map[string]bool
	// ExemptZone names a zone whose balancers need not answer; it may be empty.
	ExemptZone string
}

// Missing returns what keeps the reports from the goal, one short sentence
// each; none means that the goal is reached.
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

// exempt tells whether a balancer need not answer: it is on its way out.
func (g *Goal) exempt(r *Report) bool {
	return r.Leaving || (g.ExemptZone != "" && r.Zone == g.ExemptZone)
}

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
