package remote

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/status"
)

// A Balancer is a client of a balancer's admin endpoint. It ignores unknown fields
// of responses, as balancers may be newer than filbertctl.
type Balancer struct {
	doer Doer
	base *url.URL
}

// NewBalancer returns a client of the admin endpoint at an address.
func NewBalancer(doer Doer, address netip.AddrPort) *Balancer {
	return &Balancer{
		doer: doer,
		base: &url.URL{
			Scheme: "http",
			Host:   address.String(),
		},
	}
}

// Drain makes the balancer leave gracefully. It returns once the leave has started.
func (b *Balancer) Drain(ctx context.Context) error {
	c := call{
		doer:       b.doer,
		method:     http.MethodPost,
		url:        b.base.JoinPath(status.PathDrain),
		wantStatus: http.StatusAccepted,
	}
	_, err := c.run(ctx)
	return err
}

// Explain returns where the balancer would send a datagram, and why.
func (b *Balancer) Explain(ctx context.Context, q status.Query) (*status.Explanation, error) {
	u := b.base.JoinPath(status.PathExplain)
	u.RawQuery = q.Values().Encode()
	e := &status.Explanation{}
	if err := b.get(ctx, u, e); err != nil {
		return nil, err
	}
	return e, nil
}

// Load returns what a filbertflow knows of the load that balancers share. The client's address is
// that of its metrics.
func (b *Balancer) Load(ctx context.Context) (*status.Load, error) {
	l := &status.Load{}
	if err := b.get(ctx, b.base.JoinPath(status.PathLoad), l); err != nil {
		return nil, err
	}
	return l, nil
}

// Status returns the balancer's state.
func (b *Balancer) Status(ctx context.Context) (*status.Status, error) {
	s := &status.Status{}
	if err := b.get(ctx, b.base.JoinPath(status.PathStatus), s); err != nil {
		return nil, err
	}
	return s, nil
}

func (b *Balancer) get(ctx context.Context, u *url.URL, v any) error {
	c := call{
		doer:       b.doer,
		method:     http.MethodGet,
		url:        u,
		wantStatus: http.StatusOK,
	}
	body, err := c.run(ctx)
	if err != nil {
		return err
	}
	return eris.Wrapf(json.Unmarshal(body, v), "GET %s", u)
}
