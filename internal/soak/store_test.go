package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeMode is how the store treats calls.
type storeMode int

const (
	storeServes  storeMode = iota // answers calls
	storeBusy                     // answers 503
	storeLimited                  // answers 429
	storeResets                   // resets the connection
	storeSilent                   // does not answer
)

// storeItem is an entry or a change of one, as the store returns it.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]storeItem
	history []storeItem
	// historyStart is a revision; the history holds all changes after it.
	historyStart uint64
	changed      chan struct{}
	// modes holds how the calls of each instance are treated; the empty name stands
	// for all instances.
	modes map[string]storeMode
	delay time.Duration
	// loseShare is the share of calls, 0 to 1, that are carried out but not answered.
	loseShare float64
	calls     int
	// era counts the rollbacks; answers state it in the header Store-Era.
	era uint64
	// written holds the last write of each key, which a rollback may have undone.
	written map[string]storeItem
	servers []*http.Server
}

func newStore() *store {
	return &store{rev: 1000, historyStart: 1000, items: make(map[string]storeItem), written: make(map[string]storeItem), changed: make(chan struct{}), modes: make(map[string]storeMode)}
}

// listenFor opens the listener for the calls of one instance and returns its address.
func (s *store) listenFor(name string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(name, w, r) })}
	s.mu.Lock()
	s.servers = append(s.servers, srv)
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}

func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(storeItem{Key: key, Value: text})
}

func (s *store) putText(key, text string) { s.apply(storeItem{Key: key, Value: []byte(text)}) }

func (s *store) remove(key string) { s.apply(storeItem{Key: key, Deleted: true}) }

func (s *store) apply(i storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(i)
}

// applyLocked applies a change. The caller holds the lock.
func (s *store) applyLocked(i storeItem) {
	s.rev++
	i.Rev = s.rev
	s.written[i.Key] = i
	if i.Deleted {
		if _, held := s.items[i.Key]; !held {
			return
		}
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.notifyWatchers()
}

func (s *store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory drops the history, so that watchers of older revisions get a 410.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.historyStart, s.history = s.rev, nil
	s.notifyWatchers()
}

// update calls f, which changes the store's fields, with the store locked.
func (s *store) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// callFaults returns the faults that apply to a call of an instance, and the era.
func (s *store) callFaults(name string) (mode storeMode, delay time.Duration, lose bool, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return max(s.modes[""], s.modes[name]), s.delay, rand.Float64() < s.loseShare, s.era
}

func (s *store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *store) serve(name string, w http.ResponseWriter, r *http.Request) {
	mode, delay, lose, era := s.callFaults(name)
	if era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
	time.Sleep(delay)
	switch mode {
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeLimited:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case storeResets:
		resetRequestConn(w)
		return
	case storeSilent:
		<-r.Context().Done()
		return
	}
	var answer any
	status := http.StatusOK
	switch r.URL.Path {
	case "/api/kv-range":
		answer = s.listPage(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case "/api/kv-watch":
		answer, status = s.watch(r)
	default:
		status = http.StatusNotFound
	}
	if s.currentEra() != era {
		// The store was restarted during the call.
		resetRequestConn(w)
		return
	}
	if lose {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// pageSize is so small that a listing takes several calls, between which keys may
// change.
const pageSize = 20

func (s *store) listPage(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	return map[string]any{"items": items[:min(pageSize, len(items))], "has_more": more, "at_rev": s.rev}
}

func (s *store) watch(r *http.Request) (any, int) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		events, rev, gone, changed := s.changesSince(q.Get("prefix"), after)
		if gone {
			return nil, http.StatusGone
		}
		if len(events) > 0 {
			return map[string]any{"events": events, "at_rev": rev}, http.StatusOK
		}
		select {
		case <-changed:
		case <-timeout:
			return map[string]any{"events": events, "at_rev": rev}, http.StatusOK
		case <-r.Context().Done():
			return nil, http.StatusOK
		}
	}
}

// changesSince returns the changes under a prefix after a revision and the present
// revision. gone is true if the history does not reach back that far, or if the store
// does not have the revision; changed is closed by the next change.
func (s *store) changesSince(prefix string, after uint64) (events []storeItem, rev uint64, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []storeItem{}
	for _, i := range s.history {
		if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.rev, after < s.historyStart || after > s.rev, s.changed
}

// resetRequestConn resets the connection of a request.
func resetRequestConn(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	resetConn(conn)
}
