// Package platform is a stand-in for the platform's configuration service and
// instance list. One listener serves the platform interface of docs/interfaces.md
// to readers. An admin listener takes documents, list entries and faults.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// DefaultReadsPerSecond is the rate limit of all readers together.
	DefaultReadsPerSecond = 2000
	maxWatchWait          = 5 * time.Minute
	maxAdminBytes         = 8 << 20
)

// Faults describes the faults that the stand-in simulates. The zero value has none.
type Faults struct {
	// Down aborts the connection of every read without an answer.
	Down bool `json:"down"`
	// Stale makes reads see the documents of the platform version at which the fault
	// was set or, if ViewVersion is set, of the version ViewVersion, which may be
	// older. ViewVersion has this effect without Stale, too.
	Stale       bool    `json:"stale"`
	ViewVersion *uint64 `json:"view_version"`
	// ListStale makes readers see the lists of instances and upstreams as they were
	// when the fault was set.
	ListStale bool `json:"list_stale"`
	// LatencyMS is added to the time that every read takes.
	LatencyMS float64 `json:"latency_ms"`
	// ListLagMS is the delay until a change of the list of instances or upstreams is
	// visible.
	ListLagMS float64 `json:"list_lag_ms"`
	// ReadsPerSecond is the rate limit; zero means DefaultReadsPerSecond.
	ReadsPerSecond float64 `json:"reads_per_second"`
}

// Counters count the calls of readers and the writes since the start or the last
// reset.
type Counters struct {
	// Calls counts every read, including those that were rejected or aborted.
	Calls         int `json:"calls"`
	DocumentCalls int `json:"document_calls"`
	InstanceCalls int `json:"instance_calls"`
	// Watches counts the reads of documents that had to wait for a change. Waiting
	// is the number of reads that wait now, and PeakWaiting is the highest value of
	// Waiting.
	Watches     int `json:"watches"`
	Waiting     int `json:"waiting"`
	PeakWaiting int `json:"peak_waiting"`
	RateLimited int `json:"rate_limited"`
	// Broken counts the reads that were aborted because of Faults.Down.
	Broken int `json:"broken"`
	Writes int `json:"writes"`
}

// Platform is a stand-in platform that serves readers and admin requests.
type Platform struct {
	store    *store
	registry *registry
	limiter  *rate.Limiter

	readerListener net.Listener
	adminListener  net.Listener
	readerServer   *http.Server
	adminServer    *http.Server

	mu     sync.Mutex
	faults Faults
	// frozenList is the content of the lists that readers see while Faults.ListStale
	// is set; nil otherwise.
	frozenList *Instances
	counters   Counters
	// wentDown is closed when Faults.Down is set, so that all waiting reads end. It is
	// then replaced by a new channel.
	wentDown chan struct{}
}

// Start opens the listeners for readers and for admin requests, and serves both with
// the given faults.
func Start(address, adminAddress string, f Faults) (*Platform, error) {
	p := &Platform{
		store:    newStore(),
		registry: newRegistry(0),
		limiter:  rate.NewLimiter(DefaultReadsPerSecond, DefaultReadsPerSecond),
		wentDown: make(chan struct{}),
	}
	var err error
	if p.readerListener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	if p.adminListener, err = net.Listen("tcp", adminAddress); err != nil {
		_ = p.readerListener.Close()
		return nil, err
	}
	p.SetFaults(f)
	p.readerServer = &http.Server{Handler: p.readerHandler()}
	p.adminServer = &http.Server{Handler: p.adminHandler()}
	go func() { _ = p.readerServer.Serve(p.readerListener) }()
	go func() { _ = p.adminServer.Serve(p.adminListener) }()
	return p, nil
}

// Address returns the "ip:port" of the readers' listener.
func (p *Platform) Address() string { return p.readerListener.Addr().String() }

// AdminAddress returns the "ip:port" of the admin listener.
func (p *Platform) AdminAddress() string { return p.adminListener.Addr().String() }

// Close closes both listeners and all connections at once, without waiting for calls
// in progress.
func (p *Platform) Close() {
	_ = p.readerServer.Close()
	_ = p.adminServer.Close()
}

// WriteDocument adds a document and returns the platform's new version. Without
// force the document's revision must be higher than all earlier ones of its service.
func (p *Platform) WriteDocument(content []byte, force bool) (uint64, error) {
	version, err := p.store.write(content, force)
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Writes++
	return version, nil
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces all faults in force.
func (p *Platform) SetFaults(f Faults) {
	now := time.Now()
	list := p.registry.list(now)
	p.mu.Lock()
	if f.Down && !p.faults.Down {
		close(p.wentDown)
		p.wentDown = make(chan struct{})
	}
	switch {
	case !f.ListStale:
		p.frozenList = nil
	case p.frozenList == nil:
		p.frozenList = &list
	}
	p.faults = f
	p.mu.Unlock()

	if f.Stale || f.ViewVersion != nil {
		p.store.freeze(f.ViewVersion)
	} else {
		p.store.unfreeze()
	}
	p.registry.setLag(milliseconds(f.ListLagMS))
	limit := rate.Limit(DefaultReadsPerSecond)
	if f.ReadsPerSecond > 0 {
		limit = rate.Limit(f.ReadsPerSecond)
	}
	p.limiter.SetLimitAt(now, limit)
	p.limiter.SetBurstAt(now, max(1, int(limit)))
}

// Counters returns the present counters.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// updateCounters calls update with the counters while it holds the lock.
func (p *Platform) updateCounters(update func(*Counters)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.counters)
}

