package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/keeper"
)

func TestLeave(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const deadline = 2 * time.Second
	const refresh = 30 * time.Second
	// end is the time limit of the leave: a refresh interval with its jitter, the
	// lifetime of an execution ticket and the request deadline.
	const end = 33*time.Second + keeper.ExecutionTicketLifetime + deadline
	tests := []struct {
		name             string
		lastTicketExpiry time.Duration
		refresh          time.Duration
		work             keeper.ActiveWork
		after            time.Duration
		finished         bool
	}{
		{name: "no work left", refresh: refresh, after: deadline, finished: true},
		{name: "execution ticket not yet expired", refresh: refresh, lastTicketExpiry: keeper.ExecutionTicketLifetime, after: 11 * time.Second},
		{name: "execution ticket expired and its deadline passed", refresh: refresh, lastTicketExpiry: keeper.ExecutionTicketLifetime, after: 12 * time.Second, finished: true},
		{name: "request in flight", refresh: refresh, work: keeper.ActiveWork{Requests: 1}, after: 12 * time.Second},
		{name: "watches not yet refreshed", refresh: refresh, work: keeper.ActiveWork{Watches: 1}, after: end - time.Second},
		{name: "watches never refreshed", refresh: refresh, work: keeper.ActiveWork{Watches: 1}, after: end, finished: true},
		{name: "long refresh interval", refresh: time.Hour, work: keeper.ActiveWork{Watches: 1}, after: MaxLeaveDuration, finished: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLeave(start, start.Add(tt.lastTicketExpiry), deadline, tt.refresh)
			require.Equal(t, tt.finished, l.finished(start.Add(tt.after), tt.work))
		})
	}
}
