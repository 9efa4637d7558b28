package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key of the store.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store: every answer is linearizable, and its history is
// never discarded.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	calls    int
	listener net.Listener
}

func newStore(address string) (*store, error) {
	s := &store{
		revision: 1,
		items:    make(map[string]storeItem),
		changed:  make(chan struct{}),
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.listener = l
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("GET /kv-key", s.serveKey)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a value and returns its revision.
func (s *store) put(key string, value any) uint64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := storeItem{
		Key:      key,
		Value:    b,
		Revision: s.revision,
		Created:  s.revision,
	}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
	return s.revision
}

// remove deletes a key.
func (s *store) remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return s.revision
	}
	s.revision++
	delete(s.items, key)
	s.record(storeItem{
		Key:      key,
		Revision: s.revision,
		Deleted:  true,
	})
	return s.revision
}

func (s *store) record(i storeItem) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	i, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		storeItem
		AsOf uint64 `json:"as-of"`
	}{i, asOf})
}

// pageSize is the greatest number of items in a page.
const pageSize = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	s.calls++
	keys := make([]string, 0, len(s.items))
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items     []storeItem `json:"items"`
		Truncated bool        `json:"truncated"`
		AsOf      uint64      `json:"as-of"`
	}{Items: []storeItem{}, AsOf: s.revision}
	if len(keys) > pageSize {
		keys, page.Truncated = keys[:pageSize], true
	}
	for _, k := range keys {
		page.Items = append(page.Items, s.items[k])
	}
	s.mu.Unlock()
	writeJSON(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		events, asOf, changed := s.since(q.Get("prefix"), after)
		if len(events) > 0 {
			writeEvents(w, events, asOf)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeEvents(w, []storeItem{}, asOf)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after uint64) ([]storeItem, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []storeItem{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed
}

func writeEvents(w http.ResponseWriter, events []storeItem, asOf uint64) {
	writeJSON(w, struct {
		Events []storeItem `json:"events"`
		AsOf   uint64      `json:"as-of"`
	}{events, asOf})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
