// Package platform is a stand-in for the platform's configuration service and
// instance list. It serves the platform interface of docs/interfaces.md, and
// an admin listener for writes, list entries and faults.
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
	// DefaultReadsPerSecond is the rate limit over all readers.
	DefaultReadsPerSecond = 2000
	maxWait               = 5 * time.Minute
	maxAdminBytes         = 8 << 20
)

// Faults are the faults in force.
type Faults struct {
	// Down breaks every connection of a reader without an answer.
	Down bool `json:"down"`
	// Stale freezes the document view at the present version, or at
	// ViewVersion, which may be an older one.
	Stale       bool    `json:"stale"`
	ViewVersion *uint64 `json:"view_version"`
	// ListStale freezes the instance list.
	ListStale bool    `json:"list_stale"`
	LatencyMS float64 `json:"latency_ms"`
	// ListLagMS is the delay until a change of the instance list is visible.
	ListLagMS float64 `json:"list_lag_ms"`
	// ReadsPerSecond is the rate limit; zero means the default.
	ReadsPerSecond float64 `json:"reads_per_second"`
}

// Counters count calls since the start or the last reset.
type Counters struct {
	// Calls counts every read, including those refused or broken.
	Calls         int `json:"calls"`
	DocumentCalls int `json:"document_calls"`
	InstanceCalls int `json:"instance_calls"`
	Watches       int `json:"watches"`
	Waiting       int `json:"waiting"`
	PeakWaiting   int `json:"peak_waiting"`
	RateLimited   int `json:"rate_limited"`
	Broken        int `json:"broken"`
	Writes        int `json:"writes"`
}

// Platform is one stand-in platform.
type Platform struct {
	store    *store
	registry *registry
	limiter  *rate.Limiter

	readerListener net.Listener
	adminListener  net.Listener
	reader         *http.Server
	admin          *http.Server

	mu       sync.Mutex
	faults   Faults
	frozen   *Instances
	counters Counters
	// broken is closed when the platform goes down, which ends watches.
	broken chan struct{}
}

// Start opens both listeners and serves.
func Start(address, adminAddress string, f Faults) (*Platform, error) {
	p := &Platform{
		store:    newStore(),
		registry: newRegistry(0),
		limiter:  rate.NewLimiter(DefaultReadsPerSecond, DefaultReadsPerSecond),
		broken:   make(chan struct{}),
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
	p.reader = &http.Server{Handler: p.readerHandler()}
	p.admin = &http.Server{Handler: p.adminHandler()}
	go func() { _ = p.reader.Serve(p.readerListener) }()
	go func() { _ = p.admin.Serve(p.adminListener) }()
	return p, nil
}

// Address returns the readers' "ip:port".
func (p *Platform) Address() string { return p.readerListener.Addr().String() }

// AdminAddress returns the admin listener's "ip:port".
func (p *Platform) AdminAddress() string { return p.adminListener.Addr().String() }

// Close stops everything at once.
func (p *Platform) Close() {
	_ = p.reader.Close()
	_ = p.admin.Close()
}

// WriteDocument adds a document; without force its revision must be higher
// than the one held. It returns the platform's new version.
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

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	now := time.Now()
	list := p.registry.list(now)
	p.mu.Lock()
	if f.Down && !p.faults.Down {
		close(p.broken)
		p.broken = make(chan struct{})
	}
	switch {
	case !f.ListStale:
		p.frozen = nil
	case p.frozen == nil:
		p.frozen = &list
	}
	p.faults = f
	p.mu.Unlock()

	if f.Stale || f.ViewVersion != nil {
		p.store.freeze(f.ViewVersion)
	} else {
		p.store.thaw()
	}
	p.registry.setLag(milliseconds(f.ListLagMS))
	limit := rate.Limit(DefaultReadsPerSecond)
	if f.ReadsPerSecond > 0 {
		limit = rate.Limit(f.ReadsPerSecond)
	}
	p.limiter.SetLimitAt(now, limit)
	p.limiter.SetBurstAt(now, max(1, int(limit)))
}

// Counters returns a copy of the counters.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

func (p *Platform) count(f func(*Counters)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.counters)
}

