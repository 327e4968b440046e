package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is one request that reached a leaf, as the leaf saw it.
type arrival struct {
	At       time.Time
	Leaf     string
	Service  string
	ID       string
	Path     string
	Deadline string
	// Ran is true if the leaf began to work on it.
	Ran bool
}

// ledger holds what arrived at the leafs.
type ledger struct {
	mu       sync.Mutex
	arrivals []arrival
}

func (l *ledger) add(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

func (l *ledger) all() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.arrivals...)
}

// leaf is a stand-in for a server of a service. behave, if set, may answer a request
// itself and then returns true; without it the leaf behaves well.
type leaf struct {
	id, service, zone, address string
	slots                      chan struct{}
	work                       time.Duration
	ledger                     *ledger
	born                       int64
	behave                     func(w http.ResponseWriter, r *http.Request) (handled, ran bool)
}

func startLeaf(id, service, zone string, slots int, work time.Duration, l *ledger, behave func(http.ResponseWriter, *http.Request) (bool, bool)) (*leaf, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &leaf{id: id, service: service, zone: zone, address: listener.Addr().String(), slots: make(chan struct{}, slots), work: work, ledger: l, behave: behave, born: time.Now().UnixMilli()}
	go func() { _ = http.Serve(listener, f) }()
	return f, nil
}

// entry is what the leaf writes about itself into the store.
func (f *leaf) entry(state string) map[string]any {
	return map[string]any{"service": f.service, "address": f.address, "zone": f.zone, "version": "1", "slots": cap(f.slots), "state": state, "cold_left_ms": 0, "sequence": 1, "born": f.born}
}

// ServeHTTP implements http.Handler.
func (f *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", f.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	a := arrival{At: time.Now(), Leaf: f.id, Service: f.service, ID: id, Path: r.URL.RequestURI(), Deadline: r.Header.Get("X-Deadline-Ms")}
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != f.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if f.behave != nil {
		if handled, ran := f.behave(w, r); handled {
			a.Ran = ran
			f.ledger.add(a)
			return
		}
	}
	a.Ran = true
	f.ledger.add(a)
	f.slots <- struct{}{}
	time.Sleep(f.work)
	<-f.slots
	w.Header().Set("X-Server-Stamp", stampOf(f.id, id))
	body := fmt.Sprintf("%s %s", f.id, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func stampOf(leaf, id string) string { return "stamp." + leaf + "." + id }

// shed answers as a leaf that did not run the request.
func shed(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
