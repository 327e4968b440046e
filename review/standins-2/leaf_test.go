package standins

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a leaf began to work on.
type run struct {
	id, leaf, service, method, path string
	began                           time.Time
	// sentAt is when the caller sent the request.
	sentAt time.Time
}

// runLog holds the runs of all leafs.
type runLog struct {
	record *record
	mu     sync.Mutex
	list   []run
}

func (l *runLog) add(r run) {
	l.record.logf("leaf %s (%s) runs %s %s, request %s", r.leaf, r.service, r.method, r.path, r.id)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.list...)
}

// leaf is a stand-in for one leaf.
type leaf struct {
	e                 *env
	id, service, zone string
	address           string
	born              int64
	sequence          int
	work              time.Duration
	server            *http.Server
	stamps            atomic.Int64
	// leaving is true once the leaf has reported that it leaves.
	leaving atomic.Bool
}

// startLeaf starts a leaf and registers it.
func (e *env) startLeaf(id, service, zone string, work time.Duration) (*leaf, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &leaf{e: e, id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), work: work}
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(listener) }()
	e.closers = append(e.closers, func() { _ = l.server.Close() })
	l.report("ready")
	return l, nil
}

// entry returns the leaf's entry in the registry.
func (l *leaf) entry(state string) map[string]any {
	l.sequence++
	return map[string]any{"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "slots": 6, "state": state, "cold_left_ms": 0, "sequence": l.sequence, "born": l.born}
}

func (l *leaf) report(state string) { l.e.store.put("servers/"+l.id, l.entry(state)) }

// exit ends the leaf: it closes its listener and all its connections.
func (l *leaf) exit() {
	l.e.record.logf("leaf %s exits", l.id)
	_ = l.server.Close()
}

// ServeHTTP runs a request.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", l.id)
		if l.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != l.id {
		h.Set("X-Instance-Id", l.id)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	l.e.runs.add(run{id: id, leaf: l.id, service: l.service, method: r.Method, path: r.URL.Path, began: time.Now(), sentAt: l.e.sentAt(id)})
	select {
	case <-time.After(l.work):
	case <-r.Context().Done():
		l.e.record.logf("leaf %s breaks off request %s", l.id, id)
		return
	}
	if l.leaving.Load() {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	h.Set("X-Server-Stamp", l.id+"."+strconv.FormatInt(l.stamps.Add(1), 10))
	_, _ = fmt.Fprintf(w, "%s answers %s", l.service, id)
}
