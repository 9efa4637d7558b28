package flow

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

const (
	// fetchTimeout is the timeout of a call to the platform.
	fetchTimeout = 2 * time.Second
	// maxFetchSize is the greatest number of bytes read of its response.
	maxFetchSize = 16 << 20
)

// A Directory maps upstreams to zones and knows which zones are out. It is safe
// for concurrent use.
type Directory struct {
	// platform is the platform's URL, or empty.
	platform string

	mu       sync.Mutex
	document *config.Document
	// zones maps the names of upstreams to zones, including upstreams that have
	// been removed since.
	zones map[string]string
}

// NewDirectory returns the directory of a document. If the platform's URL is not
// empty, MayMove fetches the current document from there.
func NewDirectory(document *config.Document, platform string) *Directory {
	d := &Directory{
		platform: platform,
		zones:    make(map[string]string),
	}
	d.setDocument(document)
	return d
}

// MayMove reports whether a watch may move away from an upstream, because the
// upstream's zone is out or the upstream was removed.
func (d *Directory) MayMove(ctx context.Context, upstream string) bool {
	d.refresh(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.document.Services {
		for _, u := range s.Upstreams {
			if u.Name == upstream {
				return d.zoneOut(u.Zone)
			}
		}
	}
	return true
}

// Zone returns the zone of an upstream, or NoZone if the upstream is unknown.
func (d *Directory) Zone(upstream string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if z, ok := d.zones[upstream]; ok {
		return z
	}
	return NoZone
}

func (d *Directory) fetch(ctx context.Context) (*config.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.platform+config.PathSnapshot, nil)
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "fetch")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxFetchSize))
	if err != nil {
		return nil, eris.Wrap(err, "fetch")
	}
	var p config.Publication
	if err := config.Decode(data, &p); err != nil {
		return nil, err
	}
	if p.Document == nil {
		return nil, eris.New("publication without a document")
	}
	return p.Document, nil
}

// zoneOut reports whether a zone is out; a zone that is not in the document
// counts as out.
func (d *Directory) zoneOut(zone string) bool {
	for _, z := range d.document.Zones {
		if z.Name == zone {
			return z.State == config.ZoneOut
		}
	}
	return true
}

// refresh replaces the document by the platform's current one. If the platform
// does not answer, the known document stays.
func (d *Directory) refresh(ctx context.Context) {
	if d.platform == "" {
		return
	}
	document, err := d.fetch(ctx)
	if err != nil {
		return
	}
	d.setDocument(document)
}

func (d *Directory) setDocument(document *config.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.document = document
	for _, s := range document.Services {
		for _, u := range s.Upstreams {
			d.zones[u.Name] = u.Zone
		}
	}
}
