// Package instance connects the pure decision packages (scheduler, query, order,
// catalog, membership, phase) to the network, the clock and the log. It holds
// their state, each part under its own lock, runs the timers, detects pauses of
// the process and shuts down gracefully. An instance reaches everything outside
// itself through ports. Tests can therefore run several instances in one process
// with fake ports, and these make the same decisions as in production.
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
	// Seeds are the control addresses of members to contact while the platform's
	// instance list has never been read successfully.
	Seeds        []string
	MaxInstances int
	MaxTickets   int
	// AssertInvariants makes the process panic when an invariant is violated.
	// Tests set it.
	AssertInvariants bool
	// Trace, if not nil, records the inputs and decisions of this instance.
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
	// NewRand returns a new random source, independent of earlier ones.
	NewRand func() *mathrand.Rand
	// OpenConnections returns the number of open connections to upstreams, which
	// is exported as a metric. It may be nil.
	OpenConnections func() int
}

// Instance is one instance from the start of its process to its end.
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

// controlState holds the member list and the state of the reads of the platform's
// instance list. mu guards all fields.
type controlState struct {
	mu         sync.Mutex
	membership memberTable
	// handledVersion is the version of the member list that membershipChanged
	// handled last.
	handledVersion uint64
	// listReceived is true once the platform's instance list has been read
	// successfully. listFailing is true while reads of it fail.
	listReceived bool
	// selfListed is true once the list has contained this instance and did not show
	// it as leaving.
	selfListed  bool
	listFailing bool
}

// catalogState holds the documents in force. mu guards all fields.
type catalogState struct {
	mu      sync.RWMutex
	catalog documentCatalog
	// sources holds, by service, where the document in force came from:
	// sourcePlatform or the id of a peer.
	sources map[string]string
}

// readState holds the decisions about reads of documents from the platform and
// about fetches of documents from peers. mu guards all fields.
type readState struct {
	mu        sync.Mutex
	reader    platformReader
	fetchPlan fetchPlan
	// cancelRead cancels the read of the platform in flight.
	cancelRead context.CancelFunc
	// platformReadOnce is true once a read of the platform's documents has
	// succeeded.
	platformReadOnce bool
	// peerHashes holds, by peer, the catalog hash that the peer sent last. Hashes
	// are recorded only while this instance is not serving, and are dropped after a
	// pause of the process. fetchedHashes contains those hashes for which documents
	// have been fetched from a peer with the hash.
	peerHashes    map[model.InstanceID]uint64
	fetchedHashes map[uint64]bool
}

// quarantineLimit is the maximum number of quarantined fingerprints; each takes
// about 100 bytes.
const quarantineLimit = 4096

// randomState holds the random source for timer jitter. The decision packages
// have sources of their own.
type randomState struct {
	mu     sync.Mutex
	source *mathrand.Rand
}

type quarantineState struct {
	mu  sync.Mutex
	set *quarantine.Set
}

// NewAttemptID returns an unguessable attempt id from the operating system's random source.
func NewAttemptID() model.AttemptID {
	var id model.AttemptID
	_, _ = rand.Read(id[:])
	return id
}

// NewRand returns a randomly seeded source for decisions that need not be
// unguessable.
func NewRand() *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
}

// New returns an instance that does nothing until Start is called.
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

// Start starts the control traffic with other instances and the reads of the
// platform. It returns at once; Ready reports when the instance may serve.
func (i *Instance) Start(ctx context.Context) {
	i.logInfo(event.ProcessStarted, event.Fields{"instance": i.cfg.ID, "data_centre": i.cfg.DataCentre, "boot": uint64(i.boot)}, "instance started")
	i.lifecycle.setContext(ctx)
	i.controlTick()
	i.readTick()
	i.listTick()
	i.maintenanceTick()
}

// Boot returns the boot id chosen when this process started.
func (i *Instance) Boot() model.BootID { return i.boot }

func (i *Instance) now() time.Time { return i.ports.Clock.Now() }

func (i *Instance) document(service string) *document.Document {
	i.catalog.mu.RLock()
	defer i.catalog.mu.RUnlock()
	return i.catalog.catalog.Get(service)
}

// Blocked reports whether requests with the fingerprint are in quarantine and
// must be refused.
func (q *quarantineState) Blocked(now time.Time, f model.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Blocked(now, f, nil)
}

func (i *Instance) logInfo(id event.ID, f event.Fields, msg string) {
	event.Info(i.ports.Log, id, f, msg)
}

func (i *Instance) logWarn(id event.ID, f event.Fields, msg string) {
	event.Warn(i.ports.Log, id, f, msg)
}

// invariantBroken counts and logs the violation of one of the program's own
// invariants, which is always a fault in the code. With AssertInvariants it panics.
func (i *Instance) invariantBroken(name string, f event.Fields) {
	i.ports.Metrics.InvariantViolated(name)
	event.Error(i.ports.Log, event.InvariantBroken, f, "invariant "+name+" does not hold")
	if i.cfg.AssertInvariants {
		panic("invariant " + name + " does not hold")
	}
}
