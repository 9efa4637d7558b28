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

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// change is an event with the time at which the store accepted it.
type change struct {
	item
	at time.Time
}

// store is the platform's metadata store with two read replicas: one is up to date, the
// other one is behind by lag. Reads that are linearizable go to the first; reads with
// stale-ok go to both in turn, beginning with the first on each connection.
type store struct {
	pageSize int
	lag      time.Duration
	answer   time.Duration // time that a read takes
	rec      *record

	mu      sync.Mutex
	rev     uint64
	changes []change
	wake    chan struct{}
	turns   map[string]int
	server  *http.Server
}

func startStore(address string, rec *record) (*store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		pageSize: 50,
		answer:   4 * time.Millisecond,
		rec:      rec,
		rev:      1,
		wake:     make(chan struct{}),
		turns:    make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes a value and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.record(item{Key: key, Value: data})
}

func (s *store) delete(key string) time.Time {
	return s.record(item{Key: key, Deleted: true})
}

func (s *store) record(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i.Revision, i.Created = s.rev, s.rev
	now := time.Now()
	s.changes = append(s.changes, change{item: i, at: now})
	close(s.wake)
	s.wake = make(chan struct{})
	return now
}

// stateAt returns the items and the revision as of a time. The caller holds s.mu.
func (s *store) stateAt(at time.Time) (map[string]item, uint64) {
	state, rev := make(map[string]item), uint64(1)
	for _, c := range s.changes {
		if c.at.After(at) {
			break
		}
		rev = c.Revision
		if c.Deleted {
			delete(state, c.Key)
			continue
		}
		state[c.Key] = c.item
	}
	return state, rev
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.answer)
	q := r.URL.Query()
	stale := q.Get("stale-ok") == "1"
	s.mu.Lock()
	at := time.Now()
	if stale {
		turn := s.turns[r.RemoteAddr]
		s.turns[r.RemoteAddr]++
		if turn%2 == 1 {
			at = at.Add(-s.lag)
		}
	}
	state, rev := s.stateAt(at)
	s.mu.Unlock()
	var keys []string
	for k := range state {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > s.pageSize
	keys = keys[:min(len(keys), s.pageSize)]
	items := make([]item, 0, len(keys))
	for _, k := range keys {
		items = append(items, state[k])
	}
	s.rec.log("store: read by %s, stale-ok=%v, after=%q: %d items, truncated=%v, as-of=%d (the store is at %d)",
		r.RemoteAddr, stale, q.Get("after"), len(items), truncated, rev, s.revision())
	reply(w, map[string]any{"items": items, "truncated": truncated, "as-of": rev})
}

func (s *store) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, c := range s.changes {
			if c.Revision > after && strings.HasPrefix(c.Key, q.Get("prefix")) {
				events = append(events, c.item)
			}
		}
		rev, wake := s.rev, s.wake
		s.mu.Unlock()
		if len(events) > 0 || done {
			time.Sleep(s.answer)
			reply(w, map[string]any{"events": events, "as-of": rev})
			return
		}
		select {
		case <-wake:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
