package app

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/settings"
)

// storeStub serves published keys over HTTP like the platform's store.
type storeStub struct {
	mu       sync.Mutex
	revision int
	items    map[string]map[string]any
	changed  chan struct{}
}

func newStoreStub() *storeStub {
	return &storeStub{revision: 1, items: make(map[string]map[string]any), changed: make(chan struct{})}
}

func (s *storeStub) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = map[string]any{"key": key, "value": text, "rev": s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
}

// putConfig writes a configuration with one route, for requests that are not idempotent.
func (s *storeStub) putConfig(version int) {
	s.put("op/config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r", "host": "a.example", "prefix": "/", "kind": "unsafe", "timeout_ms": 2000, "latency_target_ms": 500, "max_attempts": 2, "service": "s",
		}},
		"services": []any{map[string]any{"name": "s", "max_conns": 500}},
		"limits":   map[string]any{"max_body_bytes": 1000},
	})
}

// itemsAfter returns the items that changed after a revision, the revision of the store,
// and a channel that is closed by the next change.
func (s *storeStub) itemsAfter(revision int) (items []map[string]any, currentRevision int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items = []map[string]any{}
	for _, item := range s.items {
		if item["rev"].(int) > revision {
			items = append(items, item)
		}
	}
	return items, s.revision, s.changed
}

// ServeHTTP implements http.Handler.
func (s *storeStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	listField, revision := "items", 0
	if r.URL.Path == "/api/kv-watch" {
		listField = "events"
		_, _ = fmt.Sscan(r.URL.Query().Get("after"), &revision)
	}
	items, currentRevision, changed := s.itemsAfter(revision)
	if listField == "events" && len(items) == 0 {
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-r.Context().Done():
		}
		items, currentRevision, _ = s.itemsAfter(revision)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{listField: items, "at_rev": currentRevision, "has_more": false})
}

// upstreamStub answers each request after a delay, and counts how often it ran each
// request id.
type upstreamStub struct {
	delay time.Duration
	mu    sync.Mutex
	ran   map[string]int
}

// ServeHTTP implements http.Handler.
func (u *upstreamStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	u.mu.Lock()
	u.ran[id]++
	u.mu.Unlock()
	time.Sleep(u.delay)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", "signature of "+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

func freePort(t *testing.T) uint16 {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String()).Port()
}

// runningGateway is a gateway that runs in the test process.
type runningGateway struct {
	settings     settings.Gateway
	settingsFile string
	store        *storeStub
	storeServer  *httptest.Server
	// stop stops the gateway and waits until it has ended.
	stop func() error
}

// writeSettings replaces the content of the settings file.
func (g *runningGateway) writeSettings(t *testing.T, content []byte) {
	t.Helper()
	must.NoError(t, os.WriteFile(g.settingsFile+".new", content, 0o600))
	must.NoError(t, os.Rename(g.settingsFile+".new", g.settingsFile))
}

// changeSettings writes the settings to the settings file.
func (g *runningGateway) changeSettings(t *testing.T, s settings.Gateway) {
	t.Helper()
	text, err := json.Marshal(s)
	must.NoError(t, err)
	g.writeSettings(t, text)
}

// setStopTime writes the settings with another stop time to the settings file.
func (g *runningGateway) setStopTime(t *testing.T, stopS float64) {
	t.Helper()
	s := g.settings
	s.StopS = stopS
	g.changeSettings(t, s)
}

// startGateway starts a gateway whose configuration has one route, for requests that are
// not idempotent, to one upstream.
func startGateway(t *testing.T, u http.Handler) *runningGateway {
	t.Helper()
	upstream := httptest.NewServer(u)
	t.Cleanup(upstream.Close)
	store := newStoreStub()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.putConfig(1)
	store.put("servers/i-1", map[string]any{
		"service": "s", "address": upstream.Listener.Addr().String(), "zone": "z", "slots": 100, "state": "ready", "cold_left_ms": 0, "sequence": 1,
	})
	s := settings.Gateway{
		Name: "g", DataCentre: "z", IP: "127.0.0.1", PeerPort: freePort(t),
		CallerAddress:   fmt.Sprint("127.0.0.1:", freePort(t)),
		OperatorAddress: fmt.Sprint("127.0.0.1:", freePort(t)),
		StoreAddress:    storeServer.Listener.Addr().String(),
		LogLevel:        "error", StopS: 6,
		Budget: settings.RetryBudget{Ratio: 0.2, Allowance: 50, WindowS: 10},
	}
	g := &runningGateway{settings: s, store: store, storeServer: storeServer, settingsFile: filepath.Join(t.TempDir(), "settings.json")}
	g.setStopTime(t, s.StopS)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- ServeGateway(ctx, g.settingsFile) }()
	g.stop = func() error { stop(); return <-done }
	for range 200 {
		if readinessCode(s) == http.StatusOK {
			return g
		}
		time.Sleep(20 * time.Millisecond)
	}
	stop()
	t.Fatal("the gateway is not ready")
	return nil
}

