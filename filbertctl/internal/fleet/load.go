package fleet

import (
	"context"
	"net/netip"

	"filbertworks.example/filbertworks/filbertctl/internal/remote"
	"filbertworks.example/filbertworks/status"
)

// A LoadReport is what a balancer knows of the shared load, or the error in requesting it.
type LoadReport struct {
	Metrics netip.AddrPort `json:"metrics"`
	// Load is nil if the balancer did not answer.
	Load *status.Load `json:"load,omitempty"`
	// Error says why it did not answer.
	Error string `json:"error,omitempty"`
}

// Label returns the balancer's name, or its address if the name is unknown.
func (r *LoadReport) Label() string {
	if r.Load != nil && r.Load.Balancer != "" {
		return r.Load.Balancer
	}
	return r.Metrics.String()
}

// GatherLoads requests what the balancers at metrics addresses know of the shared load, and
// returns a report for each, in the order of addresses.
func GatherLoads(ctx context.Context, doer remote.Doer, addresses []netip.AddrPort) []LoadReport {
	reports := make([]LoadReport, len(addresses))
	each(len(addresses), func(i int) {
		r := &reports[i]
		r.Metrics = addresses[i]
		l, err := remote.NewBalancer(doer, addresses[i]).Load(ctx)
		if err != nil {
			r.Error = err.Error()
			return
		}
		r.Load = l
	})
	return reports
}
