package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	leafSlots = 6
	leafQueue = 24
	// lapseTime is how long the entry of a silent leaf stays in the store: three
	// report intervals of 1.2 s.
	lapseTime = 3600 * time.Millisecond
)

// leaf is a stand-in for one leaf of a service.
type leaf struct {
	rec         *recorder
	store       *store
	id, service string
	zone        string
	address     string
	work        time.Duration
	slots       chan struct{}
	admitted    atomic.Int64
	running     atomic.Int64
	server      *http.Server

	// spread is the spread of the log-normal time of work; zero means that each request
	// takes the same time.
	spread float64
	// crashesOn reports whether a request to the path ends the leaf in silence as soon
	// as it begins to run. It is set before the first request.
	crashesOn func(path string) bool
	// onSilentCrash is called with the id of the request that ended the leaf.
	onSilentCrash func(f *leaf, requestID string)

	mu      sync.Mutex
	conns   map[net.Conn]bool
	crashed bool
	// silent is closed when the leaf is back after a silent crash; nil while it runs.
	silent chan struct{}
}

// startLeaf starts a leaf on the address, or on a free port if it is empty, and
// registers it.
func startLeaf(rec *recorder, s *store, id, service, zone, address string, work time.Duration) (*leaf, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &leaf{rec: rec, store: s, id: id, service: service, zone: zone, address: l.Addr().String(), work: work, slots: make(chan struct{}, leafSlots), conns: make(map[net.Conn]bool)}
	f.server = &http.Server{Handler: f, ConnState: f.track}
	go func() { _ = f.server.Serve(l) }()
	f.register()
	return f, nil
}

func (f *leaf) register() {
	f.store.put("servers/"+f.currentID(), map[string]any{"service": f.service, "address": f.address, "zone": f.zone, "version": "v1", "slots": leafSlots, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
}

func (f *leaf) currentID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.id
}

// crashSilently ends the leaf without a sign on its connections: it answers nothing any
// more. Its entry lapses after lapseTime. After the given time it is back at its address
// as a new leaf with the new id, and the old connections are reset.
func (f *leaf) crashSilently(requestID, newID string, downtime time.Duration) {
	f.mu.Lock()
	if f.silent != nil {
		f.mu.Unlock()
		return
	}
	back := make(chan struct{})
	f.silent = back
	oldID := f.id
	f.mu.Unlock()
	f.rec.printf("leaf %s (%s) begins to run %s, crashes and falls silent", oldID, f.service, requestID)
	time.AfterFunc(lapseTime, func() { f.store.remove("servers/" + oldID) })
	time.AfterFunc(downtime, func() {
		f.mu.Lock()
		for c := range f.conns {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
		f.silent, f.id = nil, newID
		f.mu.Unlock()
		close(back)
		f.rec.printf("leaf %s (%s) is back in place of %s", newID, f.service, oldID)
		f.register()
	})
}

// awaitVoice blocks a request that reached a silent leaf until its connection ends, and
// reports whether the leaf runs.
func (f *leaf) awaitVoice(r *http.Request) bool {
	f.mu.Lock()
	silent := f.silent
	f.mu.Unlock()
	if silent == nil {
		return true
	}
	select {
	case <-silent:
	case <-r.Context().Done():
	}
	return false
}

func (f *leaf) track(c net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch state {
	case http.StateNew:
		f.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(f.conns, c)
	}
}

// crash ends the leaf as the kill of its process does: the port is closed and all
// connections are reset. Its entry lapses after lapseTime.
func (f *leaf) crash() {
	f.rec.printf("leaf %s (%s) crashes with %d requests at work", f.id, f.service, f.running.Load())
	f.mu.Lock()
	f.crashed = true
	for c := range f.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	f.mu.Unlock()
	_ = f.server.Close()
	time.AfterFunc(lapseTime, func() { f.store.remove("servers/" + f.id) })
}

// leaveWithoutNotice removes the leaf's entry and ends the leaf after the given time.
func (f *leaf) leaveWithoutNotice(serve time.Duration) {
	f.rec.printf("leaf %s (%s) leaves: its entry is removed, it serves for %s more", f.id, f.service, serve)
	f.store.remove("servers/" + f.id)
	time.AfterFunc(serve, func() {
		f.rec.printf("leaf %s (%s) ends", f.id, f.service)
		_ = f.server.Close()
	})
}

func (f *leaf) hasCrashed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

func (f *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.awaitVoice(r) {
		panic(http.ErrAbortHandler)
	}
	id, self := r.Header.Get("X-Request-Id"), f.currentID()
	w.Header().Set("X-Request-Id", id)
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", self)
		return
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != self:
		f.refuse(w, id, http.StatusMisdirectedRequest)
		return
	case id == "":
		f.refuse(w, id, http.StatusBadRequest)
		return
	}
	if f.admitted.Add(1) > leafSlots+leafQueue {
		f.admitted.Add(-1)
		f.refuse(w, id, http.StatusServiceUnavailable)
		return
	}
	defer f.admitted.Add(-1)
	wait := 10 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	budget := time.NewTimer(wait)
	defer budget.Stop()
	select {
	case f.slots <- struct{}{}:
	case <-budget.C:
		f.refuse(w, id, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-f.slots }()
	f.run(w, r, id, budget.C)
}

func (f *leaf) refuse(w http.ResponseWriter, id string, status int) {
	f.rec.printf("leaf %s rejects %q with %d, not run", f.currentID(), id, status)
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (f *leaf) run(w http.ResponseWriter, r *http.Request, id string, budget <-chan time.Time) {
	f.running.Add(1)
	defer f.running.Add(-1)
	self := f.currentID()
	f.rec.printf("leaf %s runs %s %s %s", self, id, r.Method, r.URL.Path)
	if f.crashesOn != nil && f.crashesOn(r.URL.Path) {
		f.onSilentCrash(f, id)
	}
	work := time.NewTimer(time.Duration(float64(f.work) * math.Exp(f.spread*rand.NormFloat64()-f.spread*f.spread/2)))
	defer work.Stop()
	stamp := fmt.Sprintf("stamp-%s-%s", self, id)
	select {
	case <-work.C:
	case <-budget:
		w.Header().Set("X-Server-Stamp", stamp)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	if f.hasCrashed() || !f.awaitVoice(r) {
		panic(http.ErrAbortHandler)
	}
	body := "answer to " + id + "\n"
	w.Header().Set("X-Server-Stamp", stamp)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}
