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

// pageItems is the number of items in a page of a listing.
const pageItems = 50

type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Rev        uint64 `json:"rev"`
	CreatedRev uint64 `json:"created_rev,omitempty"`
	LeaseID    uint64 `json:"lease_id"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	rec     *recorder
	server  *http.Server
	address string

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	changed chan struct{}
}

func startStore(rec *recorder) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, rev: 100, items: make(map[string]item), changed: make(chan struct{}), address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put stores a value as JSON. Its return is the acknowledgement.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(item{Key: key, Value: text})
	s.rec.printf("store: %s = %s", key, text)
}

func (s *store) remove(key string) {
	s.apply(item{Key: key, Deleted: true})
	s.rec.printf("store: %s removed", key)
}

func (s *store) apply(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, held := s.items[i.Key]
	if i.Deleted && !held {
		return
	}
	s.rev++
	i.Rev, i.CreatedRev = s.rev, s.rev
	if held {
		i.CreatedRev = old.CreatedRev
	}
	if i.Deleted {
		i.CreatedRev = 0
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := make([]item, 0, len(keys))
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	rev := s.rev
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": items, "has_more": more, "at_rev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, rev, changed := s.eventsAfter(prefix, after)
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": events, "at_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsAfter(prefix string, after uint64) ([]item, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []item{}
	for _, i := range s.history {
		if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.rev, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
