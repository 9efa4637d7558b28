package host

import (
	"context"
	"encoding/json"
	"time"

	"filbertworks.example/filbertworks/config"
)

// A loadReport is the payload of the response to GET /load.
type loadReport struct {
	Generation  uint32 `json:"generation"`
	Requests    int    `json:"requests"`
	Connections int    `json:"connections"`
}

// A healthReport is the payload of the response to GET /health.
type healthReport struct {
	// Status is "up", "cold" or "draining".
	Status     string `json:"status"`
	Generation uint32 `json:"generation"`
}

// healthPayload returns the encoded health report.
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

// loadPayload returns the last sampled load report, encoded.
func (h *Host) loadPayload() []byte {
	report := h.loadSample
	if h.mislead {
		report.Requests = 0
		report.Connections = 0
	}
	return encodeReport(report)
}

// sampleLoad stores the present load as the sample that GET /load returns.
func (h *Host) sampleLoad() {
	h.loadSample = loadReport{
		Generation:  h.generation,
		Requests:    h.capacity.inFlight,
		Connections: len(h.watches.open),
	}
}

// runLoadSampler samples the load at every report interval, so that a report is
// at most that old.
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
