// Package instance drives the pure core packages from the ports: it owns the
// state shards and their locks, timers, pause detection and shutdown. A whole
// instance can be built in one process from its ports, so that tests run the
// same decisions as production.
package instance

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/replay"
)

// Config holds an instance's identity and limits.
type Config struct {
	ID             model.InstanceID
	DataCentre     model.DataCentre
	Cluster        string
	ControlAddress string
	// Seeds are control addresses to contact when the platform's instance list
	// can't be read.
	Seeds        []string
	MaxInstances int
	MaxTickets   int
	// AssertInvariants makes a broken invariant panic; test builds set it.
	AssertInvariants bool
	// Trace records the decisions of this instance, if it is not nil.
	Trace *replay.Trace
}

// Ports connect an instance to everything outside it.
type Ports struct {
	Clock     port.Clock
	Upstreams port.Upstreams
	Platform  port.Platform
	Peers     port.Peers
	Control   port.Control
	Log       logrus.FieldLogger
	Metrics   *metrics.Metrics
	// NewID returns unguessable attempt ids.
	NewID func() model.AttemptID
	// NewRand returns independent random sources for decisions.
	NewRand func() *mathrand.Rand
	// OpenConnections returns the number of connections to upstreams, for the
	// metrics. It may be nil.
	OpenConnections func() int
}

// Instance is one running instance.
type Instance struct {
	cfg     Config
	ports   Ports
	boot    model.BootID
	started time.Time

	control    controlState
	catalog    catalogState
	reads      readState
	quarantine quarantineState
	homes      homeTable
	homeCache  homeCache
	claims     claimTable
	peerCalls  peerCalls
	orders     *orderTable
	hints      hintTable
	lifecycle  lifecycle
	random     randomState

	activeQueries atomic.Int64
}

// controlState guards membership.
type controlState struct {
	mu         sync.Mutex
	membership memberTable
	// seenVersion is the membership version that was last acted on.
	handledVersion uint64
	// listRead is true once the platform's instance list was read, and
	// listFailing while reads of it fail.
	listReceived bool
	// selfListed is true once that list showed this instance.
	selfListed  bool
	listFailing bool
}

// catalogState guards the documents in force and the readers' state.
type catalogState struct {
	mu      sync.RWMutex
	catalog documentCatalog
	// sources says where each document in force came from.
	sources map[string]string
}

// readState guards the decisions when to read the platform and which peers to
// fetch documents from.
type readState struct {
	mu        sync.Mutex
	reader    platformReader
	fetchPlan fetchPlan
	// cancelRead ends the read in flight.
	cancelRead context.CancelFunc
	// platformRead is true once a read of the platform has succeeded.
	platformReadOnce bool
	// peerHashes are the catalog hashes that members showed since start-up or
	// since the last pause, and fetched those that a fetch was made for.
	peerHashes    map[model.InstanceID]uint64
	fetchedHashes map[uint64]bool
}

// quarantineLimit bounds the fingerprints held; each takes about 100 bytes.
const quarantineLimit = 4096

// randomState guards the random source of the driver itself.
type randomState struct {
	mu     sync.Mutex
	source *mathrand.Rand
}

type quarantineState struct {
	mu  sync.Mutex
	set *quarantine.Set
}

// NewAttemptID returns an id from the operating system's random source.
func NewAttemptID() model.AttemptID {
	var id model.AttemptID
	_, _ = rand.Read(id[:])
	return id
}

// NewRand returns a randomly seeded source for decisions.
func NewRand() *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
}

// New returns an instance that does nothing until Start.
func New(cfg Config, ports Ports) *Instance {
	now := ports.Clock.Now()
	i := &Instance{
		cfg:     cfg,
		ports:   ports,
		boot:    membership.NewBootID(now, ports.NewRand()),
		started: now,
	}
	if cfg.Trace != nil {
		cfg.Trace.SetProcess(cfg.ID, i.boot)
	}
	i.control.membership = i.newMembership(membership.Config{
		Self: membership.Member{
			ID:             cfg.ID,
			ControlAddress: cfg.ControlAddress,
			DataCentre:     cfg.DataCentre,
			Boot:           i.boot,
		},
		Cluster: cfg.Cluster,
		Rand:    ports.NewRand(),
	}, now)
	i.catalog.catalog = i.newCatalog()
	i.catalog.sources = make(map[string]string)
	i.quarantine.set = quarantine.New(quarantineLimit)
	i.reads.reader = i.newReader(ports.NewRand())
	i.reads.fetchPlan = i.newFetchPlan(ports.NewRand())
	i.reads.clearPeerHashes()
	i.homes.groups = make(map[model.GroupKey]*homeGroup)
	i.claims.claims = make(map[model.AttemptID]claim)
	i.peerCalls.calls = make(map[model.InstanceID]map[model.AttemptID]context.CancelCauseFunc)
	i.hints.queueDelays = make(map[delayHintKey]delayHint)
	i.hints.missingSnapshots = make(map[snapshotKey]time.Time)
	i.random.source = ports.NewRand()
	i.orders = newOrderTable(cfg, i.boot, ports)
	i.lifecycle.phase = newPhaseMachine(cfg, now)
	i.lifecycle.timers = make(map[string]port.Timer)
	return i
}

// Start begins control traffic and reading. It returns at once; Ready reports
// when the instance may serve.
func (i *Instance) Start(ctx context.Context) {
	i.logInfo(event.ProcessStarted, event.Fields{"instance": i.cfg.ID, "data_centre": i.cfg.DataCentre, "boot": uint64(i.boot)}, "instance started")
	i.lifecycle.run(ctx)
	i.controlTick()
	i.readTick()
	i.listTick()
	i.maintenanceTick()
}

// Boot returns the id of this process run.
func (i *Instance) Boot() model.BootID { return i.boot }

func (i *Instance) now() time.Time { return i.ports.Clock.Now() }

func (i *Instance) document(service string) *document.Document {
	i.catalog.mu.RLock()
	defer i.catalog.mu.RUnlock()
	return i.catalog.catalog.Get(service)
}

// Blocked reports whether requests with the fingerprint are refused.
func (q *quarantineState) Blocked(now time.Time, f model.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Blocked(now, f)
}

func (i *Instance) logInfo(id event.ID, f event.Fields, msg string) {
	event.Info(i.ports.Log, id, f, msg)
}

func (i *Instance) logWarn(id event.ID, f event.Fields, msg string) {
	event.Warn(i.ports.Log, id, f, msg)
}

// invariantBroken reports a broken invariant of the program itself.
func (i *Instance) invariantBroken(name string, f event.Fields) {
	i.ports.Metrics.InvariantViolated(name)
	event.Error(i.ports.Log, event.InvariantBroken, f, "invariant "+name+" does not hold")
	if i.cfg.AssertInvariants {
		panic("invariant " + name + " does not hold")
	}
}
