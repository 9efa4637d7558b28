package cmd

import (
	"io"
	"net/netip"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/filbertctl/internal/fleet"
)

// A showLoad shows what balancers know of the load that they share, and what they make of it.
type showLoad struct {
	Metrics   []addressFlag `long:"metrics" value-name:"IP:PORT" required:"true" description:"Metrics address of a filbertflow; may be repeated"`
	Service   string        `long:"service" value-name:"SERVICE" description:"Show this service only"`
	Upstreams bool          `long:"upstreams" description:"Show the learned capacity of upstreams, the slowest first"`

	config *Config
}

// A LoadResult holds what balancers know of the shared load, in the order of the arguments.
type LoadResult struct {
	Balancers []fleet.LoadReport `json:"balancers"`
}

// Execute runs the subcommand.
func (o *showLoad) Execute([]string) error {
	addresses := make([]netip.AddrPort, 0, len(o.Metrics))
	for _, a := range o.Metrics {
		addresses = append(addresses, a.AddrPort)
	}
	reports := fleet.GatherLoads(o.config.Context, o.config.HTTP, addresses)
	if o.Service != "" {
		for i := range reports {
			selectServiceLoad(reports[i].Load, o.Service)
		}
	}
	err := o.config.write(LoadResult{Balancers: reports}, func(w io.Writer) {
		printLoads(w, reports)
		if o.Upstreams {
			printUpstreamLoads(w, reports)
		}
	})
	if err != nil {
		return err
	}
	return missingLoadsError(reports)
}

// missingLoadsError returns an error if a balancer did not answer.
func missingLoadsError(reports []fleet.LoadReport) error {
	count := 0
	for i := range reports {
		if reports[i].Load == nil {
			count++
		}
	}
	if count == 0 {
		return nil
	}
	return eris.Errorf("%d of %d balancers did not answer", count, len(reports))
}

// printLoads writes the load of each service in each zone, where its new flows go, and the
// balancers that know nothing of the load.
func printLoads(w io.Writer, reports []fleet.LoadReport) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf(t, "SERVICE\tZONE\tWORKING\tCAPACITY\tFREE\tAGE\tTOLD BY\n")
	for _, r := range serviceLoadRows(reports) {
		if !r.load.Known {
			printf(t, "%s\t%s\t-\t-\t-\tunknown\t%s\n", r.load.Service, r.load.Zone, r.balancer)
			continue
		}
		printf(t, "%s\t%s\t%.1f\t%.1f\t%.1f\t%s\t%s\n", r.load.Service, r.load.Zone,
			r.load.Working, r.load.Capacity, r.load.Free, loadAge(r.load.Age), r.balancer)
	}
	_ = t.Flush()

	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf(t, "\nSERVICE\tFROM\tBALANCERS\tKEEPS\tGIVES\tNO ROOM\n")
	for _, f := range flowShares(reports) {
		printf(t, "%s\t%s\t%d\t%.2f\t%s\t%.2f\n", f.service, f.from, f.balancers, f.keeps(), f.gives(), f.noRoom())
	}
	_ = t.Flush()

	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	heading := "\nBALANCER\tZONE\tSTATE\tWAITING\n"
	for i := range reports {
		r := &reports[i]
		state := loadState(r.Load)
		if state == "" {
			continue
		}
		printf(t, "%s", heading)
		heading = ""
		if r.Load == nil {
			printf(t, "%s\t-\t%s\t-\n", r.Label(), state)
			continue
		}
		printf(t, "%s\t%s\t%s\t%d\n", r.Label(), r.Load.Zone, state, r.Load.Waiting)
	}
	_ = t.Flush()
}

// printUpstreamLoads writes a line for each upstream, the slowest first.
func printUpstreamLoads(w io.Writer, reports []fleet.LoadReport) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf(t, "\nSERVICE\tUPSTREAM\tZONE\tSLOTS\tCAPACITY\tANSWERS\tFLOWS\tWORKING\tAGE\tNEW FLOWS\n")
	for _, r := range upstreamLoadRows(reports) {
		u := &r.load
		newFlows := "yes"
		if u.Avoided {
			newFlows = "avoid it"
		}
		if !u.Known {
			printf(t, "%s\t%s\t%s\t%d\t-\t-\t-\t-\tunknown\t%s\n", u.Service, u.Name, r.zone, u.Slots, newFlows)
			continue
		}
		printf(t, "%s\t%s\t%s\t%d\t%.1f\t%d\t%.0f\t%.1f\t%s\t%s\n", u.Service, u.Name, r.zone, u.Slots,
			u.Capacity, u.Answers, u.Flows, u.Working, loadAge(u.Age), newFlows)
	}
	_ = t.Flush()
}

// loadAge returns an age as text.
func loadAge(d config.Duration) string {
	text, _ := d.MarshalText()
	return string(text)
}
