package standins

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or a change of one.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	record  *record
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	changed chan struct{}
	servers map[string]*http.Server
	// silent holds the listeners whose calls get no answer.
	silent map[string]bool
}

func newStore(r *record) *store {
	return &store{record: r, rev: 100, items: make(map[string]item), changed: make(chan struct{}), servers: make(map[string]*http.Server), silent: make(map[string]bool)}
}

// listen opens a listener and returns its address.
func (s *store) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := l.Addr().String()
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(address, w, r) })}
	s.mu.Lock()
	s.servers[address] = srv
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	return address, nil
}

// closeListener closes a listener and its connections.
func (s *store) closeListener(address string) {
	s.mu.Lock()
	srv := s.servers[address]
	s.mu.Unlock()
	_ = srv.Close()
}

// setSilent sets whether the calls at a listener get no answer.
func (s *store) setSilent(address string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[address] = silent
	s.notify()
}

func (s *store) isSilent(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[address]
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key. The write is acknowledged when put returns.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.record.logf("store: %s = %s", key, text)
	s.apply(item{Key: key, Value: text})
}

func (s *store) remove(key string) {
	s.record.logf("store: %s is removed", key)
	s.apply(item{Key: key, Deleted: true})
}

func (s *store) apply(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i.Rev = s.rev
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.notify()
}

func (s *store) serve(address string, w http.ResponseWriter, r *http.Request) {
	var body any
	if s.isSilent(address) {
		<-r.Context().Done()
		return
	}
	switch q := r.URL.Query(); r.URL.Path {
	case "/api/kv-range":
		body = s.list(q.Get("prefix"))
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		body = s.watch(q.Get("prefix"), after, time.Duration(wait)*time.Millisecond, r.Context().Done())
	default:
		http.NotFound(w, r)
		return
	}
	if s.isSilent(address) {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(prefix string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	return map[string]any{"items": items, "has_more": false, "at_rev": s.rev}
}

func (s *store) watch(prefix string, after uint64, wait time.Duration, gone <-chan struct{}) any {
	timer := time.NewTimer(wait)
	defer timer.Stop()
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
		if len(events) > 0 {
			return map[string]any{"events": events, "at_rev": rev}
		}
		select {
		case <-changed:
		case <-timer.C:
			return map[string]any{"events": events, "at_rev": rev}
		case <-gone:
			return nil
		}
	}
}

// route is a route of a configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	TimeoutMS   int    `json:"timeout_ms"`
	TargetMS    int    `json:"latency_target_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
}

// putConfig writes a configuration with the routes and services.
func (s *store) putConfig(version int, routes []route, services ...string) {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false})
	}
	limits := map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 20000}
	s.put("op/config", map[string]any{"version": version, "routes": routes, "services": list, "limits": limits})
}
