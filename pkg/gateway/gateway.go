// Package gateway serves callers' requests according to the routes in the platform's
// configuration. It sends a request to one upstream of the route's service or, for a
// query over shards, to one upstream of each shard, and answers with what they return.
// Every instance calls upstreams itself, except that an instance with little processor
// time delegates its queries over shards to a larger one. The instances copy the
// platform's published keys from each other, and announce to each other the requests
// that crash upstreams.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardineturn/sardineturn/internal/workers"
	"github.com/sardineturn/sardineturn/pkg/admission"
	"github.com/sardineturn/sardineturn/pkg/backpressure"
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

// Config holds the identity of a gateway, which does not change, and its settings.
type Config struct {
	ID             model.InstanceID
	Cluster        string
	DataCentre     model.DataCentre
	ControlAddress string
	// FirstStart is true if all instances start for the first time. It is false if this
	// instance is restarted while others run.
	FirstStart bool
	// Settings are those in force at the start; see Gateway.Reconfigure.
	Settings Settings
}

// Settings are the settings of a gateway that may change while it runs.
type Settings struct {
	// Seeds are the instances that this one contacts at its start, and later, among
	// others, to compare their members with its own.
	Seeds []Seed
	// Capacity is the processor time that this instance may use, in cores; zero if
	// unknown.
	Capacity float64
	// LoadShedding says when the gateway refuses requests and leaves out parts of queries
	// for which overloaded upstreams have no capacity.
	LoadShedding LoadShedding
	// RetryBudget limits the retries and hedges on each service.
	RetryBudget retrybudget.Limits
	// BodyMemory limits the memory, in bytes, of the bodies of all requests; zero means no
	// limit.
	BodyMemory int64
	// ColdBounds bounds the requests to cold upstreams.
	ColdBounds backpressure.ColdBounds
}

// LoadShedding says when a gateway sheds load.
type LoadShedding int

// Values of LoadShedding.
const (
	// ShedNever: requests are served in the order of their arrival.
	ShedNever LoadShedding = iota
	// ShedAlways: load is shed with any configuration.
	ShedAlways
	// ShedByRoutes: load is shed if the configuration has routes that need it; see
	// routing.Table.UrgentNeedsLonger.
	ShedByRoutes
)

// applies reports whether load is shed with the routes of a table.
func (l LoadShedding) applies(t *routing.Table) bool {
	return l == ShedAlways || l == ShedByRoutes && t.UrgentNeedsLonger()
}

// Seed is an instance from the settings. It may or may not be running.
type Seed struct {
	ID             model.InstanceID
	ControlAddress string
}

// Gateway answers the requests of callers at one instance. It holds the instance's copy
// of the platform's keys and its knowledge of the other instances.
type Gateway struct {
	cfg   Config
	ports Ports
	// started is when the process began.
	started time.Time

	// inForce holds the settings in force, which Reconfigure replaces.
	inForce atomic.Pointer[Settings]

	view atomic.Pointer[view]
	// viewAvailable is closed when the first view is stored.
	viewAvailable chan struct{}

	// published is the local copy of the platform's published keys.
	published struct {
		sync.Mutex
		replica   *feed.Replica
		directory *directory.Directory
		table     *routing.Table
		// confirmedAt is the latest time at which the platform confirmed that the copy
		// was current.
		confirmedAt time.Time
		// changed is closed when the replica changes, and replaced by a new channel.
		changed chan struct{}
		// outages tells outages of the platform from instances that it turns away. outageEnd
		// is when the platform first answered again after its last outage or its last
		// return from a backup.
		outages   feed.OutageDetector
		outageEnd time.Time
	}

	// evacuated holds the evacuated data centres; nil if there are none. The map is not
	// changed once it is stored.
	evacuated atomic.Pointer[map[model.DataCentre]bool]
	// coldUpstreams is the number of upstreams whose limit for cold upstreams applies.
	coldUpstreams atomic.Int64

	// fleet holds the membership and values that are derived from it.
	fleet struct {
		sync.Mutex
		membership *membership.Membership
		// handledVersion is the version of the membership that handleMemberChanges
		// last processed.
		handledVersion uint64
		// maxMembers is the greatest number of live members seen so far.
		maxMembers int
		// maxTotalCores is the greatest total capacity of the live members seen so far,
		// in cores.
		maxTotalCores float64
		// maxQueryRunners is the greatest number of live members seen so far that run
		// their own queries, because no member is enough larger to run queries for them.
		// isQueryRunner is true if this instance is one of them.
		maxQueryRunners int
		isQueryRunner   bool
		// known holds all instances that may send requests to upstreams, including those
		// that this one cannot reach at present.
		known knownInstances
		// coldSenders is the last copy of known.
		coldSenders *coldSenders
		// isReader is true if this instance reads the platform for the others.
		isReader bool
	}

	quarantine struct {
		sync.Mutex
		set      *quarantine.Set
		suspects quarantine.Suspects
		trials   quarantine.Trials
		// trialEnded is closed when the running trial ends; nil if none is running.
		trialEnded chan struct{}
		// hasSuspects is false if there are certainly no suspects. It is read without the
		// lock.
		hasSuspects atomic.Bool
		// countsCrashes is false if certainly no crash record counts. It is read without
		// the lock.
		countsCrashes atomic.Bool
	}

	// answers holds which requests upstreams have answered.
	answers struct {
		sync.Mutex
		memory *quarantine.Answers
	}

	admission admissionControl

	latencies sync.Map // route name to *routeLatency
	timing    callerTiming
	logLimit  logLineLimit
	// bodyMemory limits the memory of the bodies of requests.
	bodyMemory bodyMemory
	workers    *workers.Pool
	delegates  delegates

	stopping atomic.Bool
	// leaving guards the first call of Leave and the changes of answerBy.
	leaving sync.Mutex
	// answersDueTimer closes answersDue.
	answersDueTimer *time.Timer
	// answerBy is when a stopping gateway must have answered all requests, and answersDue
	// is closed then.
	answerBy       atomic.Pointer[time.Time]
	answersDue     chan struct{}
	activeRequests atomic.Int64
	// activeQueries is the number of queries over shards that this instance is
	// executing.
	activeQueries atomic.Int64
	wg            sync.WaitGroup
	cancel        context.CancelFunc
}

