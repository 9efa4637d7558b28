package platform

import (
	"context"
	"net/http"
	"net/url"

	"filbertworks.example/filbertworks/config"
)

func decodePublication(_ context.Context, r *http.Response) (any, error) {
	p := &config.Publication{}
	if err := decode(r, p); err != nil {
		return nil, err
	}
	if err := p.Check(); err != nil {
		return nil, err
	}
	return p, nil
}

func decodeVMs(_ context.Context, r *http.Response) (any, error) {
	list := &config.VMList{}
	if err := decode(r, list); err != nil {
		return nil, err
	}
	return list, nil
}

// decodeWatch returns a nil publication if the watch ended without a newer
// version.
func decodeWatch(ctx context.Context, r *http.Response) (any, error) {
	if r.StatusCode == http.StatusNoContent {
		return (*config.Publication)(nil), nil
	}
	return decodePublication(ctx, r)
}

func decode(r *http.Response, v any) error {
	if r.StatusCode != http.StatusOK {
		return &StatusError{
			Path: r.Request.URL.Path,
			Code: r.StatusCode,
		}
	}
	return config.Read(r.Body, v)
}

func encodeQuery(_ context.Context, r *http.Request, request any) error {
	query, _ := request.(url.Values)
	r.URL.RawQuery = query.Encode()
	return nil
}
