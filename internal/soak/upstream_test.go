package soak

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	upstreamSlots = 4
	upstreamQueue = 8
	maxConns      = 80
	recordBytes   = 16
)

// behaviour is how an upstream treats requests; the shares are from 0 to 1.
type behaviour struct {
	slow                                    float64
	errors, sheds, mutes, loses, cuts, adds float64
	// closesIdle makes it close idle connections without a notice.
	closesIdle bool
}

// upstream is a stand-in for one process of a service.
type upstream struct {
	ledger             *ledger
	id, service, zone  string
	address, published string
	work               time.Duration
	slots              chan struct{}
	crashed            func()
	mu                 sync.Mutex
	behaviour          behaviour
	waiting            int
	server             *http.Server
	conns              map[net.Conn]bool
	stopped            bool
}

// startUpstream listens on an address; an empty one takes a free port.
func startUpstream(l *ledger, id, service, zone, address string, work time.Duration) (*upstream, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	for n := 0; err != nil && n < 50; n++ {
		// The port of a process that has just ended may be busy for a moment.
		time.Sleep(20 * time.Millisecond)
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		return nil, err
	}
	u := &upstream{ledger: l, id: id, service: service, zone: zone, address: listener.Addr().String(), work: work, slots: make(chan struct{}, upstreamSlots), conns: make(map[net.Conn]bool)}
	u.published = u.address
	u.server = &http.Server{Handler: u, ConnState: u.track}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

// track enforces the connection limit.
func (u *upstream) track(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch state {
	case http.StateNew:
		u.conns[c] = true
		if len(u.conns) > maxConns {
			abort(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, c)
	case http.StateIdle:
		if u.behaviour.closesIdle {
			time.AfterFunc(30*time.Millisecond, func() { _ = c.Close() })
		}
	}
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// entry is what the upstream registers.
func (u *upstream) entry(state string, sequence int) map[string]any {
	return map[string]any{"service": u.service, "address": u.published, "zone": u.zone, "version": "1", "slots": upstreamSlots, "state": state, "cold_left_ms": 0, "sequence": sequence, "born": time.Now().UnixMilli()}
}

func (u *upstream) set(b behaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour = b
}

// stop ends the process at once.
func (u *upstream) stop() {
	u.mu.Lock()
	u.stopped = true
	for c := range u.conns {
		abort(c)
	}
	u.mu.Unlock()
	_ = u.server.Close()
}

// enter waits for a slot; ok is false if the upstream is full or the request has
// ended before.
func (u *upstream) enter(r *http.Request, wait time.Duration) bool {
	u.mu.Lock()
	u.waiting++
	full := u.waiting > upstreamSlots+upstreamQueue
	u.mu.Unlock()
	if !full {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case u.slots <- struct{}{}:
			return true
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	u.exit(false)
	return false
}

func (u *upstream) exit(slot bool) {
	if slot {
		<-u.slots
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	b := u.behaviour
	u.mu.Unlock()
	e := &execution{id: id, upstream: u.id, service: u.service, arrived: time.Now(), wait: -1}
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		e.wait = time.Duration(ms * float64(time.Millisecond))
	}
	u.ledger.arrive(e, r.Method, r.RequestURI, string(body))
	switch {
	case mathrand.Float64() < b.sheds || !u.enter(r, max(e.wait, 0)):
		u.ledger.finish(e, func() {})
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		defer u.exit(true)
		u.run(w, r, e, b)
	}
}

// run works on a request and answers it.
func (u *upstream) run(w http.ResponseWriter, r *http.Request, e *execution, b behaviour) {
	u.ledger.finish(e, func() { e.ran = true })
	if strings.Contains(r.RequestURI, poisonMark) {
		u.ledger.finish(e, func() { e.broken = true })
		u.crashed()
		return
	}
	work := time.Duration(float64(u.work) * (0.5 + mathrand.ExpFloat64()/2) * max(1, b.slow))
	if mathrand.Float64() < b.mutes {
		work = time.Hour
	}
	timer := time.NewTimer(min(work, max(e.wait, 0)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		u.ledger.finish(e, func() { e.cancelled = true })
		return
	}
	status, text := http.StatusOK, answerBody()
	if mathrand.Float64() < b.errors || work > e.wait {
		status, text = http.StatusInternalServerError, ""
	}
	cut, lost, extra := mathrand.Float64() < b.cuts, mathrand.Float64() < b.loses, mathrand.Float64() < b.adds
	u.ledger.finish(e, func() {
		e.status, e.body, e.stamp, e.broken = status, text, stamp(), cut || lost
	})
	w.Header().Set("X-Server-Stamp", e.stamp)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	switch {
	case lost:
		resetConnection(w)
	case cut && len(text) > 1:
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case extra:
		u.answerTwice(w, e)
	default:
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

// answerTwice sends the answer and, a little later, another one to the same
// request, and then closes the connection.
func (u *upstream) answerTwice(w http.ResponseWriter, e *execution) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	one := func(text, signature string) string {
		return fmt.Sprintf("HTTP/1.1 %d Status\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", e.status, e.id, signature, len(text), text)
	}
	_, _ = io.WriteString(conn, one(e.body, e.stamp))
	time.Sleep(mathrand.N(20 * time.Millisecond))
	_, _ = io.WriteString(conn, one(strings.Repeat("z", 3*recordBytes), "unknown"))
	time.Sleep(20 * time.Millisecond)
	_ = conn.Close()
}

// answerBody returns records of random bytes.
func answerBody() string {
	b := make([]byte, recordBytes*(1+mathrand.IntN(20)))
	_, _ = rand.Read(b)
	return string(b)
}

func stamp() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
