package flow

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// NoZone stands for the zone of a flow that no known upstream answered.
const NoZone = "-"

// A Counts counts flows by what became of them.
type Counts struct {
	Opened   int `json:"opened"`
	Answered int `json:"answered"`
	// Refused counts refusals as not run; a retried request may have several.
	Refused int `json:"refused"`
	// MayHaveRun counts requests whose outcome is unknown.
	MayHaveRun int `json:"mayHaveRun"`
	// Broken counts watches that moved to another upstream or fell silent.
	Broken int `json:"broken"`
	// Wrong counts answers that are corrupt or another request's.
	Wrong int `json:"wrong"`
}

func (c *Counts) add(other Counts) {
	c.Opened += other.Opened
	c.Answered += other.Answered
	c.Refused += other.Refused
	c.MayHaveRun += other.MayHaveRun
	c.Broken += other.Broken
	c.Wrong += other.Wrong
}

// A Row is the tally of one service and zone.
type Row struct {
	Service string `json:"service"`
	// Zone is that of the answering upstream, or NoZone.
	Zone string `json:"zone"`
	Counts
}

// A Report gathers tallies; it is safe for concurrent use.
type Report struct {
	mu   sync.Mutex
	rows []*Row
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{}
}

// Add adds a tally to that of a service and zone.
func (r *Report) Add(service, zone string, counts Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range r.rows {
		if row.Service == service && row.Zone == zone {
			row.add(counts)
			return
		}
	}
	r.rows = append(r.rows, &Row{
		Service: service,
		Zone:    zone,
		Counts:  counts,
	})
}

// FailureReason returns why the run is no success, or "": a flow was broken or an
// answer wrong, or a service answered nothing.
func (r *Report) FailureReason() string {
	services := make(map[string]*Counts)
	total := Counts{}
	for _, row := range r.Rows() {
		total.add(row.Counts)
		if services[row.Service] == nil {
			services[row.Service] = &Counts{}
		}
		services[row.Service].add(row.Counts)
	}
	if total.Broken > 0 || total.Wrong > 0 {
		return fmt.Sprintf("%d broken, %d wrong", total.Broken, total.Wrong)
	}
	for name, t := range services {
		if t.Opened > 0 && t.Answered == 0 {
			return name + " answered nothing"
		}
	}
	return ""
}

// Rows returns the rows in the order of service and zone.
func (r *Report) Rows() []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]Row, 0, len(r.rows))
	for _, row := range r.rows {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return strings.Compare(a.Service+" "+a.Zone, b.Service+" "+b.Zone)
	})
	return rows
}

// WriteJSON writes the rows as a JSON list.
func (r *Report) WriteJSON(w io.Writer) error {
	return eris.Wrap(json.NewEncoder(w).Encode(r.Rows()), "report")
}

// WriteTable writes the rows as a table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "service\tzone\topened\tanswered\trefused not-run\tmay-have-run\tbroken\twrong")
	for _, row := range r.Rows() {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", row.Service, row.Zone,
			row.Opened, row.Answered, row.Refused, row.MayHaveRun, row.Broken, row.Wrong)
	}
	return eris.Wrap(t.Flush(), "report")
}
