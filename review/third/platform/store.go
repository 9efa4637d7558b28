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

// An item is a key of the store with its value, or its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// A store is the platform's metadata store. It answers after 4 ms.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	// compacted is the last revision whose event is forgotten.
	compacted uint64
	// quiet makes watches hear nothing.
	quiet   bool
	changed chan struct{}
	server  *http.Server
}

const answerTime = 4 * time.Millisecond

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.putBytes(key, data)
}

func (s *store) putBytes(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.items[key]
	i := item{Key: key, Value: data, Revision: s.revision + 1, Created: s.revision + 1}
	if known {
		i.Created = old.Created
	}
	s.items[key] = i
	s.change(i)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	s.change(item{Key: key, Revision: s.revision + 1, Deleted: true})
}

// change appends an event. The caller holds s.mu.
func (s *store) change(i item) {
	s.revision++
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget forgets the history, as the platform's store may: watches hear nothing for a second, while
// change is made, and are cut then.
func (s *store) forget(change func()) {
	s.mu.Lock()
	s.quiet = true
	s.mu.Unlock()
	time.Sleep(time.Second / 2)
	change()
	time.Sleep(time.Second / 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quiet, s.compacted, s.events = false, s.revision, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	n, size := 0, 0
	for n < len(items) && n < 500 && size < 1_000_000 {
		size += len(items[n].Value)
		n++
	}
	truncated := n < len(items)
	items = items[:n]
	answer(w, map[string]any{"items": items, "truncated": truncated, "as-of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			time.Sleep(answerTime)
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.events {
			if !s.quiet && e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		if s.quiet {
			revision = after
		}
		s.mu.Unlock()
		if len(events) > 0 {
			time.Sleep(answerTime)
			answer(w, map[string]any{"events": events, "as-of": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, map[string]any{"events": events, "as-of": revision})
			return
		}
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
