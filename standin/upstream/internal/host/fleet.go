package host

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"filbertworks.example/filbertworks/config"
)

// Paths of the control server.
const (
	// PathCounters serves the counters by upstream name.
	PathCounters = "/standin/counters"
	// PathFaults accepts Faults.
	PathFaults = "/standin/faults"
	// PathRuns serves the names of the upstreams that executed each POST
	// payload.
	PathRuns = "/standin/runs"
)

// maxBodySize is the greatest number of bytes read of a body with faults.
const maxBodySize = 1 << 16

// A Selection selects the upstreams of a document that a fleet simulates.
type Selection struct {
	// Services are names; empty means all.
	Services []string
	// Zone is a name; empty means all.
	Zone string
}

// A Fleet is the set of hosts in one process, which share a ledger.
type Fleet struct {
	hosts  []*Host
	ledger *Ledger
}

// NewFleet returns a fleet with a host for each selected upstream of a document.
// It returns an error if none is selected.
func NewFleet(document *config.Document, selection Selection, settings Settings, log *logrus.Logger) (*Fleet, error) {
	f := &Fleet{
		ledger: NewLedger(),
	}
	for _, s := range document.Services {
		if len(selection.Services) > 0 && !slices.Contains(selection.Services, s.Name) {
			continue
		}
		for _, u := range s.Upstreams {
			if selection.Zone != "" && u.Zone != selection.Zone {
				continue
			}
			h, err := New(s.Name, u, settings, f.ledger, log)
			if err != nil {
				return nil, err
			}
			f.hosts = append(f.hosts, h)
		}
	}
	if len(f.hosts) == 0 {
		return nil, eris.New("no upstream matches the selected services and zone")
	}
	return f, nil
}

// Counters returns the counters by upstream name.
func (f *Fleet) Counters() map[string]Counters {
	counters := make(map[string]Counters, len(f.hosts))
	for _, h := range f.hosts {
		counters[h.Name()] = h.Counters()
	}
	return counters
}

// Handler returns the HTTP handler of the control server.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, f.Counters())
	})
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, f.ledger.Runs())
	})
	mux.HandleFunc("POST "+PathFaults, f.serveFaults)
	return mux
}

// Inject injects faults and returns the number of hosts that they apply to.
func (f *Fleet) Inject(faults Faults) int {
	matched := 0
	for _, h := range f.hosts {
		if faults.Upstream == "" || faults.Upstream == h.Name() {
			h.Inject(faults)
			matched++
		}
	}
	return matched
}

// Run serves until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, h := range f.hosts {
		group.Go(func() { h.Run(ctx) })
	}
	group.Wait()
}

func (f *Fleet) serveFaults(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodySize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var faults Faults
	if err := config.Decode(data, &faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Inject(faults) == 0 {
		http.Error(w, "no such upstream", http.StatusNotFound)
		return
	}
	writeJSON(w, faults)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
