package cmd

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/filbertctl/internal/fleet"
	"filbertworks.example/filbertworks/status"
)

// A showStatus shows the state of balancers.
type showStatus struct {
	Admin    []addressFlag `long:"admin" value-name:"IP:PORT" description:"A balancer's admin endpoint; may be repeated"`
	Platform urlFlag       `long:"platform" value-name:"URL" description:"URL of the platform; shows the balancers in its list of VMs"`
	Zone     string        `long:"zone" value-name:"ZONE" description:"Show the balancers of this zone only"`
	ByZone   bool          `long:"by-zone" description:"Show a line for each zone and the balancers that differ; the default above 30 balancers"`
	All      bool          `long:"all" description:"Show a line for each balancer and upstream, however many there are"`

	config *Config
}

// A StatusResult holds the states of balancers in the order of the arguments or of
// the platform's list.
type StatusResult struct {
	Balancers []fleet.Report `json:"balancers"`
}

// Execute runs the subcommand.
func (o *showStatus) Execute([]string) error {
	targets, err := o.targets()
	if err != nil {
		return err
	}
	reports := fleet.Gather(o.config.Context, o.config.HTTP, targets)
	if o.Zone != "" {
		reports = slices.DeleteFunc(reports, func(r fleet.Report) bool { return zoneOf(&r) != o.Zone })
		if len(reports) == 0 {
			return eris.Errorf("no balancer of zone %q", o.Zone)
		}
	}
	err = o.config.write(StatusResult{Balancers: reports}, func(w io.Writer) {
		if o.ByZone || !o.All && len(reports) > maxListedBalancers {
			printZones(w, reports)
			return
		}
		printBalancers(w, reports)
		printUpstreams(w, reports)
	})
	if err != nil {
		return err
	}
	return missingReportsError(reports)
}

// targets returns the balancers that the options name.
func (o *showStatus) targets() ([]fleet.Target, error) {
	if (len(o.Admin) == 0) == (o.Platform.Host == "") {
		return nil, usageErrorf("either --admin or --platform is needed")
	}
	if o.ByZone && o.All {
		return nil, usageErrorf("--by-zone and --all exclude each other")
	}
	if len(o.Admin) == 0 {
		vms, err := o.config.platform(o.Platform).VMs(o.config.Context)
		return fleet.Targets(vms), err
	}
	targets := make([]fleet.Target, 0, len(o.Admin))
	for _, a := range o.Admin {
		targets = append(targets, fleet.Target{Admin: a.AddrPort})
	}
	return targets, nil
}

// missingReportsError returns an error if a balancer did not answer.
func missingReportsError(reports []fleet.Report) error {
	count := 0
	for i := range reports {
		if reports[i].Status == nil {
			count++
		}
	}
	if count == 0 {
		return nil
	}
	return eris.Errorf("%d of %d balancers did not answer", count, len(reports))
}

func printBalancers(w io.Writer, reports []fleet.Report) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf(t, "BALANCER\tZONE\tSTATE\tVERSION\tAGE\tPLATFORM\tMEMBERS\tFLOWS\tREQUESTS\n")
	for i := range reports {
		r := &reports[i]
		s := r.Status
		if s == nil {
			printf(t, "%s\t%s\tno answer\t-\t-\t-\t-\t-\t-\n", r.Label(), orNone(r.Zone))
			continue
		}
		printf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\n",
			r.Label(), s.Zone, stateOf(s), s.Version, age(s.VersionAge), age(s.PlatformAge), len(s.Members), s.Flows, s.Requests)
	}
	_ = t.Flush()
}

// An upstreamRow is the state of an upstream as one balancer reports it.
type upstreamRow struct {
	service  string
	upstream status.Upstream
	// fromKeeper is true if the balancer is the upstream's keeper, which has the
	// exact numbers.
	fromKeeper bool
}

// printUpstreams writes each upstream once: as its keeper reports it if the keeper
// has answered, else as the first balancer does that reports it.
func printUpstreams(w io.Writer, reports []fleet.Report) {
	rows := upstreamRows(reports)
	if len(rows) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf(t, "\nSERVICE\tUPSTREAM\tZONE\tSTATE\tKEEPER\tLIMIT\tREQUESTS\tQUEUED\tCONNECTIONS\tSHEDS\n")
	for i := range rows {
		u := &rows[i].upstream
		printf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n",
			rows[i].service, u.Name, u.Zone, u.State, orNone(u.Keeper), u.Limit, u.Requests, u.Queued, u.Connections, u.Sheds)
	}
	_ = t.Flush()
}

// upstreamRows returns one row per upstream, sorted by service and name.
func upstreamRows(reports []fleet.Report) []upstreamRow {
	chosen := make(map[string]upstreamRow)
	for i := range reports {
		s := reports[i].Status
		if s == nil {
			continue
		}
		for _, v := range s.Services {
			for _, u := range v.Upstreams {
				r := upstreamRow{
					service:    v.Name,
					upstream:   u,
					fromKeeper: u.Keeper == s.Name,
				}
				if old, ok := chosen[u.Name]; !ok || (r.fromKeeper && !old.fromKeeper) {
					chosen[u.Name] = r
				}
			}
		}
	}
	rows := make([]upstreamRow, 0, len(chosen))
	for _, r := range chosen {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b upstreamRow) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.upstream.Name, b.upstream.Name))
	})
	return rows
}

func age(d config.Duration) string {
	return time.Duration(d).Round(time.Second).String()
}

func stateOf(s *status.Status) string {
	if s.Leaving {
		return "leaving"
	}
	return "serving"
}

func printJSON(w io.Writer, v any) {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}
