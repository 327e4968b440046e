package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. It keeps all of its history.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	changed chan struct{}
	address string
}

type item struct {
	Key        string `json:"key"`
	Value      string `json:"value,omitempty"`
	Rev        uint64 `json:"rev"`
	CreatedRev uint64 `json:"created_rev,omitempty"`
	LeaseID    int    `json:"lease_id"`
	Deleted    bool   `json:"deleted,omitempty"`
}

func newStore(l net.Listener) *store {
	s := &store{rev: 1, items: make(map[string]item), changed: make(chan struct{}), address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	i := item{Key: key, Value: base64.StdEncoding.EncodeToString(text), Rev: s.rev, CreatedRev: created}
	s.items[key] = i
	s.add(i)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.add(item{Key: key, Rev: s.rev, Deleted: true})
}

func (s *store) add(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

const pageItems = 50

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var out []item
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			out = append(out, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	more := len(out) > pageItems
	if more {
		out = out[:pageItems]
	}
	answerJSON(w, map[string]any{"items": out, "has_more": more, "at_rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	prefix := r.URL.Query().Get("prefix")
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			answerJSON(w, map[string]any{"events": events, "at_rev": rev})
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
