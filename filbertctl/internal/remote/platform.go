package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// ErrRejected reports a patch that the platform does not allow, where the platform
// gives the reason as a message and not as a list of faults.
var ErrRejected = eris.New("the platform does not allow the patch")

// A Platform is a client of the platform's configuration service.
type Platform struct {
	doer Doer
	base *url.URL
}

// NewPlatform returns a client of the platform at a URL.
func NewPlatform(doer Doer, base *url.URL) *Platform {
	return &Platform{
		doer: doer,
		base: base,
	}
}

// Snapshot returns the version in force with its document.
func (p *Platform) Snapshot(ctx context.Context) (*config.Publication, error) {
	v := &config.Publication{}
	if err := p.get(ctx, config.PathSnapshot, v); err != nil {
		return nil, err
	}
	if err := v.Check(); err != nil {
		return nil, err
	}
	if v.Document == nil {
		return nil, eris.Wrap(config.ErrInvalidValue, "publication without a document")
	}
	return v, nil
}

// Submit submits a patch and returns the version that results from it. The error
// wraps config.ErrBaseMismatch if the patch's base is not the version in force,
// and ErrRejected or a *config.CheckError if the patch is not allowed.
func (p *Platform) Submit(ctx context.Context, patch *config.Patch) (config.Version, error) {
	c := call{
		doer:       p.doer,
		method:     http.MethodPost,
		url:        p.base.JoinPath(config.PathPatch),
		body:       patch,
		wantStatus: http.StatusOK,
	}
	body, err := c.run(ctx)
	if err != nil {
		return 0, submitError(patch, err)
	}
	v := &config.Publication{}
	if err := json.Unmarshal(body, v); err != nil {
		return 0, eris.Wrap(err, "answer to the patch")
	}
	if v.Version != patch.Base+1 {
		return 0, eris.Wrapf(config.ErrInvalidValue, "patch on version %d resulted in version %d", patch.Base, v.Version)
	}
	return v.Version, nil
}

// VMs returns the platform's list of VMs, which lags behind their actual state.
func (p *Platform) VMs(ctx context.Context) ([]config.VM, error) {
	v := &config.VMList{}
	if err := p.get(ctx, config.PathVMs, v); err != nil {
		return nil, err
	}
	return v.VMs, nil
}

func (p *Platform) get(ctx context.Context, path string, v any) error {
	c := call{
		doer:       p.doer,
		method:     http.MethodGet,
		url:        p.base.JoinPath(path),
		wantStatus: http.StatusOK,
	}
	body, err := c.run(ctx)
	if err != nil {
		return err
	}
	return eris.Wrapf(config.Read(bytes.NewReader(body), v), "GET %s", c.url)
}

// submitError returns the error of Submit for the error of a call.
func submitError(patch *config.Patch, err error) error {
	var statusErr *StatusError
	if !errors.As(err, &statusErr) {
		return err
	}
	switch statusErr.Code {
	case http.StatusConflict:
		return conflictError(patch, statusErr.Body)
	case http.StatusUnprocessableEntity:
		return rejectionError(statusErr)
	default:
		return err
	}
}

func conflictError(patch *config.Patch, body []byte) error {
	v := &config.Publication{}
	if json.Unmarshal(body, v) != nil {
		return eris.Wrapf(config.ErrBaseMismatch, "patch base %d, version unknown", patch.Base)
	}
	return eris.Wrapf(config.ErrBaseMismatch, "patch base %d, version %d", patch.Base, v.Version)
}

func rejectionError(statusErr *StatusError) error {
	var v struct {
		Faults []config.Fault `json:"faults"`
	}
	if json.Unmarshal(statusErr.Body, &v) == nil && len(v.Faults) > 0 {
		return &config.CheckError{Faults: v.Faults}
	}
	return eris.Wrap(ErrRejected, statusErr.Error())
}