func (p *Platform) readerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/documents", p.read(func(c *Counters) { c.DocumentCalls++ }, p.documents))
	mux.HandleFunc("GET /v1/instances", p.read(func(c *Counters) { c.InstanceCalls++ }, p.instances))
	return mux
}

// read applies the count, the faults and the rate limit to a read.
func (p *Platform) read(countCall func(*Counters), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.count(func(c *Counters) {
			c.Calls++
			countCall(c)
		})
		f := p.Faults()
		time.Sleep(milliseconds(f.LatencyMS))
		p.breakIfDown()
		if !p.limiter.Allow() {
			p.count(func(c *Counters) { c.RateLimited++ })
			w.Header().Set("Retry-After", "1")
			http.Error(w, "read rate limit reached", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

// breakIfDown ends the connection without an answer while the platform is
// down.
func (p *Platform) breakIfDown() {
	if p.Faults().Down {
		p.count(func(c *Counters) { c.Broken++ })
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) documents(w http.ResponseWriter, r *http.Request) {
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
	wait := min(time.Duration(min(waitMS, uint64(maxWait.Milliseconds())))*time.Millisecond, maxWait)
	docs := p.watch(r.Context(), since, wait)
	p.breakIfDown()
	writeJSON(w, docs)
}

// watch reads, and waits for a change when there is none.
func (p *Platform) watch(ctx context.Context, since uint64, wait time.Duration) Documents {
	docs, changed := p.store.read(since)
	if wait <= 0 || settled(docs, since) {
		return docs
	}
	p.mu.Lock()
	p.counters.Watches++
	p.counters.Waiting++
	p.counters.PeakWaiting = max(p.counters.PeakWaiting, p.counters.Waiting)
	broken := p.broken
	p.mu.Unlock()
	defer p.count(func(c *Counters) { c.Waiting-- })

	timer := time.NewTimer(wait)
	defer timer.Stop()
	for !settled(docs, since) {
		select {
		case <-changed:
			docs, changed = p.store.read(since)
		case <-timer.C:
			return docs
		case <-broken:
			return docs
		case <-ctx.Done():
			return docs
		}
	}
	return docs
}

// settled reports whether a read need not wait.
func settled(docs Documents, since uint64) bool {
	return len(docs.Documents) > 0 || docs.Version < since
}

func (p *Platform) instances(w http.ResponseWriter, _ *http.Request) {
	list := p.registry.list(time.Now())
	p.mu.Lock()
	if p.frozen != nil {
		list = *p.frozen
	}
	p.mu.Unlock()
	writeJSON(w, list)
}

func (p *Platform) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/documents", p.adminWrite)
	mux.HandleFunc("POST /admin/faults", p.adminFaults)
	mux.HandleFunc("POST /admin/reset", func(w http.ResponseWriter, _ *http.Request) {
		p.count(func(c *Counters) { *c = Counters{Waiting: c.Waiting, PeakWaiting: c.Waiting} })
		writeJSON(w, p.Counters())
	})
	mux.HandleFunc("POST /admin/instances", changeEntry(func(i Instance) { p.registry.setInstance(time.Now(), i) }))
	mux.HandleFunc("POST /admin/instances/remove", changeEntry(func(i Instance) { p.registry.removeInstance(time.Now(), i.ID) }))
	mux.HandleFunc("POST /admin/upstreams", changeEntry(func(u Upstream) { p.registry.setUpstream(time.Now(), u) }))
	mux.HandleFunc("POST /admin/upstreams/remove", changeEntry(func(u Upstream) { p.registry.removeUpstream(time.Now(), u.Address) }))
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Faults()) })
	mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counters()) })
	return mux
}

// adminWrite takes a document as its body. The query parameter "force" skips
// the checks, so that an older or invalid document can be written.
func (p *Platform) adminWrite(w http.ResponseWriter, r *http.Request) {
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

// adminFaults overlays the given fields on the faults in force.
func (p *Platform) adminFaults(w http.ResponseWriter, r *http.Request) {
	f := p.Faults()
	f.ViewVersion = nil
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	writeJSON(w, f)
}

// changeEntry decodes one list entry and applies it.
func changeEntry[T any](apply func(T)) http.HandlerFunc {
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