func (p *Platform) readerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/documents", p.readHandler(func(c *Counters) { c.DocumentCalls++ }, p.serveDocuments))
	mux.HandleFunc("GET /v1/instances", p.readHandler(func(c *Counters) { c.InstanceCalls++ }, p.serveInstances))
	return mux
}

// readHandler returns a handler of reads that counts the call, applies the faults and
// the rate limit, and then calls next. countCall raises the counter of this kind of
// call.
func (p *Platform) readHandler(countCall func(*Counters), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.updateCounters(func(c *Counters) {
			c.Calls++
			countCall(c)
		})
		f := p.Faults()
		time.Sleep(milliseconds(f.LatencyMS))
		p.abortIfDown()
		if !p.limiter.Allow() {
			p.updateCounters(func(c *Counters) { c.RateLimited++ })
			w.Header().Set("Retry-After", "1")
			http.Error(w, "read rate limit reached", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

// abortIfDown aborts the connection without an answer while Faults.Down is set.
func (p *Platform) abortIfDown() {
	if p.Faults().Down {
		p.updateCounters(func(c *Counters) { c.Broken++ })
		panic(http.ErrAbortHandler)
	}
}

// serveDocuments answers GET /v1/documents.
func (p *Platform) serveDocuments(w http.ResponseWriter, r *http.Request) {
	since, err := parseUint(r, "since")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, err := parseUint(r, "wait_ms")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(min(waitMS, uint64(maxWatchWait.Milliseconds())))*time.Millisecond, maxWatchWait)
	docs := p.readOrWait(r.Context(), since, wait)
	p.abortIfDown()
	writeJSON(w, docs)
}

// readOrWait returns the documents written after version since. If there are none and
// the platform's version is not behind since, it waits up to the given time for a change
// of what reads see. The wait ends early if the platform goes down or ctx ends.
func (p *Platform) readOrWait(ctx context.Context, since uint64, wait time.Duration) Documents {
	docs, changed := p.store.read(since)
	if wait <= 0 || hasAnswer(docs, since) {
		return docs
	}
	p.mu.Lock()
	p.counters.Watches++
	p.counters.Waiting++
	p.counters.PeakWaiting = max(p.counters.PeakWaiting, p.counters.Waiting)
	wentDown := p.wentDown
	p.mu.Unlock()
	defer p.updateCounters(func(c *Counters) { c.Waiting-- })

	timer := time.NewTimer(wait)
	defer timer.Stop()
	for !hasAnswer(docs, since) {
		select {
		case <-changed:
			docs, changed = p.store.read(since)
		case <-timer.C:
			return docs
		case <-wentDown:
			return docs
		case <-ctx.Done():
			return docs
		}
	}
	return docs
}

// hasAnswer reports whether a read can be answered without waiting: there are newer
// documents, or the platform's version is behind the reader's.
func hasAnswer(docs Documents, since uint64) bool {
	return len(docs.Documents) > 0 || docs.Version < since
}

// serveInstances answers GET /v1/instances.
func (p *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	list := p.registry.list(time.Now())
	p.mu.Lock()
	if p.frozenList != nil {
		list = *p.frozenList
	}
	p.mu.Unlock()
	writeJSON(w, list)
}

func (p *Platform) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/documents", p.adminWriteDocument)
	mux.HandleFunc("POST /admin/faults", p.adminSetFaults)
	mux.HandleFunc("POST /admin/reset", func(w http.ResponseWriter, _ *http.Request) {
		p.updateCounters(func(c *Counters) { *c = Counters{Waiting: c.Waiting, PeakWaiting: c.Waiting} })
		writeJSON(w, p.Counters())
	})
	mux.HandleFunc("POST /admin/instances", adminChangeEntry(func(i Instance) { p.registry.setInstance(time.Now(), i) }))
	mux.HandleFunc("POST /admin/instances/remove", adminChangeEntry(func(i Instance) { p.registry.removeInstance(time.Now(), i.ID) }))
	mux.HandleFunc("POST /admin/upstreams", adminChangeEntry(func(u Upstream) { p.registry.setUpstream(time.Now(), u) }))
	mux.HandleFunc("POST /admin/upstreams/remove", adminChangeEntry(func(u Upstream) { p.registry.removeUpstream(time.Now(), u.Address) }))
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Faults()) })
	mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counters()) })
	return mux
}

// adminWriteDocument writes the document in the request's body. The query parameter
// "force" skips the checks, so that an older or invalid document can be written.
func (p *Platform) adminWriteDocument(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	force, _ := strconv.ParseBool(r.URL.Query().Get("force"))
	version, err := p.WriteDocument(content, force)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, map[string]uint64{"version": version})
}

// adminSetFaults sets the faults whose fields are in the request's body and keeps the
// others in force. An exception is view_version, which is cleared if it is absent.
func (p *Platform) adminSetFaults(w http.ResponseWriter, r *http.Request) {
	f := p.Faults()
	f.ViewVersion = nil
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	writeJSON(w, f)
}

// adminChangeEntry returns a handler that decodes one list entry and passes it to
// apply.
func adminChangeEntry[T any](apply func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var entry T
		if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		apply(entry)
		writeJSON(w, entry)
	}
}

// parseUint returns a query parameter as a number, and zero if it is absent.
func parseUint(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
