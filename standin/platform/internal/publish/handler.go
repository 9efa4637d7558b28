package publish

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"
	transport "github.com/go-kit/kit/transport/http"
	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// Paths with which tests control the stand-in.
const (
	PathCalls  = "/standin/calls"
	PathFaults = "/standin/faults"
	PathVMs    = "/standin/vms"
)

const (
	// maxBodySize is the greatest number of bytes read of a request body.
	maxBodySize = 1 << 20
	// maxWait is the longest time that a watch waits.
	maxWait = 5 * time.Minute
	// defaultWait is the time that a watch waits if its query has no wait.
	defaultWait = 30 * time.Second
)

var errBadRequest = eris.New("bad request")

// A watchRequest holds the query parameters of a watch.
type watchRequest struct {
	after config.Version
	wait  time.Duration
}

// An errorResponse is the body of a response to a failed call.
type errorResponse struct {
	Faults []config.Fault `json:"faults,omitempty"`
	Error  string         `json:"error,omitempty"`
}

// A conflictResponse is the body of the response to a patch whose base is not
// the version in force.
type conflictResponse struct {
	Version config.Version `json:"version"`
}

// NewHandler returns an HTTP handler that serves the platform's calls and the
// control calls of tests from a store. Faults affect only the platform's calls.
func NewHandler(s *Store) http.Handler {
	mux := http.NewServeMux()
	handleControl := func(pattern string, e endpoint.Endpoint, d transport.DecodeRequestFunc) {
		mux.Handle(pattern, newServer(e, d))
	}
	handlePlatform := func(method, path string, e endpoint.Endpoint, d transport.DecodeRequestFunc) {
		mux.Handle(method+" "+path, s.countCalls(path, newServer(s.applyFaults(e), d)))
	}
	handlePlatform(http.MethodGet, config.PathSnapshot, s.serveSnapshot, decodeEmpty)
	handlePlatform(http.MethodGet, config.PathWatch, s.serveWatch, decodeWatch)
	handlePlatform(http.MethodGet, config.PathVMs, s.serveVMs, decodeEmpty)
	handlePlatform(http.MethodPost, config.PathPatch, s.servePatch, decodeJSON[config.Patch])
	handleControl("GET "+PathCalls, s.serveCalls, decodeEmpty)
	handleControl("GET "+PathFaults, s.serveFaults, decodeEmpty)
	handleControl("POST "+PathFaults, s.serveSetFaults, decodeJSON[Faults])
	handleControl("POST "+PathVMs, s.serveSetVMs, decodeJSON[config.VMList])
	return mux
}

// countCalls wraps a handler to count every call of a path, including
// malformed ones.
func (s *Store) countCalls(path string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.CountCall(path)
		next.ServeHTTP(w, r)
	})
}

// applyFaults wraps an endpoint to fail while the store is down and to apply
// the delay before each call.
func (s *Store) applyFaults(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		f := s.Faults()
		if f.Down {
			return nil, ErrDown
		}
		select {
		case <-time.After(time.Duration(f.Delay)):
		case <-ctx.Done():
		}
		return next(ctx, request)
	}
}

func (s *Store) serveCalls(context.Context, any) (any, error) {
	return s.Calls(), nil
}

func (s *Store) serveFaults(context.Context, any) (any, error) {
	return s.Faults(), nil
}

func (s *Store) servePatch(_ context.Context, request any) (any, error) {
	version, err := s.Apply(request.(*config.Patch))
	if err != nil {
		return nil, err
	}
	return config.Publication{
		Version: version,
	}, nil
}

func (s *Store) serveSetFaults(_ context.Context, request any) (any, error) {
	s.SetFaults(*request.(*Faults))
	return s.Faults(), nil
}

func (s *Store) serveSetVMs(_ context.Context, request any) (any, error) {
	s.SetVMs(*request.(*config.VMList))
	return s.VMs(), nil
}

func (s *Store) serveSnapshot(context.Context, any) (any, error) {
	return s.Publication(), nil
}

func (s *Store) serveVMs(context.Context, any) (any, error) {
	return s.VMs(), nil
}

func (s *Store) serveWatch(ctx context.Context, request any) (any, error) {
	r := request.(watchRequest)
	return s.Watch(ctx, r.after, r.wait)
}

func newServer(e endpoint.Endpoint, d transport.DecodeRequestFunc) http.Handler {
	return transport.NewServer(e, d, encode, transport.ServerErrorEncoder(encodeError))
}

func decodeJSON[T any](_ context.Context, r *http.Request) (any, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodySize))
	if err != nil {
		return nil, eris.Wrap(errBadRequest, err.Error())
	}
	v := new(T)
	if err := config.Decode(data, v); err != nil {
		return nil, eris.Wrap(errBadRequest, err.Error())
	}
	return v, nil
}

func decodeEmpty(context.Context, *http.Request) (any, error) {
	return nil, nil
}

func decodeWatch(_ context.Context, r *http.Request) (any, error) {
	q := r.URL.Query()
	request := watchRequest{
		wait: defaultWait,
	}
	if v := q.Get("after"); v != "" {
		after, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return nil, eris.Wrapf(errBadRequest, "after=%q", v)
		}
		request.after = config.Version(after)
	}
	if v := q.Get("wait"); v != "" {
		wait, err := time.ParseDuration(v)
		if err != nil || wait < 0 {
			return nil, eris.Wrapf(errBadRequest, "wait=%q", v)
		}
		request.wait = min(wait, maxWait)
	}
	return request, nil
}

func encode(_ context.Context, w http.ResponseWriter, response any) error {
	if p, ok := response.(*config.Publication); ok && p == nil {
		w.WriteHeader(http.StatusNoContent)
		return nil
	}
	return writeJSON(w, http.StatusOK, response)
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	var mismatch *BaseMismatchError
	var invalid *config.CheckError
	response := errorResponse{
		Error: err.Error(),
	}
	status := http.StatusUnprocessableEntity
	switch {
	case errors.As(err, &mismatch):
		_ = writeJSON(w, http.StatusConflict, conflictResponse{
			Version: mismatch.Version,
		})
		return
	case errors.As(err, &invalid):
		response = errorResponse{
			Faults: invalid.Faults,
		}
	case errors.Is(err, ErrDown):
		status = http.StatusServiceUnavailable
	case errors.Is(err, errBadRequest):
		status = http.StatusBadRequest
	}
	_ = writeJSON(w, status, response)
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}
