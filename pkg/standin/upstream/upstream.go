// Package upstream is a stand-in for the upstreams of a service. It serves the
// upstream interface of docs/interfaces.md, injects faults that are set through an
// admin listener, and logs each request that it runs. Tests compare this log with what
// the gateways say about requests.
package upstream

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/internal/semaphore"
)

const (
	maxRequestBytes = 1 << 20
	// minReportInterval is the least time between two recorded reports, and
	// maxReports is the number of reports that are kept. With StatusLagMS, they bound
	// the time resolution and the age of the state that the endpoints can report.
	minReportInterval = 20 * time.Millisecond
	maxReports        = 1000
	crashExitCode     = 3
	// outcomeCrashed is the logged outcome of requests that a crash ended.
	outcomeCrashed = "crashed"
)

// Counters count what one upstream did since its start or the last reset. A reset does
// not affect PeakConnections and Accepted, which always count from the start.
type Counters struct {
	Requests        int            `json:"requests"`
	Started         int            `json:"started"`
	States          map[string]int `json:"states"`
	OpenConnections int            `json:"open_connections"`
	PeakConnections int            `json:"peak_connections"`
	Accepted        int            `json:"accepted"`
	PeakInFlight    int            `json:"peak_in_flight"`
	Crashes         int            `json:"crashes"`
	BusyMS          float64        `json:"busy_ms"`
	// LastRequest is the time at which the last request arrived, and LastStart the
	// time at which the last request started to run. They serve to check when a
	// leaving upstream got its last work.
	LastRequest time.Time `json:"last_request"`
	LastStart   time.Time `json:"last_start"`
}

// Upstream is one stand-in upstream, which has a listener of its own.
type Upstream struct {
	Name string

	listener *listener
	server   *http.Server
	log      *Log
	slots    *semaphore.Semaphore

	mu        sync.Mutex
	rng       *rand.Rand
	behaviour Behaviour
	// shardsBySnapshot holds the available shards of each snapshot. If it is nil, all
	// shards of all snapshots are available.
	shardsBySnapshot map[string]map[string]bool
	started          time.Time
	running          int
	counters         Counters
	history          []timedReport
	// crashed is closed by a crash, which ends all running requests. Each crash
	// replaces it by a new channel.
	crashed chan struct{}
}

// Start opens the listener and serves requests. With the same seed and the same
// order of requests, the service times and the choice of requests that get a fault
// are the same.
func Start(name, address string, b Behaviour, log *Log, seed uint64) (*Upstream, error) {
	b = b.normalised()
	u := &Upstream{
		Name:      name,
		log:       log,
		slots:     semaphore.New(b.Slots),
		rng:       rand.New(rand.NewPCG(seed, 0)),
		behaviour: b,
		started:   time.Now(),
		counters:  Counters{States: make(map[string]int)},
		crashed:   make(chan struct{}),
	}
	var err error
	u.listener, err = newListener(address, u.acceptCost, u.connectionLimit)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/execute", u.execute)
	mux.HandleFunc("GET /v1/health", u.health)
	mux.HandleFunc("GET /v1/load", u.load)
	u.server = &http.Server{Handler: mux, ConnContext: withConn}
	go func() { _ = u.server.Serve(u.listener) }()
	return u, nil
}

// Address returns the listener's "ip:port".
func (u *Upstream) Address() string { return u.listener.address }

// Close stops the upstream at once.
func (u *Upstream) Close() { _ = u.server.Close() }

// Shutdown stops listening and waits until the requests in flight have ended or ctx
// is done.
func (u *Upstream) Shutdown(ctx context.Context) { _ = u.server.Shutdown(ctx) }

// Behaviour returns the present settings.
func (u *Upstream) Behaviour() Behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

// SetBehaviour replaces the settings.
func (u *Upstream) SetBehaviour(b Behaviour) {
	b = b.normalised()
	u.mu.Lock()
	u.behaviour = b
	u.mu.Unlock()
	u.slots.Resize(b.Slots)
}

func (u *Upstream) acceptCost() time.Duration { return milliseconds(u.Behaviour().AcceptCostMS) }

func (u *Upstream) connectionLimit() int { return u.Behaviour().ConnectionLimit }

// Counters returns a copy of the counters.
func (u *Upstream) Counters() Counters {
	open, accepted, peak := u.listener.counts()
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counters
	c.States = make(map[string]int, len(u.counters.States))
	for state, n := range u.counters.States {
		c.States[state] = n
	}
	c.OpenConnections, c.Accepted, c.PeakConnections = open, accepted, peak
	return c
}

func (u *Upstream) resetCounters() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counters = Counters{States: make(map[string]int)}
}

// Crash simulates a crash: it ends all running requests, resets all connections and
// refuses new connections for the time d. When it accepts connections again, it behaves as
// after a start.
func (u *Upstream) Crash(d time.Duration) {
	u.mu.Lock()
	u.counters.Crashes++
	close(u.crashed)
	u.crashed = make(chan struct{})
	u.mu.Unlock()
	u.listener.refuseFor(d, u.StartCold)
	u.listener.dropAll()
}

// StartCold makes the upstream behave as after a start, with the longer service times
// of ColdStartMS and ColdFactor.
func (u *Upstream) StartCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.started = time.Now()
}

// DropConnections resets all connections.
func (u *Upstream) DropConnections() { u.listener.dropAll() }