// view holds the routes and services in force. A change replaces the view as a whole.
type view struct {
	table    *routing.Table
	services map[string]*service
}

// service is the state of one service. mu guards the fields after it.
type service struct {
	name string

	mu       sync.Mutex
	balancer *balancer.Service
	budget   *retrybudget.Budget
	// shard is true if the service is a shard of queries.
	shard bool
}

func (s *service) isShard() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shard
}

// routeLatency estimates the typical latency of an attempt for one route. mu guards it.
type routeLatency struct {
	mu sync.Mutex
	balancer.Latency
}

// New returns a gateway that has no copy of the platform's keys yet.
func New(cfg Config, ports Ports) *Gateway {
	now := ports.Clock.Now()
	g := &Gateway{cfg: cfg, ports: ports, started: now, viewAvailable: make(chan struct{}), answersDue: make(chan struct{}), workers: workers.New(), logLimit: newLogLineLimit()}
	g.published.replica = feed.NewReplica()
	g.published.directory = directory.New()
	g.published.changed = make(chan struct{})
	g.inForce.Store(&cfg.Settings)
	g.bodyMemory.setLimit(cfg.Settings.BodyMemory)
	g.quarantine.set = quarantine.New(0)
	g.answers.memory = quarantine.NewAnswers(now)
	g.delegates.table = delegation.NewTable(cfg.Settings.Capacity)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g.fleet.membership = membership.New(membership.Config{
		Self: membership.Member{
			ID:             cfg.ID,
			ControlAddress: cfg.ControlAddress,
			DataCentre:     cfg.DataCentre,
			Boot:           membership.NewBootID(now, random),
			Capacity:       membership.CapacityFromCores(cfg.Settings.Capacity),
		},
		Cluster:          cfg.Cluster,
		Rand:             random,
		Interval:         probeInterval,
		SuspicionTimeout: suspicionTimeout,
	}, now)
	g.fleet.maxMembers = 1
	g.admission.controller = admission.NewController()
	g.fleet.known.update(now, g.fleet.membership.Members())
	return g
}

// Start starts the background work, which runs until Stop.
func (g *Gateway) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.setListedInstances(g.listedSeeds())
	g.wg.Go(func() { g.runMembership(ctx) })
	g.wg.Go(func() { g.runFeed(ctx) })
	g.wg.Go(func() { g.runMemberSync(ctx) })
	g.wg.Go(func() { g.runMaintenance(ctx) })
}

// Reconfigure puts changed settings into force. Requests in progress go on with what they
// have begun; a limit that becomes lower than what is in use admits nothing until enough of
// it is free.
func (g *Gateway) Reconfigure(s Settings) {
	g.inForce.Store(&s)
	now := g.ports.Clock.Now()
	g.bodyMemory.setLimit(s.BodyMemory)
	g.delegates.mu.Lock()
	g.delegates.table.SetCapacity(s.Capacity)
	g.delegates.mu.Unlock()
	g.fleet.Lock()
	g.fleet.membership.SetCapacity(membership.CapacityFromCores(s.Capacity))
	g.fleet.Unlock()
	g.handleMemberChanges()
	g.setListedInstances(g.listedSeeds())
	g.updateRetryBudgets(now)
	g.updateColdLimits(now)
}

// Stop ends the background work.
func (g *Gateway) Stop() {
	g.cancel()
	g.wg.Wait()
}

