package load

import (
	"fmt"
	"time"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
)

// start is an arbitrary time.
var start = time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)

// at returns the time so many milliseconds after start.
func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// hostsOf returns n hosts of one service with 8 slots; their tickets count from 1.
func hostsOf(n int) []*directory.Upstream {
	hosts := make([]*directory.Upstream, n)
	for i := range hosts {
		hosts[i] = &directory.Upstream{
			ID:      fmt.Sprintf("i-%010x", i+1),
			Service: "board",
			Zone:    "a",
			Slots:   8,
		}
	}
	return hosts
}

// reportOf returns a report, of a period of 250 ms, with the same load of all hosts.
func reportOf(sender uint64, sequence uint32, hosts []*directory.Upstream, flows int, working float64) *Report {
	r := &Report{
		Sender:   sender,
		Sequence: sequence,
		Period:   250 * time.Millisecond,
	}
	for _, h := range hosts {
		r.Samples = append(r.Samples, Sample{
			Ticket:  h.Ticket(),
			Flows:   flows,
			Working: working,
		})
	}
	return r
}

// An addition is a call of estimates.Add.
type addition struct {
	sender uint64
	ticket directory.Ticket
}

// estimates is an estimator that records what is added and returns set values.
type estimates struct {
	added  []addition
	values map[directory.Ticket]capacity.Estimate
}

func (e *estimates) Add(_ time.Time, sender uint64, t directory.Ticket, _ capacity.Observation) {
	e.added = append(e.added, addition{
		sender: sender,
		ticket: t,
	})
}

func (e *estimates) Estimate(_ time.Time, hosts []*directory.Upstream) []capacity.Estimate {
	result := make([]capacity.Estimate, len(hosts))
	for i, h := range hosts {
		v, ok := e.values[h.Ticket()]
		if !ok {
			v.Capacity = float64(h.Slots)
		}
		result[i] = v
	}
	return result
}
