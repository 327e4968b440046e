// Package gateway serves callers' requests along the routes of the platform's
// configuration: it sends each to an upstream of the route's service, or to one
// upstream of each shard, and answers with what they return. Every instance calls
// upstreams itself, but one with little processor time lets a larger one run its
// queries over shards; the instances share what they know of the platform and of
// requests that crash upstreams.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardineturn/sardineturn/internal/workers"
	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/delegation"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/retrybudget"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

// Config is what a gateway needs from its settings.
type Config struct {
	ID             model.InstanceID
	Cluster        string
	DataCentre     model.DataCentre
	ControlAddress string
	// Seeds are instances to contact at start.
	Seeds []Seed
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool
	// Capacity is the processor time that this instance may use, in cores; zero if
	// it is not known.
	Capacity float64
	// RetryBudget limits the extra attempts on each service.
	RetryBudget retrybudget.Limits
}

// Seed is an instance that may be running.
type Seed struct {
	ID             model.InstanceID
	ControlAddress string
}

// Gateway is one instance.
type Gateway struct {
	cfg   Config
	ports Ports
	// started is the time at which the process began.
	started time.Time

	// settings holds what may change while the process runs.
	settings struct {
		sync.Mutex
		seeds  []Seed
		budget retrybudget.Limits
	}

	view atomic.Pointer[view]
	// viewAvailable is closed once there is a view.
	viewAvailable chan struct{}

	// published guards the copy of the platform's keys.
	published struct {
		sync.Mutex
		replica     *feed.Replica
		directory   *directory.Directory
		table       *routing.Table
		confirmedAt time.Time
		// changed is closed by the next change.
		changed chan struct{}
		// outageEnd is when the platform answered again after an outage.
		outageEnd time.Time
	}

	fleet struct {
		sync.Mutex
		membership  *membership.Membership
		seenVersion uint64
		// maxMembers is the greatest number of live members seen.
		maxMembers int
		// maxTotalCores is the greatest processor time of all live members together that
		// was seen, in cores.
		maxTotalCores float64
		isReader      bool
	}

	quarantine struct {
		sync.Mutex
		set *quarantine.Set
	}

	latencies sync.Map // route name to *latency
	timing    callerTiming
	logLimit  logLineLimit
	workers   *workers.Pool
	delegates delegates

	stopping       atomic.Bool
	activeRequests atomic.Int64
	// activeQueries is the number of activeQueries over shards that run here.
	activeQueries atomic.Int64
	wg            sync.WaitGroup
	cancel        context.CancelFunc
}

// view is the routes and upstreams in force. It is replaced as a whole.
type view struct {
	table    *routing.Table
	services map[string]*service
}

// service is the state of one service, under its own lock.
type service struct {
	name string

	mu       sync.Mutex
	balancer *balancer.Service
	budget   *retrybudget.Budget
}

// latency is the estimate of one route, under its own lock.
type latency struct {
	mu sync.Mutex
	balancer.Latency
}

// New returns a gateway that knows nothing yet.
func New(cfg Config, ports Ports) *Gateway {
	now := ports.Clock.Now()
	g := &Gateway{cfg: cfg, ports: ports, started: now, viewAvailable: make(chan struct{}), workers: workers.New(), logLimit: newLogLineLimit()}
	g.published.replica = feed.NewReplica()
	g.published.directory = directory.New()
	g.published.changed = make(chan struct{})
	g.settings.seeds, g.settings.budget = cfg.Seeds, cfg.RetryBudget
	g.quarantine.set = quarantine.New(0)
	g.delegates.table = delegation.NewTable(cfg.Capacity)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g.fleet.membership = membership.New(membership.Config{
		Self: membership.Member{
			ID:             cfg.ID,
			ControlAddress: cfg.ControlAddress,
			DataCentre:     cfg.DataCentre,
			Boot:           membership.NewBootID(now, random),
			Capacity:       membership.CapacityOf(cfg.Capacity),
		},
		Cluster:   cfg.Cluster,
		Rand:      random,
		Interval:  probeInterval,
		Suspicion: suspicionTimeout,
	}, now)
	g.fleet.maxMembers = 1
	return g
}

