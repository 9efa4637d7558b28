package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/filbertctl/internal/fleet"
	"filbertworks.example/filbertworks/filbertctl/internal/remote"
)

// A drainBalancer makes a balancer leave and waits until it has left.
type drainBalancer struct {
	Admin  addressFlag `long:"admin" value-name:"IP:PORT" required:"true" description:"The balancer's admin endpoint"`
	NoWait bool        `long:"no-wait" description:"Exit once the leave has started"`
	waitOptions

	config *Config
}

// A DrainResult is the result of draining a balancer.
type DrainResult struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Left is true if the program has seen that the balancer has left.
	Left bool `json:"left"`
}

// Execute runs the subcommand.
func (o *drainBalancer) Execute([]string) error {
	if err := o.check(); err != nil {
		return err
	}
	balancer := remote.NewBalancer(o.config.HTTP, o.Admin.AddrPort)
	before, err := balancer.Status(o.config.Context)
	if err != nil {
		return eris.Wrap(err, "get the status before the leave")
	}
	if err := balancer.Drain(o.config.Context); err != nil {
		return eris.Wrap(err, "start the leave")
	}
	r := DrainResult{
		Name:        before.Name,
		Incarnation: before.Incarnation,
	}
	if !o.NoWait {
		if err := o.waitUntilLeft(before.Incarnation); err != nil {
			return eris.Wrapf(err, "%s was told to leave", r.Name)
		}
		r.Left = true
	}
	return o.config.write(r, func(w io.Writer) {
		if r.Left {
			printf(w, "%s has left\n", r.Name)
			return
		}
		printf(w, "%s is leaving\n", r.Name)
	})
}

// waitUntilLeft waits until the connection is refused or another process answers at
// the address. A missing answer doesn't prove that the balancer has left, as the
// network may have failed.
func (o *drainBalancer) waitUntilLeft(incarnation string) error {
	targets := []fleet.Target{
		{Admin: o.Admin.AddrPort},
	}
	return o.config.pollUntilReached(&o.waitOptions, func(ctx context.Context) []string {
		r := &fleet.Gather(ctx, o.config.HTTP, targets)[0]
		switch {
		case r.ConnectionRefused:
			return nil
		case r.Status == nil:
			return []string{r.Label() + " does not answer: " + r.Error}
		case r.Status.Incarnation != incarnation:
			return nil
		default:
			return []string{fmt.Sprintf("%s has %d flows and %d requests", r.Label(), r.Status.Flows, r.Status.Requests)}
		}
	})
}
