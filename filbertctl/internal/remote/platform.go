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

// ErrRejected reports a patch that the platform does not allow, for reasons
// that it gives in words.
var ErrRejected = eris.New("the platform does not allow the patch")

// A Platform is the platform's configuration service.
type Platform struct {
	doer Doer
	base *url.URL
}

// NewPlatform returns the platform at a URL.
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
		return nil, eris.Wrap(config.ErrContent, "publication without a document")
	}
	return v, nil
}

// Submit hands a patch in and returns the version that it made. The error
// wraps config.ErrBase where another version is in force, and a
// *config.CheckError or ErrRejected where the patch is not allowed.
func (p *Platform) Submit(ctx context.Context, patch *config.Patch) (config.Version, error) {
	c := call{
		doer:   p.doer,
		method: http.MethodPost,
		url:    p.base.JoinPath(config.PathPatch),
		body:   patch,
		code:   http.StatusOK,
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
		return 0, eris.Wrapf(config.ErrContent, "patch on version %d made version %d", patch.Base, v.Version)
	}
	return v.Version, nil
}

// VMs returns the lagging list of VMs.
func (p *Platform) VMs(ctx context.Context) ([]config.VM, error) {
	v := &config.VMList{}
	if err := p.get(ctx, config.PathVMs, v); err != nil {
		return nil, err
	}
	return v.VMs, nil
}

func (p *Platform) get(ctx context.Context, path string, v any) error {
	c := call{
		doer:   p.doer,
		method: http.MethodGet,
		url:    p.base.JoinPath(path),
		code:   http.StatusOK,
	}
	body, err := c.run(ctx)
	if err != nil {
		return err
	}
	return eris.Wrapf(config.Read(bytes.NewReader(body), v), "GET %s", c.url)
}

// submitError returns what a refusal of the platform means.
func submitError(patch *config.Patch, err error) error {
	var answer *StatusError
	if !errors.As(err, &answer) {
		return err
	}
	switch answer.Code {
	case http.StatusConflict:
		return conflict(patch, answer.Body)
	case http.StatusUnprocessableEntity:
		return rejection(answer)
	default:
		return err
	}
}

func conflict(patch *config.Patch, body []byte) error {
	v := &config.Publication{}
	if json.Unmarshal(body, v) != nil {
		return eris.Wrapf(config.ErrBaseMismatch, "patch base %d, version unknown", patch.Base)
	}
	return eris.Wrapf(config.ErrBaseMismatch, "patch base %d, version %d", patch.Base, v.Version)
}

func rejection(answer *StatusError) error {
	var v struct {
		Faults []config.Fault `json:"faults"`
	}
	if json.Unmarshal(answer.Body, &v) == nil && len(v.Faults) > 0 {
		return &config.CheckError{Faults: v.Faults}
	}
	return eris.Wrap(ErrRejected, answer.Error())
}
