package cmd

import (
	"context"
	"slices"
	"strings"
	"time"

	"filbertworks.example/filbertworks/filbertctl/internal/fleet"
	"filbertworks.example/filbertworks/filbertctl/internal/remote"
)

// pollUntilReached calls poll at the options' interval until it returns that nothing
// is missing. The error is a *TimeoutError after the options' timeout.
func (c *Config) pollUntilReached(o *waitOptions, poll func(context.Context) []string) error {
	ctx, cancel := context.WithTimeout(c.Context, o.Timeout)
	defer cancel()
	ticker := time.NewTicker(o.Interval)
	defer ticker.Stop()
	var missing []string
	for {
		current := poll(ctx)
		if len(current) == 0 {
			return nil
		}
		// A poll that the timeout interrupted says less than the one before.
		if ctx.Err() == nil || missing == nil {
			c.printMissing(missing, current)
			missing = current
		}
		select {
		case <-ctx.Done():
			return c.waitError(o, missing)
		case <-ticker.C:
		}
	}
}

// printMissing writes what is missing if it has changed.
func (c *Config) printMissing(previous, current []string) {
	if !slices.Equal(previous, current) {
		c.printProgress("waiting: %s", strings.Join(current, "; "))
	}
}

// waitError returns the error of a wait that ended without success.
func (c *Config) waitError(o *waitOptions, missing []string) error {
	if err := c.Context.Err(); err != nil {
		return err
	}
	return &TimeoutError{
		After:   o.Timeout,
		Missing: missing,
	}
}

// waitGoal waits until the balancers that the platform lists reach a goal. The list
// is read anew for each poll.
func (c *Config) waitGoal(o *waitOptions, p *remote.Platform, g *fleet.Goal) error {
	return c.pollUntilReached(o, func(ctx context.Context) []string {
		vms, err := p.VMs(ctx)
		if err != nil {
			return []string{"can't get the platform's list of VMs: " + err.Error()}
		}
		return g.Missing(fleet.Gather(ctx, c.HTTP, fleet.Targets(vms)))
	})
}
