package cmd

import (
	"context"
	"slices"
	"strings"
	"time"

	"filbertworks.example/filbertworks/filbertctl/internal/fleet"
	"filbertworks.example/filbertworks/filbertctl/internal/remote"
)

// wait looks again and again until look says that nothing is missing. It
// gives a *TimeoutError after the options' timeout.
func (c *Config) wait(o *waitOptions, look func(context.Context) []string) error {
	ctx, cancel := context.WithTimeout(c.Context, o.Timeout)
	defer cancel()
	ticker := time.NewTicker(o.Interval)
	defer ticker.Stop()
	var missing []string
	for {
		found := look(ctx)
		if len(found) == 0 {
			return nil
		}
		// A look that was cut short tells less than the one before.
		if ctx.Err() == nil || missing == nil {
			c.noteMissing(missing, found)
			missing = found
		}
		select {
		case <-ctx.Done():
			return c.waitError(o, missing)
		case <-ticker.C:
		}
	}
}

// noteMissing writes a line of progress where it differs from the last.
func (c *Config) noteMissing(before, now []string) {
	if !slices.Equal(before, now) {
		c.note("waiting: %s", strings.Join(now, "; "))
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
	return c.wait(o, func(ctx context.Context) []string {
		vms, err := p.VMs(ctx)
		if err != nil {
			return []string{"the platform's list of VMs: " + err.Error()}
		}
		return g.Missing(fleet.Gather(ctx, c.HTTP, fleet.Targets(vms)))
	})
}
