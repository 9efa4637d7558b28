// Package remote calls the platform and the balancers for an operator.
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
	// Timeout bounds one call.
	Timeout = 5 * time.Second
	// maxResponseSize is the largest answer that is read, in bytes.
	maxResponseSize = 16 << 20
	// maxMessageSize is the longest part of an error's body that is shown.
	maxMessageSize = 500
)

// A Doer sends HTTP requests.
type Doer interface {
	Do(r *http.Request) (*http.Response, error)
}

// A StatusError is an answer with a status other than the wanted one.
type StatusError struct {
	// Method and URL are those of the call.
	Method string
	URL    string
	// Code is an HTTP status.
	Code int
	// Body is what came with it.
	Body []byte
}

// Error names the call, the status and the start of the body.
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
	// body is sent as JSON where it is not nil.
	body any
	// wantStatus is the wanted status.
	wantStatus int
}

// run returns the body of the answer.
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
		return nil, eris.Errorf("%s %s: answer of more than %d bytes", c.method, c.url, maxResponseSize)
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