// Start runs the gateway's background work until Stop.
func (g *Gateway) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.setListedInstances(g.listedSeeds())
	g.wg.Go(func() { g.runMembership(ctx) })
	g.wg.Go(func() { g.runFeed(ctx) })
	g.wg.Go(func() { g.runMemberSync(ctx) })
	g.wg.Go(func() { g.runMaintenance(ctx) })
}

// Reconfigure replaces the seeds and the limits of the retry budgets.
func (g *Gateway) Reconfigure(seeds []Seed, budget retrybudget.Limits) {
	g.settings.Lock()
	g.settings.seeds, g.settings.budget = seeds, budget
	g.settings.Unlock()
	g.setListedInstances(g.listedSeeds())
	g.updateRetryBudgets(g.ports.Clock.Now())
}

// Stop ends the background work.
func (g *Gateway) Stop() {
	g.cancel()
	g.wg.Wait()
}

func (g *Gateway) seeds() []Seed {
	g.settings.Lock()
	defer g.settings.Unlock()
	return g.settings.seeds
}

func (g *Gateway) budgetLimits() retrybudget.Limits {
	g.settings.Lock()
	defer g.settings.Unlock()
	return g.settings.budget
}

// Ready reports whether the gateway can serve, and otherwise why not.
func (g *Gateway) Ready() (bool, string) {
	switch {
	case g.stopping.Load():
		return false, "the process is stopping"
	case g.view.Load() == nil:
		return false, "no configuration is known"
	default:
		return true, ""
	}
}

// ActiveRequests returns the number of requests in progress.
func (g *Gateway) ActiveRequests() int { return int(g.activeRequests.Load()) }

// Leave makes the gateway not ready and tells the other instances.
func (g *Gateway) Leave() {
	g.stopping.Store(true)
	g.fleet.Lock()
	sends := g.fleet.membership.Leave(g.ports.Clock.Now())
	g.fleet.Unlock()
	g.sendDatagrams(sends)
}

// Limits returns what callers may send, and false if no configuration is known.
func (g *Gateway) Limits() (routing.Limits, bool) {
	v := g.view.Load()
	if v == nil {
		return routing.Limits{}, false
	}
	return v.table.Limits, true
}

const (
	// maintenanceInterval is how often lapsed entries are removed and idle connections
	// closed.
	maintenanceInterval = 500 * time.Millisecond
	// probeInterval and suspicion are those of the failure detector. No request
	// depends on it, only the choice of the instance that reads the platform, the
	// instances that run queries for others, and the number that share budgets.
	probeInterval    = 500 * time.Millisecond
	suspicionTimeout = 2 * time.Second
	// maxIdleTime is how long a connection is kept without a request. Those that a
	// machine without power leaves behind count against the upstream's limit, so
	// that a fleet that comes back finds no room if there are many; but a new one
	// costs the processor time of three requests, and in a large fleet an instance
	// uses most upstreams for hedges only, seconds apart.
	maxIdleTime = 15 * time.Second
)

func (g *Gateway) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := g.ports.Clock.Now()
			g.expireLapsed(now)
			g.updateRetryBudgets(now)
			g.ports.Upstreams.CloseIdle(maxIdleTime)
		}
	}
}

// connectionShare is the part of an upstream's connection limit that the
// instances together may use. The rest covers instances that join, and connections
// that machines without power have left behind.
const connectionShare = 0.75

// maxConnections is this instance's part of an upstream's connection limit. Larger
// instances, which run queries for others, get more.
func (g *Gateway) maxConnections(s routing.Service) int {
	g.fleet.Lock()
	part := 1 / float64(g.fleet.maxMembers)
	if total := g.fleet.maxTotalCores; total > 0 {
		part = max(part, min(1, g.cfg.Capacity/total))
	}
	g.fleet.Unlock()
	return max(1, int(float64(s.MaxConnections)*connectionShare*part))
}

func (g *Gateway) info(id event.ID, f event.Fields, msg string) {
	event.Info(g.ports.Log, id, f, msg)
}

func (g *Gateway) warn(id event.ID, f event.Fields, msg string) {
	event.Warn(g.ports.Log, id, f, msg)
}
