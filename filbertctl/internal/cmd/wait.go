package cmd

import (
	"context"
	"slices"
	"strings"
	"time"

	"filbertworks.example/filbertworks/filbertctl/internal/fleet"
	"filbertworks.example/filbertworks/filbertctl/internal/remote"
)

// pollUntilReached looks again and again until poll says that nothing is missing. It
// gives a *TimeoutError after the options' timeout.
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
		// A look that was cut short tells less than the one before.
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

// printMissing writes a line of progress where it differs from the last.
func (c *Config) printMissing(previous, current []string) {
	if !slices.Equal(previous, current) {
		c.printProgress("waiting: %s", strings.Join(current, "; "))
	}
}

// waitError returns why a wait has ended without success.
func (c *Config) waitError(o *waitOptions, missing []string) error {
	if err := c.Context.Err(); err != nil {
		return err
	}
	return &TimeoutError{
		After:   o.Timeout,
		Missing: missing,
	}
}

// waitGoal waits until the balancers that the platform lists reach a goal.
func (c *Config) waitGoal(o *waitOptions, p *remote.Platform, g *fleet.Goal) error {
	return c.pollUntilReached(o, func(ctx context.Context) []string {
		vms, err := p.VMs(ctx)
		if err != nil {
			return []string{"the platform's list of VMs: " + err.Error()}
		}
		return g.Missing(fleet.Gather(ctx, c.HTTP, fleet.Targets(vms)))
	})
}
