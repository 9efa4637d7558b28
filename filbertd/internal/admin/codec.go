package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	httptransport "github.com/go-kit/kit/transport/http"

	"filbertworks.example/filbertworks/status"
)

const contentJSON = "application/json; charset=utf-8"

func statusCode(err error) int {
	switch {
	case errors.Is(err, errNotReady):
		return http.StatusServiceUnavailable
	case errors.Is(err, status.ErrQuery):
		return http.StatusBadRequest
	default:
		return http.StatusInternalServerError
	}
}

// decodeNoParameters is the request decoder of calls without parameters.
func decodeNoParameters(context.Context, *http.Request) (any, error) {
	return struct{}{}, nil
}

func decodeQuery(_ context.Context, r *http.Request) (any, error) {
	return status.ParseQuery(r.URL.Query())
}

func encode(code int) httptransport.EncodeResponseFunc {
	return func(_ context.Context, w http.ResponseWriter, response any) error {
		return write(w, code, response)
	}
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	// A write fails only if the client has closed the connection; then nobody
	// needs the answer.
	_ = write(w, statusCode(err), status.Error{Error: err.Error()})
}

func write(w http.ResponseWriter, code int, v any) error {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(code)
	return json.NewEncoder(w).Encode(v)
}
