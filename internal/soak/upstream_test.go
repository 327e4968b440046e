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
	"sync/atomic"
	"time"
)

const (
	upstreamSlots = 4
	upstreamQueue = 8
	maxConns      = 80
	recordBytes   = 16
	healthPath    = "/health"
)

// behaviour is how an upstream treats requests.
type behaviour struct {
	// slowdown multiplies the time of work if it is greater than 1.
	slowdown float64
	// The shares, 0 to 1, are the fractions of requests that are answered with an
	// error, are refused, get no answer, get a reset connection instead of an answer,
	// get half an answer, or get a second answer.
	errorShare, shedShare, silentShare, loseShare, cutShare, extraShare float64
	// statusShare is the share of requests and health checks that are answered with an
	// invalid status.
	statusShare float64
	// closesIdle makes the upstream close idle connections without notice.
	closesIdle bool
}

// upstream is a stand-in for one upstream of a service.
type upstream struct {
	ledger                  *ledger
	id, service, dataCentre string
	// address is where the upstream listens, and published the address in its entry,
	// which may be one of the relay.
	address, published string
	meanWork           time.Duration
	slots              chan struct{}
	onCrash            func()
	// crashWithAlike, if true, makes the next upstream crash that runs an alike request.
	// All upstreams of a run share it.
	crashWithAlike *atomic.Bool
	onSilentCrash  func()
	mu             sync.Mutex
	behaviour      behaviour
	// admitted is the number of requests that hold a slot or wait for one.
	admitted int
	server   *http.Server
	conns    map[net.Conn]bool
	stopped  bool
	// born is the start of the upstream, and coldUntil the end of its cold time.
	born, coldUntil time.Time
	// sendsCold makes the upstream state its cold time in the answers to health checks.
	sendsCold bool
	// state is the state in the last entry. entryMu is held while an entry is written.
	entryMu sync.Mutex
	state   string
	// silent makes the upstream answer no request.
	silent bool
}

