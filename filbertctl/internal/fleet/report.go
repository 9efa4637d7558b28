// Package fleet collects the states of many balancers concurrently.
package fleet

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"syscall"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/filbertctl/internal/remote"
	"filbertworks.example/filbertworks/status"
)

// maxCalls is the maximum number of concurrent calls.
const maxCalls = 16

// A Target is a balancer whose state is requested.
type Target struct {
	// Name and Zone are empty if only the address is known.
	Name  string         `json:"name,omitempty"`
	Zone  string         `json:"zone,omitempty"`
	Admin netip.AddrPort `json:"admin"`
	// Leaving is true if the platform lists the VM as leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// A Report is the state of a balancer, or the error in requesting it.
type Report struct {
	Target
	// Status is nil if the balancer did not answer.
	Status *status.Status `json:"status,omitempty"`
	// Error says why it did not answer.
	Error string `json:"error,omitempty"`
	// ConnectionRefused is true if nothing listens at the address.
	ConnectionRefused bool `json:"-"`
}

// Label returns the balancer's name, or its address if the name is unknown.
func (r *Report) Label() string {
	if r.Status != nil && r.Status.Name != "" {
		return r.Status.Name
	}
	if r.Name != "" {
		return r.Name
	}
	return r.Admin.String()
}

// Targets returns the balancers of the listed VMs.
func Targets(vms []config.VM) []Target {
	targets := make([]Target, 0, len(vms))
	for i := range vms {
		targets = append(targets, Target{
			Name:    vms[i].Name,
			Zone:    vms[i].Zone,
			Admin:   vms[i].Admin,
			Leaving: vms[i].State == config.VMLeaving,
		})
	}
	return targets
}

// Gather requests the states of all targets and returns a report for each, in the
// order of targets.
func Gather(ctx context.Context, doer remote.Doer, targets []Target) []Report {
	reports := make([]Report, len(targets))
	each(len(targets), func(i int) { reports[i] = fetchReport(ctx, doer, targets[i]) })
	return reports
}

// each calls f for the indices below n, for maxCalls of them at a time.
func each(n int, f func(i int)) {
	semaphore := make(chan struct{}, maxCalls)
	var group sync.WaitGroup
	for i := range n {
		semaphore <- struct{}{}
		group.Go(func() {
			f(i)
			<-semaphore
		})
	}
	group.Wait()
}

func fetchReport(ctx context.Context, doer remote.Doer, t Target) Report {
	r := Report{Target: t}
	s, err := remote.NewBalancer(doer, t.Admin).Status(ctx)
	if err != nil {
		r.Error = err.Error()
		r.ConnectionRefused = errors.Is(err, syscall.ECONNREFUSED)
		return r
	}
	r.Status = s
	return r
}
