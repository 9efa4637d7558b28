package system

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/status"
)

// ErrConflict reports a patch whose base is not the version in force.
var ErrConflict = eris.New("patch conflicts with the version in force")

// UpstreamCounters holds the counters of a stand-in upstream since its start.
type UpstreamCounters struct {
	Requests     uint64 `json:"requests"`
	Sheds        uint64 `json:"sheds"`
	Runs         uint64 `json:"runs"`
	DoubleRuns   uint64 `json:"doubleRuns"`
	WrongService uint64 `json:"wrongService"`
	MaxRequests  int    `json:"maxRequests"`
	Connections  int    `json:"connections"`
	Overloaded   uint64 `json:"overloaded"`
}

// Counts returns the counters of all upstreams by upstream name.
func (s *System) Counts(ctx context.Context) (map[string]UpstreamCounters, error) {
	counts := make(map[string]UpstreamCounters)
	return counts, s.get(ctx, s.upstreamControlURL("/standin/counters"), &counts)
}

// SetPlatformFaults sets the faults of the stand-in platform as JSON, such as
// {"down":true}.
func (s *System) SetPlatformFaults(ctx context.Context, fault string) error {
	_, err := s.post(ctx, s.platformURL("/standin/faults"), []byte(fault))
	return err
}

// SetUpstreamFaults sets faults of stand-in upstreams as JSON, such as
// {"upstream":"","cold":true}.
func (s *System) SetUpstreamFaults(ctx context.Context, fault string) error {
	_, err := s.post(ctx, s.upstreamControlURL("/standin/faults"), []byte(fault))
	return err
}

// Patch submits a patch with operations to the platform. The error is
// ErrConflict if base is not the version in force.
func (s *System) Patch(ctx context.Context, base config.Version, operations ...config.Operation) error {
	data, err := json.Marshal(config.Patch{
		Base:       base,
		Operations: operations,
	})
	if err != nil {
		return eris.Wrap(err, "encode patch")
	}
	code, err := s.post(ctx, s.platformURL(config.PathPatch), data)
	if code == http.StatusConflict {
		return ErrConflict
	}
	return err
}

// WaitReady waits until every balancer is ready to serve callers.
func (s *System) WaitReady(ctx context.Context) error {
	for i := range s.vms {
		if err := s.awaitURL(ctx, "http://"+s.vms[i].Admin.String()+status.PathReady); err != nil {
			return err
		}
	}
	return nil
}

// Status returns the status of the named balancer.
func (s *System) Status(ctx context.Context, name string) (status.Status, error) {
	for i := range s.vms {
		if s.vms[i].Name == name {
			var v status.Status
			return v, s.get(ctx, "http://"+s.vms[i].Admin.String()+status.PathStatus, &v)
		}
	}
	return status.Status{}, eris.Errorf("no balancer %s", name)
}

// WaitUntil polls a condition until it holds. It returns an error that names what
// if the condition does not hold within a time.
func (s *System) WaitUntil(ctx context.Context, within time.Duration, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Errorf("%s: not within %v", what, within)
		}
	}
	return nil
}

// awaitURL waits until a GET of a URL succeeds (status 200), for at most
// readyTimeout.
func (s *System) awaitURL(ctx context.Context, url string) error {
	return s.WaitUntil(ctx, readyTimeout, url, func() bool {
		return s.get(ctx, url, nil) == nil
	})
}

// upstreamControlURL returns the URL of a path of the stand-in upstreams' control
// server.
func (s *System) upstreamControlURL(path string) string {
	return "http://" + s.address(0, 1, portUpstreamControl).String() + path
}

// get fetches a URL and decodes the JSON answer into v, unless v is nil.
func (s *System) get(ctx context.Context, url string, v any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "request")
	}
	data, _, err := s.do(request)
	if err != nil || v == nil {
		return err
	}
	return eris.Wrapf(json.Unmarshal(data, v), "decode %s", url)
}

func (s *System) do(request *http.Request) (body []byte, code int, err error) {
	response, err := s.client.Do(request)
	if err != nil {
		return nil, 0, eris.Wrap(err, "call")
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read answer")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, response.StatusCode, eris.Errorf("%s: %s: %s", request.URL, response.Status, body)
	}
	return body, response.StatusCode, nil
}

// platformURL returns the URL of a path of the stand-in platform.
func (s *System) platformURL(path string) string {
	return "http://" + s.address(0, 1, portPlatform).String() + path
}

func (s *System) post(ctx context.Context, url string, body []byte) (code int, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "request")
	}
	request.Header.Set("Content-Type", "application/json")
	_, code, err = s.do(request)
	return code, err
}

// publishVMs sets the list of VMs that the stand-in platform publishes.
func (s *System) publishVMs(ctx context.Context) error {
	data, err := json.Marshal(config.VMList{VMs: s.vms})
	if err != nil {
		return eris.Wrap(err, "encode VMs")
	}
	_, err = s.post(ctx, s.platformURL("/standin/vms"), data)
	return err
}
