package host

import (
	"context"
	"encoding/json"
	"time"

	"filbertworks.example/filbertworks/config"
)

// A loadReport is the answer of GET /load.
type loadReport struct {
	Generation  uint32 `json:"generation"`
	Requests    int    `json:"requests"`
	Connections int    `json:"connections"`
}

// A healthReport is the answer of GET /health.
type healthReport struct {
	// Status is "up", "cold" or "draining".
	Status     string `json:"status"`
	Generation uint32 `json:"generation"`
}

// healthPayload returns the answer of GET /health.
func (h *Host) healthPayload() []byte {
	report := healthReport{
		Status:     "up",
		Generation: h.generation,
	}
	switch {
	case h.upstream.State == config.UpstreamDraining:
		report.Status = "draining"
	case h.capacity.cold() && !h.mislead:
		report.Status = "cold"
	}
	return encodeReport(report)
}

// loadPayload returns the answer of GET /load, as last sampled.
func (h *Host) loadPayload() []byte {
	report := h.loadSample
	if h.mislead {
		report.Requests = 0
		report.Connections = 0
	}
	return encodeReport(report)
}

// sampleLoad takes the sample that GET /load answers.
func (h *Host) sampleLoad() {
	h.loadSample = loadReport{
		Generation:  h.generation,
		Requests:    h.capacity.inFlight,
		Connections: len(h.watches.open),
	}
}

// runLoadSampler renews the load report at the interval of its lag.
func (h *Host) runLoadSampler(ctx context.Context) {
	ticker := time.NewTicker(max(time.Millisecond, h.settings.ReportInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.mu.Lock()
			h.sampleLoad()
			h.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

func encodeReport(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}