// settings returns the settings in force. They must not be changed.
func (g *Gateway) settings() *Settings { return g.inForce.Load() }

// Ready reports whether the gateway can serve requests and, if not, why.
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

// Leave makes the gateway not ready and announces to the other instances that it is
// leaving. It answers all requests by answerBy, those that are still in progress then
// without a result. A further call with an earlier time replaces the time.
func (g *Gateway) Leave(answerBy time.Time) {
	g.leaving.Lock()
	defer g.leaving.Unlock()
	remaining := answerBy.Sub(g.ports.Clock.Now())
	if g.stopping.Load() {
		if answerBy.Before(*g.answerBy.Load()) && g.answersDueTimer.Stop() {
			g.answerBy.Store(&answerBy)
			g.answersDueTimer.Reset(remaining)
		}
		return
	}
	g.answerBy.Store(&answerBy)
	g.stopping.Store(true)
	g.answersDueTimer = time.AfterFunc(remaining, func() { close(g.answersDue) })
	g.fleet.Lock()
	sends := g.fleet.membership.Leave(g.ports.Clock.Now())
	g.fleet.Unlock()
	g.sendDatagrams(sends)
}

// Limits returns the limits on what callers may send, and false if no configuration is
// known.
func (g *Gateway) Limits() (routing.Limits, bool) {
	v := g.view.Load()
	if v == nil {
		return routing.Limits{}, false
	}
	return v.table.Limits, true
}

const (
	// maintenanceInterval is how often lapsed entries are removed, retry budgets
	// updated and idle connections closed.
	maintenanceInterval = 500 * time.Millisecond
	// probeInterval and suspicionTimeout configure the failure detector. Its result
	// decides which instance reads the platform, which instances run delegated queries,
	// and how many instances share the retry budgets. No request waits for it.
	probeInterval    = 500 * time.Millisecond
	suspicionTimeout = 2 * time.Second
	// maxIdleTime is how long a connection to an upstream stays open without a request.
	// The connections of machines that lost power still count against the upstream's
	// connection limit; if there are many, the instances cannot open new ones after
	// they restart. A shorter time would have a cost too: opening a connection takes the
	// processor time of three requests, and in a large fleet an instance uses most
	// upstreams only for hedges, seconds apart.
	maxIdleTime = 15 * time.Second
	// delegatorIdleTime replaces maxIdleTime on an instance that lets others run its
	// queries. Such an instance opens connections to many shards if it starts before it
	// knows the others, and does not need them again.
	delegatorIdleTime = 2 * time.Second
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
			g.updateBodyMemory(now)
			g.updateColdLimits(now)
			g.ports.Upstreams.CloseIdle(g.idleTime())
		}
	}
}

// idleTime returns how long a connection to an upstream stays open without a request.
func (g *Gateway) idleTime() time.Duration {
	g.fleet.Lock()
	defer g.fleet.Unlock()
	if g.fleet.maxQueryRunners > 0 && !g.fleet.isQueryRunner {
		return delegatorIdleTime
	}
	return maxIdleTime
}

// connectionShare is the fraction of an upstream's connection limit that all instances
// together may use. The rest is reserved for instances that join and for connections
// that machines left open when they lost power.
const connectionShare = 0.75

// runnerConnectionShare is the fraction of a shard's connection limit that the instances
// that run queries for others may use together. It is below a half because after a power
// loss of all instances the upstream counts the connections of before until its idle
// timeout; with more, it reset the new ones, and most queries failed for six seconds.
const runnerConnectionShare = 0.45

// maxConnections returns this instance's share of the connection limit of an upstream of
// the service. Instances with more processor time get more, because they run queries for
// others. shard is true if the service is a shard of queries: the instances that let
// others run their queries then open one connection at most.
func (g *Gateway) maxConnections(now time.Time, s routing.Service, shard bool) int {
	g.fleet.Lock()
	defer g.fleet.Unlock()
	limit := float64(s.MaxConnections)
	if runners := g.fleet.maxQueryRunners; shard && runners > 0 && runners < g.fleet.maxMembers {
		if !g.fleet.isQueryRunner {
			return 1
		}
		if now.Sub(g.started) < startBudgetTime {
			// Most of the others are not known yet.
			runners = max(runners, minBudgetInstances)
		}
		return max(1, int(limit*runnerConnectionShare/float64(runners)))
	}
	share := 1 / float64(g.fleet.maxMembers)
	if total := g.fleet.maxTotalCores; total > 0 {
		share = max(share, min(1, g.settings().Capacity/total))
	}
	return max(1, int(limit*connectionShare*share))
}

func (g *Gateway) info(id event.ID, f event.Fields, msg string) {
	event.Info(g.ports.Log, id, f, msg)
}

func (g *Gateway) warn(id event.ID, f event.Fields, msg string) {
	event.Warn(g.ports.Log, id, f, msg)
}
