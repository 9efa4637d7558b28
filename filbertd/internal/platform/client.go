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

// DefaultTimeout is the default timeout of a call, in addition to the time that
// a watch waits.
const DefaultTimeout = 2 * time.Second

// A StatusError reports an answer whose HTTP status is not the expected one.
type StatusError struct {
	// Path is the URL path of the call.
	Path string
	// Code is the HTTP status code of the answer.
	Code int
}

// Error returns a message with the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform: %s: status %d %s", e.Path, e.Code, http.StatusText(e.Code))
}

// A Client calls the platform. It is safe for concurrent use and caches
// nothing. Bodies larger than config.MaxValueSize are refused.
type Client struct {
	timeout  time.Duration
	client   *http.Client
	snapshot endpoint.Endpoint
	vms      endpoint.Endpoint
	watch    endpoint.Endpoint
}

// An Option configures a Client.
type Option func(*Client)

// WithHTTPClient sets the HTTP client. The default one uses no proxy and follows
// no redirects.
func WithHTTPClient(c *http.Client) Option {
	return func(o *Client) {
		o.client = c
	}
}

// WithTimeout sets the timeout of each call, in addition to the time that a
// watch waits.
func WithTimeout(d time.Duration) Option {
	return func(o *Client) {
		o.timeout = d
	}
}

// New returns a client of the platform at a base URL.
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

// Snapshot returns the version in force with its whole document, whose content
// is not validated. The error wraps a *StatusError, config.ErrInvalidValue,
// config.ErrTooLarge, or the error of the transport or context.
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

// VMs returns the platform's list of VMs, which may be out of date. All VMs have
// distinct names and relay addresses. The errors are those of Snapshot.
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

// Watch waits for a publication newer than version after and returns it, or nil
// if there is none within wait. The errors are those of Snapshot.
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

// call calls an endpoint with a timeout of the client's timeout plus wait.
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

// checkVMs checks that each VM has a name and a relay address that no other VM
// has.
func checkVMs(vms []config.VM) error {
	names := make(map[string]bool, len(vms))
	relayAddresses := make(map[netip.AddrPort]bool, len(vms))
	for i := range vms {
		v := &vms[i]
		if v.Name == "" || names[v.Name] {
			return eris.Wrapf(config.ErrInvalidValue, "platform: vms[%d] has name %q, want one used once", i, v.Name)
		}
		if !v.Relay.IsValid() || relayAddresses[v.Relay] {
			return eris.Wrapf(config.ErrInvalidValue, "platform: vms[%d] has relay %q, want an address used once", i, v.Relay)
		}
		names[v.Name] = true
		relayAddresses[v.Relay] = true
	}
	return nil
}

// newHTTPClient returns an HTTP client that uses no proxy and follows no
// redirects, so that every answer comes from the platform itself.
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
