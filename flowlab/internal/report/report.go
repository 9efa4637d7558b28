// Package report writes the results of emulated runs as a table and as a plot.
package report

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/flowlab/internal/emulation"
)

// A Row combines the runs with the same load, number of balancers and policy.
type Row struct {
	Load      string
	Balancers int
	// Policy is the policy, followed by the placement unless it is that of the
	// forwarder.
	Policy  string
	results []*emulation.Result
}

// GroupResults groups results that differ in their seeds only, in the order of
// their first occurrence.
func GroupResults(results []*emulation.Result) []*Row {
	var rows []*Row
	for _, r := range results {
		row := findRow(rows, r)
		if row == nil {
			row = &Row{
				Load:      r.Load,
				Balancers: r.Options.Balancers,
				Policy:    policyLabel(r),
			}
			rows = append(rows, row)
		}
		row.results = append(row.results, r)
	}
	return rows
}

// findRow returns the row that a result belongs to, or nil.
func findRow(rows []*Row, r *emulation.Result) *Row {
	for _, row := range rows {
		if row.Load == r.Load && row.Balancers == r.Options.Balancers && row.Policy == policyLabel(r) {
			return row
		}
	}
	return nil
}

// policyLabel returns the name of the policy, and of the placement unless it is
// that of the forwarder.
func policyLabel(r *emulation.Result) string {
	o := r.Options
	if o.Placement == emulation.PlacementForwarder {
		return o.Policy
	}
	return o.Policy + ", " + o.Placement
}

// mean returns the mean of a value over the runs.
func (r *Row) mean(value func(*emulation.Result) float64) float64 {
	sum := 0.0
	for _, x := range r.results {
		sum += value(x)
	}
	return sum / float64(len(r.results))
}

// OnTimeShare returns the share of requests that were answered within the
// latency target.
func (r *Row) OnTimeShare() float64 {
	return r.mean(func(x *emulation.Result) float64 { return x.Total().OnTimeShare() })
}

// FailedShare returns the share of requests that were not answered.
func (r *Row) FailedShare() float64 {
	return r.mean(func(x *emulation.Result) float64 {
		t := x.Total()
		return float64(t.Failed) / float64(max(t.Sent, 1))
	})
}

// onTimeShares returns the share of requests answered on time for each second.
func (r *Row) onTimeShares() []float64 {
	shares := make([]float64, len(r.results[0].Windows))
	for i := range shares {
		shares[i] = r.mean(func(x *emulation.Result) float64 { return x.Windows[i].OnTimeShare() })
	}
	return shares
}

// WriteTable writes rows as a Markdown table.
func WriteTable(w io.Writer, rows []*Row) error {
	var b strings.Builder
	b.WriteString("| load | balancers | policy | in aim | worst second | failed | hosts found dead | median time | living flows reset | probes |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		worst := r.mean((*emulation.Result).WorstOnTimeShare)
		detected := r.mean(func(x *emulation.Result) float64 { return float64(len(x.DetectionTimes)) })
		failedHosts := r.mean(func(x *emulation.Result) float64 { return float64(x.FailedHosts) })
		median := r.mean(func(x *emulation.Result) float64 { return x.MedianDetectionTime().Seconds() })
		resets := r.mean(func(x *emulation.Result) float64 { return float64(x.LiveFlowResets) })
		probes := r.mean(func(x *emulation.Result) float64 { return float64(x.Probes) })
		fmt.Fprintf(&b, "| %s | %d | %s | %.4f | %.3f | %.4f | %.1f of %.0f | %v | %.1f | %.0f |\n", r.Load, r.Balancers, r.Policy,
			r.OnTimeShare(), worst, r.FailedShare(), detected, failedHosts, time.Duration(median*float64(time.Second)).Round(time.Millisecond), resets, probes)
	}
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write table")
}

// WriteParts writes a Markdown table with a row for each zone and each kind of requests.
func WriteParts(w io.Writer, rows []*Row) error {
	var b strings.Builder
	b.WriteString("| load | balancers | policy | part | in time | worst 2 s | late | failed | refused by hosts | rejected | busiest host |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		for i := range r.results[0].Zones {
			r.writePart(&b, func(x *emulation.Result) *emulation.Part { return &x.Zones[i] })
		}
		for i := range r.results[0].Kinds {
			r.writePart(&b, func(x *emulation.Result) *emulation.Part { return &x.Kinds[i] })
		}
	}
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write parts")
}

// writePart writes the row of a zone or kind.
func (r *Row) writePart(b *strings.Builder, part func(*emulation.Result) *emulation.Part) {
	mean := func(value func(*emulation.Part) float64) float64 {
		return r.mean(func(x *emulation.Result) float64 { return value(part(x)) })
	}
	count := func(value func(w emulation.Window) int) float64 {
		return mean(func(p *emulation.Part) float64 { return float64(value(p.Total())) })
	}
	fmt.Fprintf(b, "| %s | %d | %s | %s | %.4f | %.3f | %.0f | %.0f | %.0f | %.0f | %.2f |\n", r.Load, r.Balancers, r.Policy, part(r.results[0]).Name,
		mean(func(p *emulation.Part) float64 { return p.Total().OnTimeShare() }),
		mean((*emulation.Part).WorstOnTimeShare),
		count(func(w emulation.Window) int { return w.Late }),
		count(func(w emulation.Window) int { return w.Failed }),
		count(func(w emulation.Window) int { return w.Refused }),
		count(func(w emulation.Window) int { return w.Rejected }),
		mean(func(p *emulation.Part) float64 { return p.BusiestOverMean }))
}
