// Package report shows results of emulated runs as a table and as a plot.
package report

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/flowlab/internal/emulation"
)

// A Row joins the runs of one load, number of balancers and policy.
type Row struct {
	Load      string
	Balancers int
	// Policy is the policy, with the placement where that is not the balancers'
	// own.
	Policy string
	runs   []*emulation.Result
}

// GroupResults joins results that differ in their seeds only, in the order in which they
// come first.
func GroupResults(results []*emulation.Result) []*Row {
	var rows []*Row
	for _, r := range results {
		row := find(rows, r)
		if row == nil {
			row = &Row{
				Load:      r.Load,
				Balancers: r.Options.Balancers,
				Policy:    policyOf(r),
			}
			rows = append(rows, row)
		}
		row.runs = append(row.runs, r)
	}
	return rows
}

func find(rows []*Row, r *emulation.Result) *Row {
	for _, row := range rows {
		if row.Load == r.Load && row.Balancers == r.Options.Balancers && row.Policy == policyOf(r) {
			return row
		}
	}
	return nil
}

func policyOf(r *emulation.Result) string {
	o := r.Options
	if o.Placement == emulation.PlacementForwarder {
		return o.Policy
	}
	return o.Policy + ", " + o.Placement
}

// mean returns the mean of a figure over the runs.
func (r *Row) mean(figure func(*emulation.Result) float64) float64 {
	sum := 0.0
	for _, x := range r.runs {
		sum += figure(x)
	}
	return sum / float64(len(r.runs))
}

// OnTimeShare returns the share of requests that were answered in aim.
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

// windows returns the share in aim of each second.
func (r *Row) windows() []float64 {
	shares := make([]float64, len(r.runs[0].Windows))
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
		found := r.mean(func(x *emulation.Result) float64 { return float64(len(x.DetectionTimes)) })
		of := r.mean(func(x *emulation.Result) float64 { return float64(x.FailedHosts) })
		median := r.mean(func(x *emulation.Result) float64 { return x.MedianDetectionTime().Seconds() })
		broken := r.mean(func(x *emulation.Result) float64 { return float64(x.LiveFlowResets) })
		probes := r.mean(func(x *emulation.Result) float64 { return float64(x.Probes) })
		fmt.Fprintf(&b, "| %s | %d | %s | %.4f | %.3f | %.4f | %.1f of %.0f | %v | %.1f | %.0f |\n", r.Load, r.Balancers, r.Policy,
			r.OnTimeShare(), worst, r.FailedShare(), found, of, time.Duration(median*float64(time.Second)).Round(time.Millisecond), broken, probes)
	}
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write table")
}
