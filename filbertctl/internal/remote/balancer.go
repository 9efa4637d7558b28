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

// A Balancer is a balancer's admin endpoint. Its answers may have fields that
// are not known here, so that balancers may be newer.
type Balancer struct {
	doer Doer
	base *url.URL
}

// NewBalancer returns the balancer whose admin endpoint has an address.
func NewBalancer(doer Doer, address netip.AddrPort) *Balancer {
	return &Balancer{
		doer: doer,
		base: &url.URL{
			Scheme: "http",
			Host:   address.String(),
		},
	}
}

// Drain starts a graceful leave.
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

// Explain tells where a datagram would go.
func (b *Balancer) Explain(ctx context.Context, q status.Query) (*status.Explanation, error) {
	u := b.base.JoinPath(status.PathExplain)
	u.RawQuery = q.Values().Encode()
	e := &status.Explanation{}
	if err := b.get(ctx, u, e); err != nil {
		return nil, err
	}
	return e, nil
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
