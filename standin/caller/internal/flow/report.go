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

// NoZone is the zone reported for flows that no known upstream answered.
const NoZone = "-"

// Counts are numbers of flows by outcome.
type Counts struct {
	Opened   int `json:"opened"`
	Answered int `json:"answered"`
	// Refused counts refusals of requests that were not run; a retried request
	// may be refused several times.
	Refused int `json:"refused"`
	// MayHaveRun counts requests whose outcome is unknown.
	MayHaveRun int `json:"mayHaveRun"`
	// Broken counts the times that a watch moved away from an upstream that it
	// may not leave, or received no update for too long.
	Broken int `json:"broken"`
	// Wrong counts answers that are corrupt or belong to another request.
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

// A Row holds the counts of one service and zone.
type Row struct {
	Service string `json:"service"`
	// Zone is the zone of the answering upstream, or NoZone.
	Zone string `json:"zone"`
	Counts
}

// A Report sums counts by service and zone. It is safe for concurrent use.
type Report struct {
	mu   sync.Mutex
	rows []*Row
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{}
}

// Add adds counts to those of a service and zone.
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

// FailureReason returns why the run failed, or "" if it succeeded. A run fails if
// a flow was broken, an answer was wrong or a service answered nothing.
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

// Rows returns the rows sorted by service and zone.
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