// startUpstream starts an upstream that listens on the given address, or on a free
// port if the address is empty.
func startUpstream(l *ledger, id, service, dataCentre, address string, work time.Duration) (*upstream, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	for n := 0; err != nil && n < 50; n++ {
		// The port of an upstream that has just stopped may be in use for a moment.
		time.Sleep(20 * time.Millisecond)
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		return nil, err
	}
	u := &upstream{ledger: l, id: id, service: service, dataCentre: dataCentre, address: listener.Addr().String(), meanWork: work, slots: make(chan struct{}, upstreamSlots), conns: make(map[net.Conn]bool)}
	u.published, u.born = u.address, time.Now()
	u.server = &http.Server{Handler: u, ConnState: u.trackConn}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

// trackConn resets new connections beyond maxConns. With closesIdle, it closes
// connections soon after they become idle.
func (u *upstream) trackConn(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch state {
	case http.StateNew:
		u.conns[c] = true
		if len(u.conns) > maxConns {
			resetConn(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, c)
	case http.StateIdle:
		if u.behaviour.closesIdle {
			time.AfterFunc(30*time.Millisecond, func() { _ = c.Close() })
		}
	}
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// entry returns the entry that the upstream registers in the store.
func (u *upstream) entry(state string, sequence int) map[string]any {
	return map[string]any{"service": u.service, "address": u.published, "zone": u.dataCentre, "version": "1", "slots": upstreamSlots, "state": state, "cold_left_ms": u.coldLeftMS(), "sequence": sequence, "born": u.born.UnixMilli()}
}

func (u *upstream) setBehaviour(b behaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour = b
}

// stop resets all connections and stops the upstream at once.
func (u *upstream) stop() {
	u.mu.Lock()
	u.stopped = true
	for c := range u.conns {
		resetConn(c)
	}
	u.mu.Unlock()
	_ = u.server.Close()
}

// acquireSlot waits for a slot and reports whether it got one. It gets none if the
// queue is full, the wait is over or the request has ended.
func (u *upstream) acquireSlot(r *http.Request, wait time.Duration) bool {
	u.mu.Lock()
	u.admitted++
	full := u.admitted > upstreamSlots+upstreamQueue
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
	u.releaseSlot(false)
	return false
}

// releaseSlot counts a request as no longer admitted. If the request held a slot, it
// also frees the slot.
func (u *upstream) releaseSlot(held bool) {
	if held {
		<-u.slots
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.admitted--
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
	if r.URL.Path == healthPath {
		u.ledger.recordHealthCheck(u)
	}
	u.mu.Lock()
	b, silent := u.behaviour, u.silent
	u.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == healthPath {
		if mathrand.Float64() < b.statusShare {
			answerInvalidStatus(w, "X-Instance-Id: "+u.id, randomInvalidStatus(), "")
			return
		}
		w.Header().Set("X-Instance-Id", u.id)
		if u.sendsCold {
			w.Header().Set("X-Cold-Ms", strconv.FormatInt(u.coldLeftMS(), 10))
		}
		return
	}
	e := &execution{id: id, upstream: u.id, service: u.service, dataCentre: u.dataCentre, arrived: time.Now(), timeBudget: -1}
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		e.timeBudget = time.Duration(ms * float64(time.Millisecond))
	}
	u.ledger.recordArrival(e, r.Method, r.RequestURI, string(body))
	switch {
	case mathrand.Float64() < b.shedShare || !u.acquireSlot(r, max(e.timeBudget, 0)):
		u.ledger.recordProgress(e, func() {})
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		defer u.releaseSlot(true)
		u.run(w, r, e, b)
	}
}

// run works on a request and answers it, with the faults of the behaviour.
func (u *upstream) run(w http.ResponseWriter, r *http.Request, e *execution, b behaviour) {
	u.ledger.recordProgress(e, func() { e.ran = true })
	if strings.Contains(r.RequestURI, silentCrashMark) {
		u.ledger.recordProgress(e, func() { e.answerBroken = true })
		u.onSilentCrash()
		<-r.Context().Done()
		return
	}
	if strings.HasSuffix(r.RequestURI, alikePath) && u.crashWithAlike != nil && u.crashWithAlike.CompareAndSwap(true, false) {
		u.ledger.recordProgress(e, func() { e.answerBroken = true })
		u.onCrash()
		return
	}
	if strings.Contains(r.RequestURI, crashMark) {
		u.ledger.recordProgress(e, func() { e.answerBroken = true })
		u.onCrash()
		return
	}
	work := time.Duration(float64(u.meanWork) * (0.5 + mathrand.ExpFloat64()/2) * max(1, b.slowdown))
	if mathrand.Float64() < b.silentShare {
		work = time.Hour
	}
	timer := time.NewTimer(min(work, max(e.timeBudget, 0)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		u.ledger.recordProgress(e, func() { e.cancelled = true })
		return
	}
	status, text := http.StatusOK, answerBody()
	if mathrand.Float64() < b.errorShare || work > e.timeBudget {
		status, text = http.StatusInternalServerError, ""
	}
	invalid := mathrand.Float64() < b.statusShare
	if invalid {
		status = randomInvalidStatus()
	}
	cut, lost, extra := mathrand.Float64() < b.cutShare, mathrand.Float64() < b.loseShare, mathrand.Float64() < b.extraShare
	u.ledger.recordProgress(e, func() {
		e.status, e.body, e.signature, e.answerBroken = status, text, newSignature(), cut || lost
	})
	w.Header().Set("X-Server-Stamp", e.signature)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	switch {
	case lost:
		resetRequestConn(w)
	case invalid:
		answerInvalidStatus(w, "X-Request-Id: "+e.id+"\r\nX-Server-Stamp: "+e.signature, status, text)
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

// randomInvalidStatus returns a status that HTTP does not define.
func randomInvalidStatus() int { return []int{0, 99, 600, 999}[mathrand.IntN(4)] }

// answerInvalidStatus answers with a status that net/http does not write, and closes the
// connection.
func answerInvalidStatus(w http.ResponseWriter, header string, status int, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %03d Status\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, header, len(text), text)
	_ = conn.Close()
}

// answerTwice sends the answer and, up to 20 ms later, a second one to the same
// request. It then closes the connection.
func (u *upstream) answerTwice(w http.ResponseWriter, e *execution) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	response := func(text, responseSignature string) string {
		return fmt.Sprintf("HTTP/1.1 %d Status\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", e.status, e.id, responseSignature, len(text), text)
	}
	_, _ = io.WriteString(conn, response(e.body, e.signature))
	time.Sleep(mathrand.N(20 * time.Millisecond))
	_, _ = io.WriteString(conn, response(strings.Repeat("z", 3*recordBytes), "unknown"))
	time.Sleep(20 * time.Millisecond)
	_ = conn.Close()
}

// answerBody returns 1 to 20 records of random bytes.
func answerBody() string {
	b := make([]byte, recordBytes*(1+mathrand.IntN(20)))
	_, _ = rand.Read(b)
	return string(b)
}

func newSignature() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
