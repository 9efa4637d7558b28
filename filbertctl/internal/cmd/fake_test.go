package cmd

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/status"
)

// fakePolls is how many looks a fake balancer takes to reach what it is told.
const fakePolls = 3

// A fakePlatform accepts patches as the platform does.
type fakePlatform struct {
	server *httptest.Server

	mutex    sync.Mutex
	version  config.Version
	document *config.Document
	vms      []config.VM
}

func newFakePlatform(version config.Version, d *config.Document) *fakePlatform {
	p := &fakePlatform{
		version:  version,
		document: d,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+config.PathSnapshot, p.snapshot)
	mux.HandleFunc("GET "+config.PathVMs, p.list)
	mux.HandleFunc("POST "+config.PathPatch, p.patch)
	p.server = httptest.NewServer(mux)
	return p
}

func (p *fakePlatform) add(v config.VM) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.vms = append(p.vms, v)
}

func (p *fakePlatform) current() (config.Version, *config.Document) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.version, p.document
}

func (p *fakePlatform) list(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	answer(w, http.StatusOK, config.VMList{VMs: p.vms})
}

func (p *fakePlatform) patch(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	patch := &config.Patch{}
	if err := config.Read(r.Body, patch); err != nil {
		answer(w, http.StatusUnprocessableEntity, status.Error{Error: err.Error()})
		return
	}
	next, err := patch.Apply(p.version, p.document)
	var check *config.CheckError
	switch {
	case errors.Is(err, config.ErrBaseMismatch):
		answer(w, http.StatusConflict, config.Publication{Version: p.version})
	case errors.As(err, &check):
		answer(w, http.StatusUnprocessableEntity, map[string]any{"faults": check.Faults})
	case err != nil:
		answer(w, http.StatusUnprocessableEntity, status.Error{Error: err.Error()})
	default:
		p.version++
		p.document = next
		answer(w, http.StatusOK, config.Publication{Version: p.version})
	}
}

func (p *fakePlatform) snapshot(w http.ResponseWriter, _ *http.Request) {
	version, document := p.current()
	answer(w, http.StatusOK, config.Publication{
		Version:  version,
		Document: document,
	})
}

// A fakeBalancer follows a platform and keeps all upstreams.
type fakeBalancer struct {
	server   *httptest.Server
	platform *fakePlatform
	name     string
	zone     string
	// stuck keeps connections open for good.
	stuck bool

	mutex sync.Mutex
	// old and polls lead from a former version to the one in force.
	old   config.Version
	polls int
	// leaving counts the looks since the start of a leave.
	leaving int
}

func newFakeBalancer(p *fakePlatform, name, zone string) *fakeBalancer {
	version, _ := p.current()
	b := &fakeBalancer{
		platform: p,
		name:     name,
		zone:     zone,
		old:      version,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+status.PathStatus, b.status)
	mux.HandleFunc("GET "+status.PathExplain, b.explain)
	mux.HandleFunc("POST "+status.PathDrain, b.drain)
	b.server = httptest.NewServer(mux)
	p.add(config.VM{
		Name:  name,
		Zone:  zone,
		Admin: b.address(),
		State: config.VMLive,
	})
	return b
}

func (b *fakeBalancer) address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(b.server.URL, "http://"))
}

func (b *fakeBalancer) drain(w http.ResponseWriter, _ *http.Request) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.leaving = 1
	answer(w, http.StatusAccepted, struct{}{})
}

func (b *fakeBalancer) explain(w http.ResponseWriter, r *http.Request) {
	q, err := status.ParseQuery(r.URL.Query())
	if err != nil {
		answer(w, http.StatusBadRequest, status.Error{Error: err.Error()})
		return
	}
	answer(w, http.StatusOK, status.Explanation{
		Service:  q.Service,
		Upstream: "desk-1",
		Keeper:   b.name,
		Decision: "forward",
		Why:      []string{"caller " + q.Caller.String() + " has no ticket", "desk-1 has the least load"},
	})
}

// status answers for a state that comes nearer to the platform's with each
// look.
func (b *fakeBalancer) status(w http.ResponseWriter, _ *http.Request) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	version, document := b.platform.current()
	s := status.Status{
		Name:        b.name,
		Zone:        b.zone,
		Incarnation: "00000000000000a1",
		Version:     b.old,
		Leaving:     b.leaving > 0,
		Flows:       fakePolls,
	}
	if version != b.old {
		b.polls++
	}
	if b.polls >= fakePolls {
		s.Version = version
	}
	for i := range document.Services {
		s.Services = append(s.Services, b.service(document, &document.Services[i]))
	}
	answer(w, http.StatusOK, s)
	if b.leaving > 0 {
		b.leaving++
	}
	if b.leaving > fakePolls {
		go b.server.Close()
	}
}

func (b *fakeBalancer) service(d *config.Document, s *config.Service) status.Service {
	out := make(map[string]bool)
	for _, z := range d.Zones {
		out[z.Name] = z.State == config.ZoneOut
	}
	v := status.Service{Name: s.Name}
	for _, u := range s.Upstreams {
		connections := fakePolls
		if !b.stuck && (out[u.Zone] || u.State == config.UpstreamDraining) {
			connections = max(0, fakePolls-b.polls)
		}
		v.Upstreams = append(v.Upstreams, status.Upstream{
			Name:        u.Name,
			Zone:        u.Zone,
			State:       string(u.State),
			Keeper:      b.name,
			Limit:       int(u.Slots),
			Connections: connections,
		})
	}
	return v
}

func answer(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
