package host

import (
	"slices"
	"sync"
)

// A Ledger records which upstreams executed each POST payload, across all hosts
// of the process, to detect payloads that were executed twice. It is safe for
// concurrent use.
type Ledger struct {
	mu sync.Mutex
	// runs maps each payload to the names of the upstreams that executed it.
	runs map[string][]string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		runs: make(map[string][]string),
	}
}

// RecordRun records an execution of the payload id and returns the upstreams of
// all its executions so far.
func (l *Ledger) RecordRun(id, upstream string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], upstream)
	return slices.Clone(l.runs[id])
}

// Runs returns the upstreams that executed each payload, in order of execution.
func (l *Ledger) Runs() map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string][]string, len(l.runs))
	for id, upstreams := range l.runs {
		runs[id] = slices.Clone(upstreams)
	}
	return runs
}
