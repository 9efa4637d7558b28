// Package admin serves a balancer's operator API over HTTP: its state, its
// metrics and the start of a graceful leave.
package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	httptransport "github.com/go-kit/kit/transport/http"
	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/status"
)

// Limits on calls.
const (
	headerTimeout  = 2 * time.Second
	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
)

// A Balancer is the balancer whose state is served. Its methods must be safe
// for concurrent use.
type Balancer interface {
	// Drain starts a graceful leave. Further calls have no effect.
	Drain()
	// Explain returns the decision that the balancer would make on a datagram.
	// The error wraps status.ErrQuery if the query is invalid.
	Explain(q status.Query) (status.Explanation, error)
	// Ready returns why the balancer can't serve callers, or nil.
	Ready() error
	// Status returns the balancer's current state.
	Status() status.Status
}

// A Server answers operators' calls.
type Server struct {
	server *http.Server
}

// New returns a server of the balancer's state. Requests for metrics are passed
// to the metrics handler.
func New(balancer Balancer, metrics http.Handler) *Server {
	mux := http.NewServeMux()
	handle(mux, "GET "+status.PathHealth, http.StatusOK, decodeNoParameters, health)
	handle(mux, "GET "+status.PathReady, http.StatusOK, decodeNoParameters, ready(balancer))
	handle(mux, "GET "+status.PathStatus, http.StatusOK, decodeNoParameters, balancerStatus(balancer))
	handle(mux, "GET "+status.PathExplain, http.StatusOK, decodeQuery, explain(balancer))
	handle(mux, "POST "+status.PathDrain, http.StatusAccepted, decodeNoParameters, drain(balancer))
	mux.Handle("GET "+status.PathMetrics, metrics)
	return &Server{
		server: &http.Server{
			Handler:           mux,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       readTimeout,
			WriteTimeout:      writeTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	return s.server.Handler
}

// Serve answers calls on l until Shutdown is called, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	err := s.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "admin: serve")
}

// Shutdown stops accepting calls and waits until calls in progress are answered
// or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return eris.Wrap(s.server.Shutdown(ctx), "admin: shutdown")
}

// handle registers an endpoint at a pattern; code is the status of successful
// answers.
func handle(mux *http.ServeMux, pattern string, code int, decode httptransport.DecodeRequestFunc, e endpoint.Endpoint) {
	mux.Handle(pattern, httptransport.NewServer(
		e,
		decode,
		encode(code),
		httptransport.ServerErrorEncoder(encodeError),
	))
}
