package cmd

import (
	"cmp"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/filbertctl/internal/fleet"
)

// maxListedBalancers is the number of balancers up to which the status is shown one line
// each without being asked for.
const maxListedBalancers = 30

// outlierPlatformAge is the age of the platform's last answer from which on a balancer is
// listed by name: several times the interval of the readers' calls.
const outlierPlatformAge = 30 * time.Second

// A zoneSummary sums up the balancers of one zone.
type zoneSummary struct {
	zone      string
	balancers int
	// silent is the number of balancers that did not answer, and leaving that of those
	// that leave.
	silent, leaving int
	// oldest and newest are the lowest and the highest version in force.
	oldest, newest config.Version
	platformAge    time.Duration
	flows          int
	requests       int
}

// add adds a balancer.
func (z *zoneSummary) add(r *fleet.Report) {
	z.balancers++
	s := r.Status
	if s == nil {
		z.silent++
		return
	}
	if s.Leaving {
		z.leaving++
	}
	if z.newest == 0 || s.Version < z.oldest {
		z.oldest = s.Version
	}
	z.newest = max(z.newest, s.Version)
	z.platformAge = max(z.platformAge, time.Duration(s.PlatformAge))
	z.flows += s.Flows
	z.requests += s.Requests
}

// summarizeZones returns the summaries of the zones, sorted by name.
func summarizeZones(reports []fleet.Report) []zoneSummary {
	var zones []zoneSummary
	for i := range reports {
		name := zoneOf(&reports[i])
		at, found := slices.BinarySearchFunc(zones, name, func(z zoneSummary, name string) int { return cmp.Compare(z.zone, name) })
		if !found {
			zones = slices.Insert(zones, at, zoneSummary{zone: name})
		}
		zones[at].add(&reports[i])
	}
	return zones
}

// zoneOf returns the zone of a balancer, as it reports it or as the platform lists it.
func zoneOf(r *fleet.Report) string {
	if r.Status != nil {
		return r.Status.Zone
	}
	return r.Zone
}

// outliers returns the balancers that do not answer, leave, have an older version than
// others in force, or have not heard of the platform for outlierPlatformAge.
func outliers(reports []fleet.Report) []fleet.Report {
	var newest config.Version
	for i := range reports {
		if s := reports[i].Status; s != nil {
			newest = max(newest, s.Version)
		}
	}
	var found []fleet.Report
	for i := range reports {
		s := reports[i].Status
		if s == nil || s.Leaving || s.Version < newest || time.Duration(s.PlatformAge) >= outlierPlatformAge {
			found = append(found, reports[i])
		}
	}
	return found
}

// printZones writes a line for each zone, and one for each outlier.
func printZones(w io.Writer, reports []fleet.Report) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf(t, "ZONE\tBALANCERS\tNO ANSWER\tLEAVING\tVERSIONS\tPLATFORM\tFLOWS\tREQUESTS\n")
	zones := summarizeZones(reports)
	for i := range zones {
		z := &zones[i]
		printf(t, "%s\t%d\t%d\t%d\t%d to %d\t%s\t%d\t%d\n", orNone(z.zone), z.balancers, z.silent, z.leaving,
			z.oldest, z.newest, age(config.Duration(z.platformAge)), z.flows, z.requests)
	}
	_ = t.Flush()
	if found := outliers(reports); len(found) > 0 {
		printf(w, "\n")
		printBalancers(w, found)
	}
}