func readinessCode(s settings.Gateway) int {
	resp, err := http.Get("http://" + s.OperatorAddress + "/ready")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// sendOnKeepAliveConnections sends requests one after another until stop is closed, with
// a pause before each of them. It uses a connection for as long as the gateway keeps it
// open, and then opens a new one. It returns the ids of the requests that got a response;
// an id is mapped to true if the response has the right body.
func sendOnKeepAliveConnections(name, address string, pause time.Duration, stop <-chan struct{}) map[string]bool {
	answered := make(map[string]bool)
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			return answered
		case <-time.After(pause):
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", address); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprint(name, "-", n)
		_, _ = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", id)
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			answered[id] = err == nil && string(body) == "answer to "+id
		}
		if err != nil || resp.Close {
			_ = conn.Close()
			conn = nil
		}
	}
}

// TestStopLosesNoRequest guards against requests that an upstream runs but whose caller
// gets no answer because the stopping process closes the connection, whether callers
// send often or rarely. This happened when the process closed idle connections while a
// request was arriving, and when it ended before the requests accepted last were
// answered.
func TestStopLosesNoRequest(t *testing.T) {
	u := &upstreamStub{delay: 150 * time.Millisecond, ran: make(map[string]int)}
	g := startGateway(t, u)
	quit := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	answered := make(map[string]bool)
	for i := range 40 {
		callers.Go(func() {
			got := sendOnKeepAliveConnections(fmt.Sprint(i), g.settings.CallerAddress, time.Duration(5+37*i)*time.Millisecond, quit)
			mu.Lock()
			defer mu.Unlock()
			for id, ok := range got {
				answered[id] = ok
			}
		})
	}
	time.Sleep(time.Second)
	start := time.Now()
	go func() {
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, http.StatusServiceUnavailable, readinessCode(g.settings))
	}()
	must.NoError(t, g.stop())
	must.Less(t, g.settings.StopTime(), time.Since(start))
	close(quit)
	callers.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	must.Greater(t, 100, len(u.ran))
	for id, n := range u.ran {
		must.Eq(t, 1, n, must.Sprint(id))
		must.True(t, answered[id], must.Sprint("request ", id, " ran and was not answered"))
	}
}

// TestStopAnswersLateRequests guards against requests that a stopping process accepts late
// and passes on, and whose connections it closes without an answer at the end of its stop
// time, because their upstream is slow.
func TestStopAnswersLateRequests(t *testing.T) {
	u := &upstreamStub{delay: 1900 * time.Millisecond, ran: make(map[string]int)}
	g := startGateway(t, u)
	quit := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	answered := make(map[string]bool)
	for i := range 60 {
		callers.Go(func() {
			got := sendOnKeepAliveConnections(fmt.Sprint(i), g.settings.CallerAddress, time.Duration(100+10*i)*time.Millisecond, quit)
			mu.Lock()
			defer mu.Unlock()
			for id := range got {
				answered[id] = true
			}
		})
	}
	time.Sleep(3 * time.Second)
	start := time.Now()
	must.NoError(t, g.stop())
	must.Less(t, g.settings.StopTime(), time.Since(start))
	close(quit)
	callers.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	must.Greater(t, 60, len(u.ran))
	for id := range u.ran {
		must.True(t, answered[id], must.Sprint("request ", id, " ran and got no answer"))
	}
}

// TestInvalidStatusIsNotPassedOn guards against an upstream's status that is none of HTTP
// and reaches the caller, as an answer or as a refusal of a request that did not run.
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	g := startGateway(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "signature")
		if r.URL.Path == "/declined" {
			w.Header().Set("X-Not-Executed", "1")
		}
		w.WriteHeader(600)
	}))
	for _, path := range []string{"/failed", "/declined"} {
		req, err := http.NewRequest(http.MethodPost, "http://"+g.settings.CallerAddress+path, nil)
		must.NoError(t, err)
		req.Host = "a.example"
		req.Header.Set("X-Request-Id", "1")
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		must.Eq(t, http.StatusBadGateway, resp.StatusCode, must.Sprint(path))
		must.Eq(t, "", resp.Header.Get("Retry-After"))
		must.NoError(t, resp.Body.Close())
	}
	must.NoError(t, g.stop())
}
