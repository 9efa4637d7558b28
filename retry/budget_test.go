package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/retry"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBudgetInvariant checks the bound on retries over generated histories.
func TestBudgetInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		b := retry.NewBudget(now)
		successes, retries := retry.InitialSuccesses, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 900).Draw(t, "wait")) * time.Millisecond)
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess(now)
				successes++
				continue
			}
			if b.Spend(now) {
				retries++
			}
			require.LessOrEqual(t, retries*retry.SuccessesPerRetry, successes)
		}
	})
}

func TestBudgetWindow(t *testing.T) {
	cases := []struct {
		name      string
		successes int
		wait      time.Duration
		allowed   int
	}{
		{
			name:    "new",
			allowed: retry.InitialSuccesses / retry.SuccessesPerRetry,
		},
		{
			name:      "recent successes",
			successes: 50,
			wait:      retry.Window - time.Second,
			allowed:   (retry.InitialSuccesses + 50) / retry.SuccessesPerRetry,
		},
		{
			name:      "old successes",
			successes: 50,
			wait:      retry.Window,
			allowed:   0,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := retry.NewBudget(epoch)
			for range c.successes {
				b.RecordSuccess(epoch)
			}
			allowed := 0
			for b.Spend(epoch.Add(c.wait)) {
				allowed++
			}
			require.Equal(t, c.allowed, allowed)
		})
	}
}
