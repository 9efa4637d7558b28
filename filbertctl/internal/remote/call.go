// Package remote provides HTTP clients of the platform and of balancers' admin
// endpoints.
package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of calls.
const (
	// Timeout is the maximum duration of one call.
	Timeout = 5 * time.Second
	// maxResponseSize is the maximum size of a response's body, in bytes.
	maxResponseSize = 16 << 20
	// maxMessageSize is the maximum size of the part of a response's body that an
	// error message shows, in bytes.
	maxMessageSize = 500
)

// A Doer sends HTTP requests.
type Doer interface {
	Do(r *http.Request) (*http.Response, error)
}

// A StatusError reports a response with an unexpected status.
type StatusError struct {
	// Method and URL are those of the call.
	Method string
	URL    string
	// Code is the HTTP status of the response.
	Code int
	// Body is the body of the response.
	Body []byte
}

// Error returns the call, the status and the start of the body.
func (e *StatusError) Error() string {
	message := fmt.Sprintf("%s %s: status %d", e.Method, e.URL, e.Code)
	body := strings.TrimSpace(string(e.Body[:min(len(e.Body), maxMessageSize)]))
	if body != "" {
		message += ": " + body
	}
	return message
}

// A call is one HTTP call.
type call struct {
	doer   Doer
	method string
	url    *url.URL
	// body is sent as JSON unless it is nil.
	body any
	// wantStatus is the HTTP status of success.
	wantStatus int
}

// run makes the call and returns the body of the response. The error is a
// *StatusError if the status is not c.wantStatus.
func (c *call) run(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	r, err := c.request(ctx)
	if err != nil {
		return nil, err
	}
	response, err := c.doer.Do(r)
	if err != nil {
		return nil, eris.Wrap(err, "call")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1))
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s", c.method, c.url)
	}
	if len(body) > maxResponseSize {
		return nil, eris.Errorf("%s %s: response of more than %d bytes", c.method, c.url, maxResponseSize)
	}
	if response.StatusCode != c.wantStatus {
		return nil, &StatusError{
			Method: c.method,
			URL:    c.url.String(),
			Code:   response.StatusCode,
			Body:   body,
		}
	}
	return body, nil
}

func (c *call) request(ctx context.Context) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if c.body != nil {
		data, err := json.Marshal(c.body)
		if err != nil {
			return nil, eris.Wrap(err, "encode")
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, c.method, c.url.String(), body)
	if err != nil {
		return nil, eris.Wrap(err, "call")
	}
	if c.body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}
