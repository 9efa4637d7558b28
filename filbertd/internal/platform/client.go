// Package platform reads the configuration and the list of VMs from the
// platform.
package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"
	httptransport "github.com/go-kit/kit/transport/http"
	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// DefaultTimeout bounds a call, beside the time that a watch waits.
const DefaultTimeout = 2 * time.Second

// A StatusError is an answer with a status that says that there is no value.
type StatusError struct {
	// Path is that of the call.
	Path string
	// Code is an HTTP status.
	Code int
}

// Error names the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform: %s: status %d %s", e.Path, e.Code, http.StatusText(e.Code))
}

// A Client calls the platform; it is safe for concurrent use and keeps
// nothing of the answers. Bodies above config.MaxValueSize are refused.
type Client struct {
	timeout  time.Duration
	client   *http.Client
	snapshot endpoint.Endpoint
	vms      endpoint.Endpoint
	watch    endpoint.Endpoint
}

// An Option changes a client from its defaults.
type Option func(*Client)

// WithHTTPClient makes the client use c; by default it has one of its own.
func WithHTTPClient(c *http.Client) Option {
	return func(o *Client) {
		o.client = c
	}
}

// WithTimeout bounds each call by d, beside the time that a watch waits.
func WithTimeout(d time.Duration) Option {
	return func(o *Client) {
		o.timeout = d
	}
}

// New returns a client of the platform at base.
func New(base *url.URL, options ...Option) *Client {
	c := &Client{
		timeout: DefaultTimeout,
		client:  newHTTPClient(),
	}
	for _, o := range options {
		o(c)
	}
	c.snapshot = c.endpoint(base, config.PathSnapshot, decodePublication)
	c.vms = c.endpoint(base, config.PathVMs, decodeVMs)
	c.watch = c.endpoint(base, config.PathWatch, decodeWatch)
	return c
}

// Snapshot returns the version in force with its whole document, unchecked.
// The error wraps a *StatusError, config.ErrInvalidValue, config.ErrTooLarge, or
// that of the transport or context.
func (c *Client) Snapshot(ctx context.Context) (*config.Publication, error) {
	answer, err := c.call(ctx, c.snapshot, nil, 0)
	if err != nil {
		return nil, eris.Wrap(err, "platform: snapshot")
	}
	p := answer.(*config.Publication)
	if p.Document == nil {
		return nil, eris.Wrap(config.ErrInvalidValue, "platform: snapshot without a document")
	}
	return p, nil
}

// VMs returns the platform's lagging list of VMs, whose names and relay
// addresses are set and distinct. The errors are those of Snapshot.
func (c *Client) VMs(ctx context.Context) ([]config.VM, error) {
	answer, err := c.call(ctx, c.vms, nil, 0)
	if err != nil {
		return nil, eris.Wrap(err, "platform: vms")
	}
	list := answer.(*config.VMList)
	if err := checkVMs(list.VMs); err != nil {
		return nil, err
	}
	return list.VMs, nil
}

// Watch returns a publication newer than version after, waiting for one at
// most wait; it returns nil where none came. The errors are those of
// Snapshot.
func (c *Client) Watch(ctx context.Context, after config.Version, wait time.Duration) (*config.Publication, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("wait", wait.String())
	answer, err := c.call(ctx, c.watch, query, wait)
	if err != nil {
		return nil, eris.Wrap(err, "platform: watch")
	}
	p := answer.(*config.Publication)
	if p != nil && p.Version <= after {
		return nil, eris.Wrapf(config.ErrInvalidValue, "platform: watch after version %d gave version %d", after, p.Version)
	}
	return p, nil
}

// call runs an endpoint within the client's timeout and wait.
func (c *Client) call(ctx context.Context, e endpoint.Endpoint, query url.Values, wait time.Duration) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	return e(ctx, query)
}

func (c *Client) endpoint(base *url.URL, path string, decode httptransport.DecodeResponseFunc) endpoint.Endpoint {
	return httptransport.NewClient(
		http.MethodGet,
		base.JoinPath(path),
		encodeQuery,
		decode,
		httptransport.SetClient(c.client),
	).Endpoint()
}

func checkVMs(vms []config.VM) error {
	names := make(map[string]bool, len(vms))
	relays := make(map[netip.AddrPort]bool, len(vms))
	for i := range vms {
		v := &vms[i]
		if v.Name == "" || names[v.Name] {
			return eris.Wrapf(config.ErrInvalidValue, "platform: vms[%d] has name %q, want one used once", i, v.Name)
		}
		if !v.Relay.IsValid() || relays[v.Relay] {
			return eris.Wrapf(config.ErrInvalidValue, "platform: vms[%d] has relay %q, want an address used once", i, v.Relay)
		}
		names[v.Name] = true
		relays[v.Relay] = true
	}
	return nil
}

// newHTTPClient returns a client that asks the platform directly and follows
// no redirects: only the platform's own answers count.
func newHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
