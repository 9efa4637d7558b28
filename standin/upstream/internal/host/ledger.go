package host

import (
	"slices"
	"sync"
)

// A Ledger records where each POST payload was executed, over all hosts of the
// process. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs map[string][]string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		runs: make(map[string][]string),
	}
}

// RecordRun records an execution and returns the upstreams of all executions of id.
func (l *Ledger) RecordRun(id, upstream string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], upstream)
	return slices.Clone(l.runs[id])
}

// Runs returns the upstreams that executed each payload.
func (l *Ledger) Runs() map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string][]string, len(l.runs))
	for id, upstreams := range l.runs {
		runs[id] = slices.Clone(upstreams)
	}
	return runs
}
